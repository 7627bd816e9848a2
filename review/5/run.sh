#!/bin/sh
# Writes to record.txt beside it what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
temporary=$(mktemp -d) || exit 2
target/review-2/lasttenant review/5/record.txt "$temporary"
code=$?
rm -rf "$temporary"
[ "$code" -le 1 ] || exit 2
exit "$code"
