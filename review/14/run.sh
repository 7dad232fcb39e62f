#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin-3 ] && [ -x target/release/greengagelug ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# The processes that the stand-in starts end with it.
target/review-3/standin-3 young review/14/record.txt &
child=$!
trap 'kill "$child"' INT TERM HUP
wait "$child"
code=$?
rm -rf "$TMPDIR"
[ "$code" -le 1 ] || code=2
exit "$code"
