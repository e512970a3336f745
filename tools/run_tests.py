"""Runs the tests with real processes, tools/*_test.py.

Tests that KNOWN-RED.txt lists on a line "test: tools/FILE CLASS.METHOD" are
printed and skipped. An entry that matches no test is an error, so that an
entry does not outlive its test.
"""

from __future__ import annotations

import pathlib
import re
import sys
import unittest
from collections.abc import Iterator

TOOLS = pathlib.Path(__file__).resolve().parent
KNOWN_RED = TOOLS.parent / "KNOWN-RED.txt"
_ENTRY = re.compile(r"^test: tools/(\w+)\.py (\w+\.\w+)$", re.MULTILINE)


def _cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _cases(test)
        else:
            yield test


def main() -> int:
    text = KNOWN_RED.read_text(encoding="utf-8") if KNOWN_RED.exists() else ""
    known_red = {f"{module}.{test}" for module, test in _ENTRY.findall(text)}
    cases = list(_cases(unittest.defaultTestLoader.discover(str(TOOLS), "*_test.py")))
    unknown = known_red - {case.id() for case in cases}
    if unknown:
        print(f"KNOWN-RED.txt names tests that do not exist: {', '.join(sorted(unknown))}")
        return 1
    for name in sorted(known_red):
        print(f"known red, not run: {name}")
    suite = unittest.TestSuite(case for case in cases if case.id() not in known_red)
    return 0 if unittest.TextTestRunner(verbosity=1).run(suite).wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
