"""Tests of mimosa-entry against answers whose status line the protocol does not define.

A backend server, or the store, answers with such a status line. The caller must get
a valid answer, from another backend server or from the host.
"""

from __future__ import annotations

import itertools
import re
import socket
import time
import unittest

from entry_process import EntryProcess
from platform_stand_in import Handler, Searcher, Store, configuration
from small_system import free_ports

REQUESTS = 6
READ_TIMEOUT_S = 5.0
#: Below 100, informational without a final answer, unsolicited 101, above 599, and
#: other major versions of HTTP.
STATUS_LINES = [
    "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 007 OK", "HTTP/1.1 042 OK", "HTTP/1.1 099 OK",
    "HTTP/1.0 000 OK", "HTTP/1.1 100 Continue", "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 102 Processing", "HTTP/1.1 103 Early Hints", "HTTP/1.1 199 OK", "HTTP/1.1 600 OK",
    "HTTP/1.1 666 OK", "HTTP/1.1 799 OK", "HTTP/1.1 999 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
    "HTTP/9.9 200 OK"]


class OddSearcher(Searcher):
    """Answers each request with ``status_line`` and without running it."""

    status_line = ""
    closes = False

    def handle(self, request: Handler) -> None:
        request.read_body()
        request_id = request.headers.get("Attempt-Id", "")
        head = (f"{self.status_line}\r\nAttempt-Id: {request_id}\r\n"
                f"Server-Stamp: {self.stamp(request_id)}\r\n")
        is_informational = " 1" in self.status_line
        request.wfile.write((head + ("\r\n" if is_informational else
                                     "Content-Length: 3\r\n\r\nodd")).encode())
        request.close_connection = self.closes


class OddStore(Store):
    """Answers each call with ``status_line``, unless that is empty."""

    status_line = ""
    odd_answers = 0

    def handle(self, request: Handler) -> None:
        if not self.status_line:
            return super().handle(request)
        request.read_body()
        self.odd_answers += 1
        request.wfile.write(f"{self.status_line}\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        request.close_connection = True
        return None


class StatusTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = OddStore()
        self.odd = [OddSearcher("one", "i-odd"), OddSearcher("shard", "i-odd-shard")]
        self.sound = [Searcher("one", "i-sound"),
                      Searcher("shard", "i-sound-shard", [b"%016d" % 7])]
        for searcher in self.odd + self.sound:
            self.store.put(f"servers/{searcher.name}", searcher.entry())
        common = {"host": "h.example", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 300,
                  "priority": 1, "maxAttempts": 3}
        self.routes = [{**common, "name": "r-one", "prefix": "/one/", "service": "one"},
                       {**common, "name": "r-once", "prefix": "/once/", "service": "one",
                        "kind": "unsafe"},
                       {**common, "name": "r-all", "prefix": "/all/", "gather": ["shard"],
                        "topK": 1, "minCoverage": 1.0}]
        self.configure(1)
        self.entry = EntryProcess("h1", self.store.address, free_ports())
        self.addCleanup(self.entry.stop)
        self.entry.wait_ready()
        self.numbers = itertools.count()

    def tearDown(self) -> None:
        self.assertIsNone(self.entry.process.poll(), "mimosa-entry exited unexpectedly")

    def configure(self, version: int) -> None:
        self.store.put("op/config", configuration(version, self.routes, ["one", "shard"]))

    def status(self, path: str) -> int:
        """The status of the answer to one request; fails if there is no valid answer."""
        number = next(self.numbers)
        host, port = self.entry.caller_address.split(":")
        received = b""
        with socket.create_connection((host, int(port)), timeout=READ_TIMEOUT_S) as connection:
            connection.sendall((f"GET {path}{number} HTTP/1.1\r\nHost: h.example\r\n"
                                f"Attempt-Id: s{number}\r\nConnection: close\r\n\r\n").encode())
            while chunk := connection.recv(65536):
                received += chunk
        match = re.match(rb"HTTP/1\.1 ([2-5]\d\d) ", received)
        self.assertIsNotNone(match, f"no valid answer: {received[:80]!r}")
        assert match
        return int(match[1])

    def assert_odd_answers_reach_nobody(self, path: str, retried: bool = True) -> None:
        for closes in (True, False):
            for line in STATUS_LINES:
                with self.subTest(line=line, closes=closes):
                    for odd in self.odd:
                        odd.status_line = line
                        odd.closes = closes
                    statuses = [self.status(path) for _ in range(REQUESTS)]
                    if retried:
                        self.assertIn(200, statuses)
                    self.assertLessEqual(set(statuses), {200, 502, 503, 504})

    def test_single_requests(self) -> None:
        # Guards against a status that reaches the caller, and against a connection that is
        # closed without an answer: status 0 meant that inside of the server.
        self.assert_odd_answers_reach_nobody("/one/")

    def test_requests_that_may_run_only_once(self) -> None:
        # Guards against the same where no other backend server may be asked.
        self.assert_odd_answers_reach_nobody("/once/", retried=False)

    def test_shard_calls(self) -> None:
        # Guards against a shard result with an undefined status that is merged.
        self.assert_odd_answers_reach_nobody("/all/")

    def test_host_answers_when_no_sound_server_is_left(self) -> None:
        # Guards against a request for which the odd answer is the only one.
        self.store.remove("servers/i-sound")
        time.sleep(4.0)
        for line in STATUS_LINES:
            with self.subTest(line=line):
                self.odd[0].status_line = line
                self.odd[0].closes = True
                self.assertIn(self.status("/one/"), {502, 503, 504})

    def test_store(self) -> None:
        # Guards against an answer of the store that is read as a success, or that ends the
        # service of a host.
        self.odd[0].status_line = "HTTP/1.1 503 Service Unavailable"
        for version, line in enumerate(STATUS_LINES, 2):
            with self.subTest(line=line):
                before = self.store.odd_answers
                self.store.status_line = line
                end = time.monotonic() + READ_TIMEOUT_S
                while self.store.odd_answers < before + 2:
                    self.assertLess(time.monotonic(), end, "the host does not ask the store")
                    time.sleep(0.02)
                self.assertEqual(self.status("/all/"), 200)
                self.store.status_line = ""
                self.configure(version)
        # The last version comes into force.
        self.routes[0]["prefix"] = "/other/"
        self.configure(100)
        end = time.monotonic() + READ_TIMEOUT_S
        while self.status("/one/") != 404:
            self.assertLess(time.monotonic(), end, "the new configuration is not in force")
            time.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
