#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
timeout -k 2 117 "target/review-3/case-$(basename "$folder")" "$folder/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
