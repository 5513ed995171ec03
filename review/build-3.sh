#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The nodes come from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review3 -o target/stand3 ./review/stand3
