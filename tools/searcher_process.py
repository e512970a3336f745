"""Several searchers of one host as one process, for the soak.

Usage: searcher_process.py ZONE NAME=SERVICE ...

Prints a line "at NAME ADDRESS" for each searcher, then a line
"ran TIME NAME REQUEST-ID METHOD PATH BODY-LENGTH" when one begins to run a
request: before its answer, so that a kill loses no line. Lines on standard
input set what a searcher does: "NAME FIELD VALUE", for the fields of
platform_stand_in.Searcher, with a Python literal as value.
"""

from __future__ import annotations

import ast
import os
import sys
import time

from platform_stand_in import RECORD_BYTES, Searcher

RECORDS_PER_SHARD = 4
#: Time that a request takes, so that kills and resets meet running requests.
SERVICE_TIME_S = 0.01


def records(service: str) -> list[bytes]:
    """The records of a shard, the same at all of its searchers.

    A service whose name does not begin with "shard" has none.
    """
    if not service.startswith("shard"):
        return []
    made = [f"{(sum(service.encode()) * 7919 + n * 104729) % 10**6:06d}{service:>10}".encode()
            for n in range(RECORDS_PER_SHARD)]
    assert all(len(one) == RECORD_BYTES for one in made)
    return made


class _ReportedRuns(list[tuple[str, str, bytes]]):
    """Prints each run that is appended."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def append(self, run: tuple[str, str, bytes]) -> None:
        request_id, line, body = run
        os.write(sys.stdout.fileno(), f"ran {time.monotonic():.6f} {self._name} {request_id} "
                                      f"{line} {len(body)}\n".encode())


def main() -> None:
    zone = sys.argv[1]
    searchers = {}
    for word in sys.argv[2:]:
        name, service = word.split("=")
        searcher = Searcher(service, name, records(service), zone)
        searcher.ran = _ReportedRuns(name)
        searcher.delay_s = SERVICE_TIME_S
        searchers[name] = searcher
    for name, searcher in searchers.items():
        print(f"at {name} {searcher.address}", flush=True)
    for line in sys.stdin:
        name, field, value = line.split(None, 2)
        setattr(searchers[name], field, ast.literal_eval(value))


if __name__ == "__main__":
    main()
