#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
cd "$(dirname "$0")/../.."
[ -x target/stand3 ] && [ -x target/laburnumshelf ] || exit 2
exec target/stand3 weights review/14
