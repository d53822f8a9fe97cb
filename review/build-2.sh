#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into bin/review2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
output="$PWD/bin/review2"
mkdir -p "$output"
cd review/second/tools # a module of its own, without dependencies
go build -o "$output/" ./...
