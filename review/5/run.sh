#!/usr/bin/env bash
# Writes record.txt: what was sent, answered and run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
