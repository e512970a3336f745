"""Tests of mimosa-entry with real processes against stand-ins of the platform."""

from __future__ import annotations

import json
import os
import signal
import socket
import threading
import time
import unittest

from entry_fixture import EntryFixture
from entry_process import EntryProcess
from fault_proxy import FaultProxy, Mode
from platform_stand_in import (CONFIG_ACTIVE_LIMIT_S, DRAIN_LIMIT_S, LOCALHOST, RECOVERY_S,
                               TERMINATION_GRACE_S)

#: Time after which a host knows what the others know.
CONTACT_S = 4.0


class EntryTest(EntryFixture):
    def test_restarted_host_sends_a_request_that_crashes_searchers(self) -> None:
        # It knew nothing of what the others had quarantined (review case 10).
        second = self.start_second()
        self.wait_for(5, lambda: len(self.store.keys("mimosa/hosts/")) == 2)
        time.sleep(1.5)
        for searcher in self.accounts:
            searcher.loses_answers = True
        for _ in range(2):
            self.assertEqual(self.send_request("/one/crash")[0], 502)
        self.wait_for(1, lambda: self.send_request("/one/crash", entry=second)[0] == 503)
        runs = sum(len(searcher.runs) for searcher in self.accounts)
        second.process.send_signal(signal.SIGTERM)
        second.process.wait(TERMINATION_GRACE_S)
        second = self.start_second()
        time.sleep(CONTACT_S)
        self.assertEqual(self.send_request("/one/crash", entry=second)[0], 503)
        self.assertEqual(sum(len(searcher.runs) for searcher in self.accounts), runs)

    def test_removed_searcher_gets_requests_after_an_outage(self) -> None:
        # It got some for up to 4 s, if the host had been cut off from the store before (review
        # case 5). The second host follows the first one.
        second = self.start_second()
        leaver = self.accounts[0]
        for gap_s in (0.2, 1.7):
            time.sleep(RECOVERY_S)
            self.store.down = True
            time.sleep(4.0)
            self.store.down = False
            time.sleep(gap_s)
            self.store.remove(f"servers/{leaver.name}")
            removed = time.monotonic()
            while time.monotonic() < removed + DRAIN_LIMIT_S + 1.0:
                for entry in (self.entry, second):
                    self.assertEqual(self.send_request("/one/1", entry=entry)[0], 200)
            self.assertLess(leaver.last_arrival, removed + DRAIN_LIMIT_S,
                            f"removed {gap_s} s after the outage")
            self.register(leaver)

    def test_follower_without_the_store_misses_changes_after_a_removal(self) -> None:
        # It asked the store again and again whether a server was gone, and no longer its leader.
        self.wait_for(2, lambda: len(self.store.keys("mimosa/hosts/")) == 1)
        time.sleep(0.5)
        second = self.start_second(store=f"{LOCALHOST}:1", seeds=self.entry.peer_address)
        time.sleep(0.3)
        self.store.remove(f"servers/{self.accounts[0].name}")
        time.sleep(3.0)
        self.configure(accounts="other")
        self.wait_for(CONFIG_ACTIVE_LIMIT_S, lambda: (
            self.send_request("/one/x", b"abc", entry=second), self.other.runs)[1])

    def test_odd_entries_of_another_writer_end_the_host_or_hide_changes(self) -> None:
        # An unreadable entry ended all hosts at each start (review case 4).
        nested = b"[" * 100_000 + b"]" * 100_000
        valid = json.dumps(self.other.entry()).encode()
        odd = [nested, b'{"service":' + nested + b"}", b"\xff{", b"", b"1e400", b"{}",
               b"x" * 900_000, valid.replace(b'"sequence": 1', b'"sequence": 1e300'),
               valid.replace(self.other.address.encode(), b"127.0.0.1:65536"),
               valid.replace(self.other.address.encode(), b"127.0.0.1:99999999999999999999"),
               valid.replace(b'"z1"', b'"z\\r\\n1"')]
        for restarted in (False, True):
            for number, value in enumerate(odd):
                for prefix in ("servers/i-odd-", "servers/odd key\r\n", "mimosa/hosts/odd-",
                               "op/evacuate/odd-", "elsewhere/"):
                    self.store.put(f"{prefix}{number}", value)
            if restarted:
                self.entry.stop()
                self.entry = EntryProcess("h1", self.store.address, self.ports)
                self.addCleanup(self.entry.stop)
                self.entry.wait_ready()
            self.configure(more_routes=[
                {"name": f"r-new-{restarted}", "host": "h.example", "prefix": f"/new{restarted}/",
                 "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 1,
                 "maxAttempts": 2, "service": "other"}])
            time.sleep(CONFIG_ACTIVE_LIMIT_S)
            self.assertIsNone(self.entry.process.poll(), "mimosa-entry ended")
            self.assertEqual(self.send_request(f"/new{restarted}/1")[0], 200)

    def test_gather_merges_all_shards(self) -> None:
        # Guards against missing shard results and results of another request.
        for _ in range(20):
            self.assert_complete_answer()

    def test_request_that_waited_beyond_its_deadline_is_refused_unrun(self) -> None:
        # Guards against a request that runs after its deadline because it waited behind another.
        for searcher in self.accounts:
            searcher.delay_s = 0.6
        host, port = self.entry.caller_address.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as connection:
            for request_id, deadline_ms in (("t-first", 4000), ("t-waits", 300)):
                connection.sendall(
                    "GET /one/1 HTTP/1.1\r\nHost: h.example\r\n"
                    f"Attempt-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n".encode())
            received = b""
            while received.count(b"HTTP/1.1 ") < 2:
                received += connection.recv(4096)
        self.assertIn(b"HTTP/1.1 503", received)
        self.assertIn(b"Retry-After: ", received)
        runs = [run[0] for searcher in self.accounts for run in searcher.runs]
        self.assertEqual(runs, ["t-first"])

    def test_single_request_is_forwarded_unchanged(self) -> None:
        # Guards against a changed body, a second run or a missing Server-Stamp.
        for chunked in (False, True):
            status, headers, body, request_id = self.send_request("/one/x?y=z", b"abcdef", chunked)
            self.assertEqual((status, body), (200, b"echo:abcdef"))
            self.assertIn("Server-Stamp", headers)
            ran = [run for s in self.accounts for run in s.runs if run[0] == request_id]
            self.assertEqual(ran, [(request_id, "POST /one/x?y=z", b"abcdef")])

    def test_lost_answer_is_not_run_twice(self) -> None:
        # Guards against a second run of an unsafe request whose response was
        # lost, and against reporting that it has not run.
        for searcher in self.accounts:
            searcher.loses_answers = True
        status, _, _, request_id = self.send_request("/one/x", b"abc")
        self.assertEqual(status, 502)
        self.assertEqual(sum(run[0] == request_id for s in self.accounts for run in s.runs), 1)

    def test_request_that_crashes_searchers_is_quarantined(self) -> None:
        # Guards against a request that crashes one searcher after the other
        # because its caller retries it.
        for searcher in self.accounts:
            searcher.loses_answers = True
        statuses = [self.send_request("/one/bad", b"abc")[0] for _ in range(4)]
        self.assertEqual(statuses, [502, 502, 503, 503])
        for searcher in self.accounts:
            searcher.loses_answers = False
        self.assertEqual(self.send_request("/one/bad", b"abc")[0], 503)
        self.wait_for(2, lambda: self.send_request("/one/good", b"abc")[0] == 200)

    def test_shed_request_is_retried_elsewhere_or_rejected(self) -> None:
        # Guards against an error while another searcher has capacity, and
        # against an error without Retry-After.
        self.accounts[0].sheds = True
        for _ in range(10):
            self.assertEqual(self.send_request("/one/x", b"abc")[0], 200)
        self.accounts[1].sheds = True
        status, headers, _, request_id = self.send_request("/one/x", b"abc")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertFalse(any(run[0] == request_id for s in self.accounts for run in s.runs))

    def test_stray_responses_are_discarded(self) -> None:
        # Guards against a response that is delivered to another request.
        for searcher in self.searchers():
            searcher.answers_twice = True
        for _ in range(30):
            self.assert_complete_answer()
            self.assertEqual(self.send_request("/one/x", b"abc")[2], b"echo:abc")

    def test_killed_searchers_are_replaced(self) -> None:
        # Guards against queries that fail while a replica of each shard is alive.
        for shard in self.shards:
            shard[0].close()
        for _ in range(20):
            self.assertEqual(self.send_request("/all/2f")[0], 200)
        self.wait_for(2, lambda: self.send_request("/all/2f")[1]["Missing-Parts"] == "0")

    def test_slow_shard_gives_a_partial_answer_in_time(self) -> None:
        # Guards against an answer that waits for a slow shard although partial
        # coverage suffices.
        for searcher in self.shards[0]:
            searcher.delay_s = 0.6
        begin = time.monotonic()
        status, headers, _, _ = self.send_request("/all/2f")
        self.assertEqual((status, headers["Missing-Parts"]), (200, "1"))
        self.assertLess(time.monotonic() - begin, 0.4)

    def test_draining_searcher_receives_no_requests(self) -> None:
        # Guards against requests sent to a searcher that is draining.
        leaving = self.shards[0][0]
        self.register(leaving, "draining")
        begin = time.monotonic()
        while time.monotonic() < begin + DRAIN_LIMIT_S + 1:
            self.assert_complete_answer()
        self.assertLess(leaving.last_arrival, begin + DRAIN_LIMIT_S)

    def test_changed_route_becomes_active(self) -> None:
        # Guards against a configuration change that becomes active too late.
        self.assertEqual(self.send_request("/one/x", b"abc")[0], 200)
        self.configure(accounts="other")
        self.wait_for(CONFIG_ACTIVE_LIMIT_S,
                      lambda: (self.send_request("/one/x", b"abc"), self.other.runs)[1])

    def test_store_outage_does_not_interrupt_service(self) -> None:
        # Guards against a host that fails requests while the store is down, and
        # against a change made during the outage that is missed afterwards.
        self.store.down = True
        time.sleep(1)
        self.assert_complete_answer()
        self.configure(accounts="other")
        self.store.forget_history()
        self.store.down = False
        self.wait_for(CONFIG_ACTIVE_LIMIT_S,
                      lambda: (self.send_request("/one/x", b"abc"), self.other.runs)[1])
        self.assert_complete_answer()

    def test_lost_answer_to_a_watch_is_noticed(self) -> None:
        # Guards against a host that waits for ever for the lost response to a
        # watch while the connection stays open.
        self.store.lose_answers = True
        self.configure(accounts="other")
        time.sleep(0.5)
        self.store.lose_answers = False
        self.wait_for(RECOVERY_S, lambda: (self.send_request("/one/x", b"abc"), self.other.runs)[1])

    def test_host_that_starts_without_the_store_asks_a_seed(self) -> None:
        # Guards against a host that cannot serve because it restarted while its
        # zone could not reach the store.
        second = self.start_second(store=f"{LOCALHOST}:1", seeds=self.entry.peer_address)
        self.assert_complete_answer(second)

    def test_host_that_restarts_without_the_store_is_offered_a_picture(self) -> None:
        # Guards against a host that cannot serve because it restarted while its
        # zone could not reach the store, and has no seed in that zone.
        second = self.start_second()
        self.wait_for(2, lambda: len(self.store.keys("mimosa/hosts/")) == 2)
        time.sleep(0.5)
        second.process.send_signal(signal.SIGTERM)
        self.assertEqual(second.process.wait(TERMINATION_GRACE_S), 0)
        again = self.start_second(store=f"{LOCALHOST}:1")
        self.assert_complete_answer(again)

    def test_followers_of_a_stopping_host_stay_current(self) -> None:
        # Guards against a host that keeps following a stopping leader, whose
        # store cache no longer changes. h1 is the leader, h2 its follower.
        second = self.start_second()
        self.wait_for(2, lambda: len(self.store.keys("mimosa/hosts/")) == 2)
        time.sleep(1)
        # The watch in flight at the signal ends with a change before h1 has
        # withdrawn its entry.
        self.store.call_delays_s["kv-lease-end"] = 0.3
        self.entry.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        self.configure()
        time.sleep(0.4)
        self.configure(accounts="other")
        self.wait_for(CONFIG_ACTIVE_LIMIT_S, lambda: (
            self.send_request("/one/x", b"abc", entry=second), self.other.runs)[1])
        self.assertEqual(self.entry.process.wait(TERMINATION_GRACE_S), 0)
        self.entry = second

    def test_followers_of_a_host_that_is_cut_off_stay_current(self) -> None:
        # Guards against a change that reaches followers late because the leader's
        # connection to the store went silent right after a watch began.
        self.entry.stop()
        store, port = self.store.address.split(":")
        proxy = FaultProxy((store, int(port)))
        self.addCleanup(proxy.close)
        self.entry = EntryProcess("h1", proxy.address, self.ports)
        self.addCleanup(self.entry.stop)
        self.entry.wait_ready()
        second = self.start_second()
        self.wait_for(2, lambda: len(self.store.keys("mimosa/hosts/")) == 2)
        time.sleep(4)  # Watches have their full length again.
        watches = self.store.call_counts["kv-watch"]
        self.wait_for(4, lambda: self.store.call_counts["kv-watch"] > watches)
        proxy.mode = Mode.DROP_ALL
        self.configure(accounts="other")
        self.wait_for(CONFIG_ACTIVE_LIMIT_S, lambda: (
            self.send_request("/one/x", b"abc", entry=second), self.other.runs)[1])

    def test_directory_lists_the_serving_hosts(self) -> None:
        # Guards against a directory that lists a host which is stopping.
        second = self.start_second(seeds=self.entry.peer_address)

        def addresses(entry: EntryProcess) -> list[str]:
            path = "/resolve?name=h.example&region=r&zone=z1"
            return sorted(json.loads(entry.get(entry.directory_address, path)[1])["addrs"])

        both = sorted([self.entry.caller_address, second.caller_address])
        for entry in (self.entry, second):
            self.wait_for(5, lambda entry=entry: addresses(entry) == both)
        second.process.send_signal(signal.SIGTERM)
        self.wait_for(2, lambda: addresses(self.entry) == [self.entry.caller_address])
        self.assertEqual(second.process.wait(TERMINATION_GRACE_S), 0)

    def test_termination_completes_running_requests(self) -> None:
        # Guards against requests that are lost in a planned stop.
        second = self.start_second(seeds=self.entry.peer_address)
        self.wait_for(2, lambda: self.send_request("/all/2f", entry=second)[0] == 200)
        self.accounts[0].delay_s = self.accounts[1].delay_s = 1.5
        results: list[int] = []
        callers = [threading.Thread(target=lambda: results.append(
            self.send_request("/one/x", b"abc", deadline_ms=4000, entry=second)[0]))
            for _ in range(4)]
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        second.process.send_signal(signal.SIGTERM)
        self.wait_for(1, lambda: second.get(second.ready_address, "/ready")[0] == 503)
        self.assert_complete_answer(second)
        for caller in callers:
            caller.join()
        self.assertEqual(results, [200] * 4)
        self.assertEqual(second.process.wait(TERMINATION_GRACE_S), 0)

    def test_bad_requests_get_an_error_and_the_host_continues(self) -> None:
        # Guards against input that ends the process or gets no response.
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
        host, port = self.entry.caller_address.split(":")
        for bad, status in cases.items():
            with socket.create_connection((host, int(port)), timeout=5) as connection:
                connection.sendall(bad)
                self.assertEqual(connection.recv(100).split(b" ")[1], status, bad[:60])
        self.assert_complete_answer()

    def test_metrics_count_requests(self) -> None:
        # Guards against missing metrics that alerts are based on.
        self.assert_complete_answer()
        page = self.entry.get(self.entry.metrics_address, "/metrics")[1].decode()
        self.assertIn('mimosa_requests_total{outcome="answered",route="r-all"} 1', page)
        self.assertIn("mimosa_request_seconds", page)

    def test_unread_log_blocks_nothing(self) -> None:
        # Guards against a host that blocks because its log output is not read.
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        second = EntryProcess("h2", self.store.address, self.ports[5:], stdout=writer)
        os.close(writer)
        self.addCleanup(second.stop)
        second.wait_ready()
        # Log lines about searchers are not rate-limited; 64 KiB fill the pipe and
        # 256 KiB the log buffer. A host forwards at most 512 KiB of changes at once.
        for _ in range(12):
            for searcher in (self.shards[0] + self.shards[1]) * 60:
                self.register(searcher)
            time.sleep(0.35)
        self.wait_for(5, lambda: b"mimosa_log_dropped_total 0" not in
                      second.get(second.metrics_address, "/metrics")[1])
        self.assert_complete_answer(second)


if __name__ == "__main__":
    unittest.main()
