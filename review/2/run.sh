#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the SIGTERMs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin-2 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/standin-2 review/2/record.txt
