#!/bin/sh
# Usage: review/10/run.sh      TROUBLE=0: the same load without the rolling restart.
cd "$(dirname "$0")/../.." || exit 2
timeout 118 python3 review/10/case.py
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || exit 2
exit "$status"
