#!/bin/bash
# Exit code 1: the rule was broken. 0: it held. 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_ROOT=$PWD
export REVIEW_ROOT
[ -x bin/larchrouter ] && [ -x bin/review2 ] || exit 2
exec timeout --kill-after=5 110 bin/review2 options review/7/record.txt
