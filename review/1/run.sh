#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-1 ] && [ -x target/bin/egretstiled ] || exit 2
timeout -k 2 110 target/review/case-1
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
