#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/casetool ] || { echo "review/build.sh has not been run" >&2; exit 2; }
exec ../bin/casetool away .
