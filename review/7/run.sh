#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/laburnumshelf ] || [ ! -x target/review2 ]; then
	echo "build with the deploy file and review/build-2.sh first" >&2
	exit 2
fi
timeout -k 5 115 target/review2 stored review/7/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
