#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS="${GOFLAGS:-} -mod=mod" GOPROXY=off go build -o bin/standin ./standin
