#!/usr/bin/env bash
# Prepares the stand-ins of the review's scripts, which are Python programs, and
# checks that this machine can run them.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
python3 -m compileall -q lib [1-9]
