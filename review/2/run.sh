#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/greengagelug ] || exit 2
TROUBLE="${TROUBLE:-1}"
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# The stand-in ends the processes that it started, also on a signal and after 115 s.
target/review/standin moved review/2/record.txt "$TROUBLE" &
child=$!
trap 'kill "$child"' INT TERM HUP
wait "$child"
code=$?
rm -rf "$TMPDIR"
[ "$code" -le 1 ] || code=2
exit "$code"
