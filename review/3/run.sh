#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export REVIEW_TMP
REVIEW_TMP=$(mktemp -d) || exit 2
trap 'rm -rf "$REVIEW_TMP"' EXIT
timeout -k 2 110 review/3/case.bin review/3
result=$?
[ $result -le 1 ] || result=2
exit $result
