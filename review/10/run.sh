#!/bin/sh
# The clocks of the proxy's machine and of all others are 2 s apart; an object is purged.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../casetool2/bin/casetool2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec ../casetool2/bin/casetool2 clock-step
