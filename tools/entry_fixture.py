"""Fixture of the tests of mimosa-entry with real processes."""

from __future__ import annotations

import http.client
import time
import unittest
from typing import Any

from entry_process import EntryProcess
from platform_stand_in import RECORD_BYTES, Searcher, Store, configuration
from small_system import free_ports

SHARDS = 10
TOP_K = 5


def record(shard: int, number: int) -> bytes:
    return f"{number:06d}-{shard:09d}".encode()


class EntryFixture(unittest.TestCase):
    """A host h1 with ten shards of two searchers each, and two services of one and two."""

    def setUp(self) -> None:
        self.store = Store()
        self.ports = free_ports()
        self.shards = [
            [Searcher(f"shard-{s}", f"i-{s}-{r}", [record(s, n) for n in range(4)])
             for r in range(2)] for s in range(SHARDS)]
        self.accounts = [Searcher("accounts", f"i-a-{r}") for r in range(2)]
        self.other = Searcher("other", "i-o")
        for searcher in self.searchers():
            self.register(searcher)
        # A foreign entry, which cannot be parsed, must be ignored.
        self.store.put("servers/i-foreign", b"\xff{")
        self.version = 3
        self.configure()
        self.entry = EntryProcess("h1", self.store.address, self.ports)
        self.addCleanup(self.entry.stop)
        self.entry.wait_ready()
        self.next_id = 0

    def start_second(self, store: str = "", seeds: str = "") -> EntryProcess:
        """Starts host h2, which is stopped when the test ends."""
        second = EntryProcess("h2", store or self.store.address, self.ports[5:], seeds=seeds)
        self.addCleanup(second.stop)
        second.wait_ready()
        return second

    def tearDown(self) -> None:
        self.assertIsNone(self.entry.process.poll(), "mimosa-entry exited unexpectedly")

    def searchers(self) -> list[Searcher]:
        return [searcher for shard in self.shards for searcher in shard] \
            + self.accounts + [self.other]

    def register(self, searcher: Searcher, state: str = "ready") -> None:
        self.store.put(f"servers/{searcher.name}", searcher.entry(state))

    def configure(self, accounts: str = "accounts",
                  more_routes: list[dict[str, Any]] | None = None) -> None:
        self.version += 2
        gather = {"name": "r-all", "host": "h.example", "prefix": "/all/", "kind": "safe",
                  "timeoutMs": 800, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2,
                  "gather": [f"shard-{s}" for s in range(SHARDS)], "topK": TOP_K,
                  "minCoverage": 0.89}
        single = {"name": "r-one", "host": "h.example", "prefix": "/one/", "kind": "unsafe",
                  "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 2, "maxAttempts": 2,
                  "service": accounts}
        names = [f"shard-{s}" for s in range(SHARDS)] + ["accounts", "other"]
        self.store.put("op/config", configuration(
            self.version, [gather, single, *(more_routes or [])], names))

    def send_request(self, path: str, body: bytes | None = None, chunked: bool = False,
                     deadline_ms: int = 800, entry: EntryProcess | None = None,
                     ) -> tuple[int, http.client.HTTPMessage, bytes, str]:
        self.next_id += 1
        request_id = f"t-{self.next_id}"
        connection = http.client.HTTPConnection((entry or self.entry).caller_address, timeout=10)
        try:
            connection.request(
                "GET" if body is None else "POST", path,
                body=iter([body[:3], body[3:]]) if body and chunked else body,
                headers={"Host": "h.example", "Attempt-Id": request_id,
                         "Deadline-Ms": str(deadline_ms)}, encode_chunked=chunked)
            response = connection.getresponse()
            return response.status, response.headers, response.read(), request_id
        finally:
            connection.close()

    def assert_complete_answer(self, entry: EntryProcess | None = None) -> None:
        status, headers, body, request_id = self.send_request("/all/2f", entry=entry)
        self.assertEqual(status, 200)
        self.assertEqual(headers["Missing-Parts"], "0")
        stamps = headers["Part-Stamps"].split(", ")
        self.assertEqual(sorted(s.split("-")[1] for s in stamps), sorted(map(str, range(SHARDS))))
        self.assertTrue(all(stamp.endswith("." + request_id) for stamp in stamps))
        greatest = sorted((record(s, n) for s in range(SHARDS) for n in range(4)), reverse=True)
        self.assertEqual(body, b"".join(greatest[:TOP_K]))
        self.assertEqual(len(body), TOP_K * RECORD_BYTES)

    def wait_for(self, limit_s: float, condition: Any) -> None:
        end = time.monotonic() + limit_s
        while not condition():
            self.assertLess(time.monotonic(), end, f"condition not met within {limit_s} s")
            time.sleep(0.05)
