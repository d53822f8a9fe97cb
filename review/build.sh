#!/bin/sh
# Builds the stand-ins of all cases into review/bin. Needs Go alone and no network.
set -eu
cd "$(dirname "$0")/tools"
mkdir -p ../bin
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off CGO_ENABLED=0 go build -o ../bin/ ./...
