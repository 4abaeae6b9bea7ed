#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, which share one program, into target/. It needs the Go toolchain and no network.
cd "$(dirname "$0")/11/standin" || exit 2
GOWORK=off GOPROXY=off exec go build -o ../../../target/standin-3 .
