#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside target/mimosa-entry.
# All of it is Python without further packages: this checks that it compiles and
# that the project's own stand-in can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/mimosa-entry ] || { echo "target/mimosa-entry is missing" >&2; exit 1; }
python3 -B - <<'END'
import pathlib
import sys

import tomllib  # noqa: F401

for path in sorted(pathlib.Path("review").glob("1[1-5]/case.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
sys.path.insert(0, "review/rig_3")
import rig  # noqa: E402, F401
END
echo "the stand-ins are built"
