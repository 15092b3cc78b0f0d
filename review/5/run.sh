#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-5
[ -x "$program" ] || exit 2
timeout -k 5 110 "$program" review/5/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
