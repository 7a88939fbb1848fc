#!/bin/bash
# Exit code 1: the rule was broken. 0: it held. 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_ROOT=$PWD
export REVIEW_ROOT
for program in larchrouter larchkeeper review2; do
	[ -x "bin/$program" ] || exit 2
done
timeout --kill-after=5 110 bin/review2 heir review/10/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
