#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case-5 ] || { echo "run review/build.sh first" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" exec review/bin/case-5 review/5/record.txt
