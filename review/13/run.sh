#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it
# does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE=${TROUBLE:-1}
program=target/review-3/unreadable
[ -x "$program" ] || { echo "run review/build-3.sh first" >&2; exit 2; }
echo "TROUBLE=$TROUBLE"
"$program" draining review/13/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
