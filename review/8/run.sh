#!/usr/bin/env bash
# Writes to record.txt beside it what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 the disruption is left out.
set -u
cd "$(dirname "$0")/../.." || exit 2
temporary=$(mktemp -d) || exit 2
timeout --kill-after=5 100 target/review-2/latestream "$PWD" "$temporary" "$PWD/review/8/record.txt"
code=$?
rm -rf "$temporary"
[ "$code" -le 1 ] || exit 2
exit "$code"
