"""Tests of mimosa-entry with real processes against stand-ins of the platform."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import threading
import time
import unittest
from typing import Any

from entry_process import Entry
from fault_proxy import FaultProxy, Mode
from platform_stand_in import (DRAIN_S, GRACE_S, IN_FORCE_S, LOCALHOST, RECORD_BYTES, STABLE_S,
                               Searcher, Store, configuration)
from small_system import free_ports

SHARDS = 10
TOP = 5


def record(shard: int, number: int) -> bytes:
    return f"{number:06d}-{shard:09d}".encode()


class EntryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.ports = free_ports()
        self.shards = [
            [Searcher(f"shard-{s}", f"i-{s}-{r}", [record(s, n) for n in range(4)])
             for r in range(2)] for s in range(SHARDS)]
        self.single = [Searcher("accounts", f"i-a-{r}") for r in range(2)]
        self.other = Searcher("other", "i-o")
        for searcher in self.searchers():
            self.announce(searcher)
        # What another writer left names no searcher.
        self.store.put("servers/i-foreign", b"\xff{")
        self.version = 3
        self.configure()
        self.entry = Entry("h1", self.store.address, self.ports)
        self.addCleanup(self.entry.stop)
        self.entry.wait_ready()
        self.next_id = 0

    def start_second(self, store: str = "", seeds: str = "") -> Entry:
        """Starts host h2, which is stopped when the test ends."""
        second = Entry("h2", store or self.store.address, self.ports[5:], seeds=seeds)
        self.addCleanup(second.stop)
        second.wait_ready()
        return second

    def tearDown(self) -> None:
        self.assertIsNone(self.entry.process.poll(), "the entry host ended by itself")

    def searchers(self) -> list[Searcher]:
        return [one for shard in self.shards for one in shard] + self.single + [self.other]

    def announce(self, searcher: Searcher, state: str = "ready") -> None:
        self.store.put(f"servers/{searcher.name}", searcher.entry(state))

    def configure(self, accounts: str = "accounts", more: list[dict[str, Any]] | None = None) -> None:
        self.version += 2
        gather = {"name": "r-all", "host": "h.example", "prefix": "/all/", "kind": "safe",
                  "timeoutMs": 800, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2,
                  "gather": [f"shard-{s}" for s in range(SHARDS)], "topK": TOP,
                  "minCoverage": 0.89}
        one = {"name": "r-one", "host": "h.example", "prefix": "/one/", "kind": "unsafe",
               "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 2, "maxAttempts": 2,
               "service": accounts}
        names = [f"shard-{s}" for s in range(SHARDS)] + ["accounts", "other"]
        self.store.put("op/config", configuration(
            self.version, [gather, one, *(more or [])], names))

    def request(self, path: str, body: bytes | None = None, chunked: bool = False,
                deadline_ms: int = 800, entry: Entry | None = None,
                ) -> tuple[int, http.client.HTTPMessage, bytes, str]:
        self.next_id += 1
        request_id = f"t-{self.next_id}"
        connection = http.client.HTTPConnection((entry or self.entry).callers, timeout=10)
        try:
            connection.request(
                "GET" if body is None else "POST", path,
                body=iter([body[:3], body[3:]]) if body and chunked else body,
                headers={"Host": "h.example", "Attempt-Id": request_id,
                         "Deadline-Ms": str(deadline_ms)}, encode_chunked=chunked)
            answer = connection.getresponse()
            return answer.status, answer.headers, answer.read(), request_id
        finally:
            connection.close()

    def assert_whole(self, entry: Entry | None = None) -> None:
        status, headers, body, request_id = self.request("/all/2f", entry=entry)
        self.assertEqual(status, 200)
        self.assertEqual(headers["Missing-Parts"], "0")
        parts = headers["Part-Stamps"].split(", ")
        self.assertEqual(sorted(p.split("-")[1] for p in parts), sorted(map(str, range(SHARDS))))
        self.assertTrue(all(part.endswith("." + request_id) for part in parts))
        greatest = sorted((record(s, n) for s in range(SHARDS) for n in range(4)), reverse=True)
        self.assertEqual(body, b"".join(greatest[:TOP]))
        self.assertEqual(len(body), TOP * RECORD_BYTES)

    def eventually(self, limit_s: float, what: Any) -> None:
        end = time.monotonic() + limit_s
        while not what():
            self.assertLess(time.monotonic(), end, "not within its time")
            time.sleep(0.05)

    def test_gather_merges_all_shards(self) -> None:
        # Guards against wrong, lost or crossed parts.
        for _ in range(20):
            self.assert_whole()

    def test_single_request_is_passed_on_unchanged(self) -> None:
        # Guards against a changed body, a second run or a lost signature.
        for chunked in (False, True):
            status, headers, body, request_id = self.request("/one/x?y=z", b"abcdef", chunked)
            self.assertEqual((status, body), (200, b"echo:abcdef"))
            self.assertIn("Server-Stamp", headers)
            ran = [one for s in self.single for one in s.ran if one[0] == request_id]
            self.assertEqual(ran, [(request_id, "POST /one/x?y=z", b"abcdef")])

    def test_lost_answer_is_not_run_twice(self) -> None:
        # Guards against a second run of a request that must not be repeated,
        # and against "not run" for one that has run.
        for searcher in self.single:
            searcher.loses_answers = True
        status, _, _, request_id = self.request("/one/x", b"abc")
        self.assertEqual(status, 502)
        self.assertEqual(sum(one[0] == request_id for s in self.single for one in s.ran), 1)

    def test_request_that_crashes_searchers_is_contained(self) -> None:
        # Guards against a request that brings down one searcher after the other
        # because its caller sends it again.
        for searcher in self.single:
            searcher.loses_answers = True
        tries = [self.request("/one/bad", b"abc")[0] for _ in range(4)]
        self.assertEqual(tries, [502, 502, 503, 503])
        for searcher in self.single:
            searcher.loses_answers = False
        self.assertEqual(self.request("/one/bad", b"abc")[0], 503)
        self.eventually(2, lambda: self.request("/one/good", b"abc")[0] == 200)

    def test_declined_request_runs_elsewhere_or_is_refused(self) -> None:
        # Guards against a refusal while another searcher has room, and against
        # a refusal that does not say when to come back.
        self.single[0].sheds = True
        for _ in range(10):
            self.assertEqual(self.request("/one/x", b"abc")[0], 200)
        self.single[1].sheds = True
        status, headers, _, request_id = self.request("/one/x", b"abc")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertFalse(any(one[0] == request_id for s in self.single for one in s.ran))

    def test_stray_answers_reach_nobody(self) -> None:
        # Guards against an answer that belongs to another request.
        for searcher in self.searchers():
            searcher.answers_twice = True
        for _ in range(30):
            self.assert_whole()
            self.assertEqual(self.request("/one/x", b"abc")[2], b"echo:abc")

    def test_killed_searchers_are_replaced(self) -> None:
        # Guards against queries that fail while a replica of each shard lives.
        for shard in self.shards:
            shard[0].close()
        for _ in range(20):
            self.assertEqual(self.request("/all/2f")[0], 200)
        self.eventually(2, lambda: self.request("/all/2f")[1]["Missing-Parts"] == "0")

    def test_slow_shard_gives_a_partial_answer_in_time(self) -> None:
        # Guards against a whole answer that comes late where a part would do.
        for searcher in self.shards[0]:
            searcher.delay_s = 0.6
        begin = time.monotonic()
        status, headers, _, _ = self.request("/all/2f")
        self.assertEqual((status, headers["Missing-Parts"]), (200, "1"))
        self.assertLess(time.monotonic() - begin, 0.4)

    def test_draining_searcher_gets_nothing(self) -> None:
        # Guards against work for a searcher that is leaving.
        leaving = self.shards[0][0]
        self.announce(leaving, "draining")
        begin = time.monotonic()
        while time.monotonic() < begin + DRAIN_S + 1:
            self.assert_whole()
        self.assertLess(leaving.last_arrival, begin + DRAIN_S)

    def test_moved_route_is_in_force(self) -> None:
        # Guards against a configuration that is not in force in time.
        self.assertEqual(self.request("/one/x", b"abc")[0], 200)
        self.configure(accounts="other")
        self.eventually(IN_FORCE_S, lambda: (self.request("/one/x", b"abc"), self.other.ran)[1])

    def test_outage_of_the_store_changes_nothing(self) -> None:
        # Guards against a host that serves nothing while the store is away, and
        # against a change that is missed after the outage.
        self.store.down = True
        time.sleep(1)
        self.assert_whole()
        self.configure(accounts="other")
        self.store.forget_history()
        self.store.down = False
        self.eventually(IN_FORCE_S, lambda: (self.request("/one/x", b"abc"), self.other.ran)[1])
        self.assert_whole()

    def test_lost_answer_to_a_watch_is_noticed(self) -> None:
        # Guards against a host that waits for ever for the answer to a watch
        # that was lost, while the connection stays open.
        self.store.lose_answers = True
        self.configure(accounts="other")
        time.sleep(0.5)
        self.store.lose_answers = False
        self.eventually(STABLE_S, lambda: (self.request("/one/x", b"abc"), self.other.ran)[1])

    def test_host_that_starts_without_the_store_asks_a_seed(self) -> None:
        # Guards against a host that serves nothing because it restarted while
        # its zone was cut off from the store.
        second = self.start_second(store=f"{LOCALHOST}:1", seeds=self.entry.peer)
        self.assert_whole(second)

    def test_host_that_restarts_without_the_store_is_offered_a_picture(self) -> None:
        # Guards against a host that serves nothing because it restarted while
        # its zone was cut off, and none of its seeds is in that zone.
        second = self.start_second()
        self.eventually(2, lambda: len(self.store.keys("mimosa/hosts/")) == 2)
        time.sleep(0.5)
        second.process.send_signal(signal.SIGTERM)
        self.assertEqual(second.process.wait(GRACE_S), 0)
        again = self.start_second(store=f"{LOCALHOST}:1")
        self.assert_whole(again)

    def test_followers_of_a_stopping_host_stay_current(self) -> None:
        # Guards against a host that follows a stopping one, whose picture no
        # longer changes: h1 follows the store for h2.
        second = self.start_second()
        self.eventually(2, lambda: len(self.store.keys("mimosa/hosts/")) == 2)
        time.sleep(1)
        # The watch that runs at the signal ends with another change, before h1
        # has left the list.
        self.store.delays_s["kv-lease-end"] = 0.3
        self.entry.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        self.configure()
        time.sleep(0.4)
        self.configure(accounts="other")
        self.eventually(IN_FORCE_S, lambda: (
            self.request("/one/x", b"abc", entry=second), self.other.ran)[1])
        self.assertEqual(self.entry.process.wait(GRACE_S), 0)
        self.entry = second

    def test_followers_of_a_host_that_is_cut_off_stay_current(self) -> None:
        # Guards against a change that is late because the host that others
        # follow lost its path to the store silently, right after it began to wait.
        self.entry.stop()
        store, port = self.store.address.split(":")
        link = FaultProxy((store, int(port)))
        self.addCleanup(link.close)
        self.entry = Entry("h1", link.address, self.ports)
        self.addCleanup(self.entry.stop)
        self.entry.wait_ready()
        second = self.start_second()
        self.eventually(2, lambda: len(self.store.keys("mimosa/hosts/")) == 2)
        time.sleep(4)  # Waits have their full length again.
        watches = self.store.calls["kv-watch"]
        self.eventually(4, lambda: self.store.calls["kv-watch"] > watches)
        link.mode = Mode.SILENT
        self.configure(accounts="other")
        self.eventually(IN_FORCE_S, lambda: (
            self.request("/one/x", b"abc", entry=second), self.other.ran)[1])

    def test_hosts_know_each_other(self) -> None:
        # Guards against callers that are sent to a host that has gone.
        second = self.start_second(seeds=self.entry.peer)

        def addresses(entry: Entry) -> list[str]:
            path = "/resolve?name=h.example&region=r&zone=z1"
            return sorted(json.loads(entry.get(entry.directory, path)[1])["addrs"])

        both = sorted([self.entry.callers, second.callers])
        for entry in (self.entry, second):
            self.eventually(5, lambda entry=entry: addresses(entry) == both)
        second.process.send_signal(signal.SIGTERM)
        self.eventually(2, lambda: addresses(self.entry) == [self.entry.callers])
        self.assertEqual(second.process.wait(GRACE_S), 0)

    def test_termination_cuts_off_nothing(self) -> None:
        # Guards against requests that are lost in a planned stop.
        second = self.start_second(seeds=self.entry.peer)
        self.eventually(2, lambda: self.request("/all/2f", entry=second)[0] == 200)
        self.single[0].delay_s = self.single[1].delay_s = 1.5
        results: list[int] = []
        callers = [threading.Thread(target=lambda: results.append(
            self.request("/one/x", b"abc", deadline_ms=4000, entry=second)[0]))
            for _ in range(4)]
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        second.process.send_signal(signal.SIGTERM)
        self.eventually(1, lambda: second.get(second.ready, "/ready")[0] == 503)
        self.assert_whole(second)
        for caller in callers:
            caller.join()
        self.assertEqual(results, [200] * 4)
        self.assertEqual(second.process.wait(GRACE_S), 0)

    def test_bad_requests_get_an_answer_and_the_host_goes_on(self) -> None:
        # Guards against input that ends the process or goes unanswered.
        cases = {
            b"nonsense\r\n\r\n": b"400",
            b"GET /all/ HTTP/1.1\r\n\r\n": b"400",
            b"GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n": b"404",
            b"GET /all/ HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: x\r\n\r\n": b"400",
            b"GET /all/ HTTP/1.1\r\nHost: h.example\r\nX: " + b"y" * 20000 + b"\r\n\r\n": b"431",
            b"POST /one/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9999999\r\n\r\n": b"413",
            b"POST /one/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n": b"400",
        }
        host, port = self.entry.callers.split(":")
        for bad, status in cases.items():
            with socket.create_connection((host, int(port)), timeout=5) as connection:
                connection.sendall(bad)
                self.assertEqual(connection.recv(100).split(b" ")[1], status, bad[:60])
        self.assert_whole()

    def test_metrics_count_requests(self) -> None:
        # Guards against a metrics page without the figures that alarms need.
        self.assert_whole()
        page = self.entry.get(self.entry.metrics, "/metrics")[1].decode()
        self.assertIn('mimosa_requests_total{outcome="answered",route="r-all"} 1', page)
        self.assertIn("mimosa_request_seconds", page)

    def test_unread_log_blocks_nothing(self) -> None:
        # Guards against a host that stops because nobody reads its log.
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        second = Entry("h2", self.store.address, self.ports[5:], stdout=writer)
        os.close(writer)
        self.addCleanup(second.stop)
        second.wait_ready()
        # Lines about searchers are not limited in number; 64 KiB fill the pipe
        # and 256 KiB the buffer. A host passes on 512 KiB of changes at once.
        for batch in range(12):
            for searcher in (self.shards[0] + self.shards[1]) * 60:
                self.announce(searcher)
            time.sleep(0.35)
        self.eventually(5, lambda: b"mimosa_log_dropped_total 0" not in
                        second.get(second.metrics, "/metrics")[1])
        self.assert_whole(second)


if __name__ == "__main__":
    unittest.main()
