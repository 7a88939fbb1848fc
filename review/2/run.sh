#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x review/bin/standin || exit 2
RECORD=review/2/record.txt exec review/bin/standin succession
