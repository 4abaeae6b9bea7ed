#!/bin/sh
# Builds the stand-ins of the third review into target/, beside the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin-3 ./review/standin-3
