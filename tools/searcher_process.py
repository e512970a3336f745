"""Runs several searchers in one process, for the soak test.

Usage: searcher_process.py ZONE NAME=SERVICE ...

Prints a line "at NAME ADDRESS" for each searcher, then a line
"ran TIME NAME REQUEST-ID METHOD PATH BODY-LENGTH" for each request that a
searcher begins to run. The line is printed before the response is sent, so that
none is lost if the process is killed. A line "NAME FIELD VALUE" on standard input
sets a field of that platform_stand_in.Searcher; VALUE is a Python literal.
"""

from __future__ import annotations

import ast
import os
import sys
import time

from platform_stand_in import RECORD_BYTES, Searcher

RECORDS_PER_SHARD = 4
#: Time that a request takes; long enough that kills and resets hit running requests.
SERVICE_TIME_S = 0.01


def records(service: str) -> list[bytes]:
    """Returns the records of a shard, which are the same at all of its searchers.

    A service whose name does not begin with "shard" has no records.
    """
    if not service.startswith("shard"):
        return []
    shard_records = [
        f"{(sum(service.encode()) * 7919 + n * 104729) % 10**6:06d}{service:>10}".encode()
        for n in range(RECORDS_PER_SHARD)]
    assert all(len(record) == RECORD_BYTES for record in shard_records)
    return shard_records


class _PrintedRuns(list[tuple[str, str, bytes]]):
    """A list that prints each appended run instead of storing it."""

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
    for argument in sys.argv[2:]:
        name, service = argument.split("=")
        searcher = Searcher(service, name, records(service), zone)
        searcher.runs = _PrintedRuns(name)
        searcher.delay_s = SERVICE_TIME_S
        searchers[name] = searcher
    for name, searcher in searchers.items():
        print(f"at {name} {searcher.address}", flush=True)
    for line in sys.stdin:
        name, field, value = line.split(None, 2)
        setattr(searchers[name], field, ast.literal_eval(value))


if __name__ == "__main__":
    main()
