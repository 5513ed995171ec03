#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into target/. It needs no network. Run it
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review2 -o target/review2 ./review/stand2
