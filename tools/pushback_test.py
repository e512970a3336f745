"""Tests that mimosa-entry does what searchers ask for in their answers.

Ten shards of three searchers; searchers of four shards state a limit, a pause or
that they leave. Callers send queries all the time.
"""

from __future__ import annotations

import http.client
import math
import threading
import time
import unittest

from entry_process import EntryProcess
from platform_stand_in import DRAIN_LIMIT_S, Searcher, Store, configuration
from small_system import free_ports

SHARDS = 10
SEARCHERS_PER_SHARD = 3
#: Shards of which searchers ask for something.
AFFECTED_SHARDS = 4
CALLER_COUNT = 8
DEADLINE_MS = 800
#: A limit must be kept from this long after it was first stated.
HEED_S = 4.0
#: Over this time, in which a limit and a half and some requests are allowed.
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
#: A searcher is used again this long after it has lifted its limit.
LIFT_S = 1.0
#: A pause must be kept from this long after it was stated, except for some requests.
PAUSE_S = 2.0
PAUSE_HEED_S = 0.5
PAUSE_SLACK = 2
MIN_SERVED_SHARE = 0.99
#: A refusal that can be known is given within this time, with room for a busy machine.
REFUSAL_S = 0.1


class Caller(threading.Thread):
    """Sends queries one after another and records status, arrival and duration."""

    def __init__(self, address: str, number: int, end: float) -> None:
        super().__init__(daemon=True)
        self.address = address
        self.number = number
        self.end = end
        self.results: list[tuple[int, float, float]] = []

    def run(self) -> None:
        connection = http.client.HTTPConnection(self.address, timeout=5)
        while time.monotonic() < self.end:
            begin = time.monotonic()
            connection.request("GET", f"/all/{self.number}x{len(self.results)}", headers={
                "Host": "h.example", "Attempt-Id": f"p{self.number}x{len(self.results)}",
                "Deadline-Ms": str(DEADLINE_MS)})
            response = connection.getresponse()
            response.read()
            self.results.append((response.status, begin, time.monotonic() - begin))
            time.sleep(0.02)
        connection.close()


class PushbackTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.shards = [
            [Searcher(f"shard-{s}", f"i-{s}-{r}", [b"%015d" % s + b"0"])
             for r in range(SEARCHERS_PER_SHARD)] for s in range(SHARDS)]
        for shard in self.shards:
            for searcher in shard:
                self.store.put(f"servers/{searcher.name}", searcher.entry())
                self.addCleanup(searcher.close)
        self.addCleanup(self.store.close)
        names = [f"shard-{s}" for s in range(SHARDS)]
        self.store.put("op/config", configuration(3, [{
            "name": "r-all", "host": "h.example", "prefix": "/all/", "kind": "safe",
            "timeoutMs": DEADLINE_MS, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2,
            "gather": names, "topK": 5, "minCoverage": 0.89}], names))
        self.entry = EntryProcess("h1", self.store.address, free_ports())
        self.addCleanup(self.entry.stop)
        self.entry.wait_ready()

    def affected(self, per_shard: int = 1) -> list[Searcher]:
        return [s for shard in self.shards[:AFFECTED_SHARDS] for s in shard[:per_shard]]

    def start_callers(self, seconds: float) -> list[Caller]:
        end = time.monotonic() + seconds
        callers = [Caller(self.entry.caller_address, n, end) for n in range(CALLER_COUNT)]
        for caller in callers:
            caller.start()
        return callers

    def finish(self, callers: list[Caller]) -> list[tuple[int, float, float]]:
        for caller in callers:
            caller.join(10)
        return [result for caller in callers for result in caller.results]

    def assert_served(self, results: list[tuple[int, float, float]]) -> None:
        served = sum(status == 200 for status, _, _ in results)
        self.assertGreater(len(results), 100)
        self.assertGreaterEqual(served / len(results), MIN_SERVED_SHARE)

    def assert_limit_kept(self, searchers: list[Searcher], per_second: float,
                          begin: float, end: float = math.inf) -> None:
        allowed = LIMIT_OVERAGE * per_second * LIMIT_WINDOW_S + LIMIT_SLACK
        for searcher in searchers:
            arrivals = [a for a in searcher.arrivals if begin + HEED_S <= a < end]
            most = max((sum(a <= b < a + LIMIT_WINDOW_S for b in arrivals) for a in arrivals),
                       default=0)
            self.assertLessEqual(most, allowed, searcher.name)

    def test_searcher_gets_more_than_its_stated_limit(self) -> None:
        # Guards against requests beyond a limit, and against a limit kept after it is lifted.
        callers = self.start_callers(13)
        time.sleep(1)
        begin = time.monotonic()
        for searcher in self.affected():
            searcher.headers = {"Server-Limit": "4"}
        time.sleep(9)
        lifted = time.monotonic()
        for searcher in self.affected():
            searcher.headers = {}
        results = self.finish(callers)
        self.assert_served(results)
        self.assert_limit_kept(self.affected(), 4, begin, lifted)
        # How much one gets then depends on its latency, too.
        used = [sum(lifted <= a < lifted + LIFT_S for a in searcher.arrivals)
                for searcher in self.affected()]
        self.assertGreater(max(used), 2 * 4 * LIFT_S)

    def test_callers_are_answered_at_once_if_all_searchers_are_limited(self) -> None:
        # Guards against callers that wait until their deadline for requests that no limit allows.
        callers = self.start_callers(11)
        time.sleep(1)
        begin = time.monotonic()
        for searcher in self.affected(SEARCHERS_PER_SHARD):
            searcher.headers = {"Server-Limit": "4"}
        results = [r for r in self.finish(callers) if r[1] > begin + 1]
        self.assert_limit_kept(self.affected(SEARCHERS_PER_SHARD), 4, begin)
        refusals = sorted(duration for status, _, duration in results if status == 503)
        self.assertGreater(len(refusals), 100)
        self.assertLess(refusals[len(refusals) * 99 // 100], REFUSAL_S)
        self.assertTrue(all(duration < DEADLINE_MS / 1000 for _, _, duration in results))

    def test_searcher_that_asks_for_a_pause_gets_requests(self) -> None:
        # Guards against requests to a searcher that has refused one and asked for a pause.
        for searcher in self.affected():
            searcher.sheds = True
            searcher.headers = {"Retry-After": str(PAUSE_S)}
        results = self.finish(self.start_callers(4))
        self.assert_served(results)
        for searcher in self.affected():
            # Each pause begins with the first refusal after the one before.
            begin = searcher.arrivals[0]
            for arrival in searcher.arrivals:
                if arrival >= begin + PAUSE_S:
                    begin = arrival
                late = sum(begin + PAUSE_HEED_S <= a < begin + PAUSE_S for a in searcher.arrivals)
                self.assertLessEqual(late, PAUSE_SLACK, searcher.name)

    def test_searcher_that_says_it_leaves_gets_requests(self) -> None:
        # Guards against requests to a searcher that leaves, whatever service discovery says.
        callers = self.start_callers(8)
        time.sleep(1)
        begin = time.monotonic()
        for searcher in self.affected():
            searcher.headers = {"Server-Leaving": "1"}
        time.sleep(DRAIN_LIMIT_S)
        # It is lost by service discovery and found again.
        for searcher in self.affected():
            self.store.remove(f"servers/{searcher.name}")
        time.sleep(1)
        for searcher in self.affected():
            self.store.put(f"servers/{searcher.name}", searcher.entry())
        self.assert_served(self.finish(callers))
        for searcher in self.affected():
            late = sum(a > begin + DRAIN_LIMIT_S for a in searcher.arrivals)
            self.assertEqual(late, 0, searcher.name)


if __name__ == "__main__":
    unittest.main()
