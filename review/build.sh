#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library only, so no module is fetched.
set -euo pipefail
cd "$(dirname "$0")"
GOPROXY=off go build -buildvcs=false -mod=mod -o standin .
