#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, which share one program, into target/. It needs the Go toolchain and no network.
cd "$(dirname "$0")/6/standin" || exit 2
GOWORK=off GOPROXY=off exec go build -o ../../../target/review-standin-2 .
