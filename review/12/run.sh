#!/bin/sh
# Status 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin-3 ] || exit 2
exec target/review-3/standin-3 priority review/12/record.txt
