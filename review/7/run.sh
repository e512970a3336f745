#!/bin/sh
# Usage: review/7/run.sh      TROUBLE=0: the same load without the late copies.
cd "$(dirname "$0")/../.." || exit 2
timeout 118 python3 review/7/case.py
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || exit 2
exit "$status"
