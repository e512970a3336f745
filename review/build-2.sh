#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# Python programs (3.11 or later, as on Debian 12), so this only checks that they
# can be read: those of this review, and tools/platform_stand_in.py, the store.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PROGRAM'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
cases = [path for n in range(6, 11) for path in pathlib.Path(f"review/{n}").glob("*.py")]
for path in [*pathlib.Path("review/standins").glob("*.py"), *cases,
             pathlib.Path("tools/platform_stand_in.py")]:
    compile(path.read_text(), str(path), "exec")
    print(f"checked {path}")
PROGRAM
