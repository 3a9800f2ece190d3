#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run.  TROUBLE=0 does the same without the disruption.
name=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review/case-$name" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
export TROUBLE="${TROUBLE:-1}"
timeout -k 2 110 "target/review/case-$name" "review/$name" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
