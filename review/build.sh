#!/bin/sh
# Builds the stand-ins of the cases that are scripts.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/stand ./review/stand
