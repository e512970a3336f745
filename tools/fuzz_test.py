"""Damaged input from callers, searchers, other hosts and the store.

Each test sends bytes that are damaged at random, with a fixed seed, to a real
mimosa-entry, which must answer or close, go on, and never pass damage on as a
success. FUZZ_ROUNDS sets the length of a longer run by hand, FUZZ_SEED its seed.
"""

from __future__ import annotations

import itertools
import os
import random
import socket
import threading
import time
import unittest

from entry_process import Entry
from platform_stand_in import Handler, Searcher, Store, configuration
from small_system import free_ports

ROUNDS = int(os.environ.get("FUZZ_ROUNDS", "150"))
SEED = int(os.environ.get("FUZZ_SEED", "20261204"))
#: A damaged request may announce a body that does not come.
ANSWER_LIMIT_S = 0.05
READ_LIMIT_S = 2.0
BODY = b"echo:abc"

REQUESTS = [
    b"GET /one/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: f1\r\nDeadline-Ms: 900\r\n\r\n",
    b"POST /one/b HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: f2\r\nContent-Length: 3\r\n\r\nabc",
    b"POST /one/c HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: f3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
]
#: A frame with the request for a picture, and one that is cut short.
FRAMES = [b"\x00\x00\x00\x17\x94\x01\x28\x07\x82\xa5After\x00\xa4Wait\x00",
          b"\x00\x00\x01\x00\x94\x01\x28"]


def proper_request(number: int) -> bytes:
    """One of many requests that differ, as callers' requests do: a host refuses
    one that is sent again after two of its tries have lost their searchers."""
    return (f"POST /one/n{number} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: n{number}\r\n"
            f"Connection: close\r\nContent-Length: 3\r\n\r\nabc").encode()


def damaged(rng: random.Random, data: bytes) -> bytes:
    """``data`` with a few bytes changed, repeated, inserted or cut off."""
    out = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(out) + 1)
        kind = rng.randrange(5)
        if kind == 0 and out:
            out[at % len(out)] = rng.randrange(256)
        elif kind == 1:
            out[at:at] = rng.randbytes(rng.randint(1, 8))
        elif kind == 2:
            out[at:at] = out[at:at + rng.randint(1, 40)]
        elif kind == 3:
            del out[at:at + rng.randint(1, 20)]
        else:
            out[at:at] = rng.choice([b"\r\n", b"\x00", b"-1", b"99999999999", b": ", b"\x80" * 9])
    return bytes(out)


class HostileSearcher(Searcher):
    """Sends what ``damage`` makes of a right answer, and may close then."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.damages = False
        super().__init__("one", "i-hostile")

    def handle(self, call: Handler) -> None:
        body = call.body()
        request_id = call.headers.get("Attempt-Id", "")
        content = b"echo:" + body
        answer = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n"
                  f"Server-Stamp: {self.stamp(request_id)}\r\n"
                  f"Content-Length: {len(content)}\r\n\r\n").encode() + content
        call.wfile.write(damaged(self.rng, answer) if self.damages else answer)
        call.close_connection = self.damages and self.rng.random() < 0.7


class HostileStore(Store):
    """Damages the bodies of its answers."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.damages = False
        super().__init__()

    def handle(self, call: Handler) -> None:
        if self.damages:
            usual = call.answer

            def answer(status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
                usual(status, damaged(self.rng, body), headers)
            call.answer = answer  # type: ignore[method-assign]
        super().handle(call)


class FuzzTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = random.Random(SEED)
        self.store = HostileStore(random.Random(SEED + 1))
        self.searcher = HostileSearcher(random.Random(SEED + 2))
        self.store.put(f"servers/{self.searcher.name}", self.searcher.entry())
        route = {"name": "r", "host": "h.example", "prefix": "/one/", "kind": "safe",
                 "timeoutMs": 900, "targetLatencyMs": 300, "priority": 1, "maxAttempts": 1,
                 "service": "one"}
        self.store.put("op/config", configuration(
            1, [route], ["one"], header_timeout_ms=300, idle_timeout_ms=1500))
        self.entry = Entry("h1", self.store.address, free_ports())
        self.addCleanup(self.entry.stop)
        self.entry.wait_ready()
        self.numbers = itertools.count()

    def tearDown(self) -> None:
        self.assertIsNone(self.entry.process.poll(), "the host ended by itself")

    @staticmethod
    def send(address: str, data: bytes, limit_s: float) -> bytes:
        """Sends ``data`` and returns what comes within the limit."""
        host, port = address.split(":")
        got = b""
        with socket.create_connection((host, int(port)), timeout=limit_s) as connection:
            try:
                connection.sendall(data)
                while part := connection.recv(65536):
                    got += part
            except OSError:
                pass  # It was closed, or there is no answer to this damage.
        return got

    def assert_serves(self) -> None:
        end = time.monotonic() + READ_LIMIT_S * 2
        got = b""
        while time.monotonic() < end:
            got = self.send(self.entry.callers, proper_request(next(self.numbers)), READ_LIMIT_S)
            if got.startswith(b"HTTP/1.1 200") and got.endswith(BODY):
                return
            time.sleep(0.1)
        self.fail(f"no success after the damage: {got[:200]!r}")

    def test_damaged_requests(self) -> None:
        # Guards against a request that ends the process or stops its service.
        def sends(seed: int) -> None:
            rng = random.Random(seed)
            for _ in range(ROUNDS):
                data = damaged(rng, rng.choice(REQUESTS))
                self.send(self.entry.callers, data, ANSWER_LIMIT_S)
                self.send(self.entry.directory, data, ANSWER_LIMIT_S)
        threads = [threading.Thread(target=sends, args=(SEED + i,)) for i in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assert_serves()

    def test_damaged_frames(self) -> None:
        # Guards against a frame of another host that ends the process.
        for _ in range(ROUNDS):
            self.send(self.entry.peer, damaged(self.rng, self.rng.choice(FRAMES)),
                      ANSWER_LIMIT_S)
        self.assert_serves()

    def test_damaged_answers_of_searchers(self) -> None:
        # Guards against damage that is passed on as a success: the body of a
        # success is what was announced, from the answer to this very request.
        self.searcher.damages = True
        for _ in range(ROUNDS):
            got = self.send(self.entry.callers, proper_request(next(self.numbers)), READ_LIMIT_S)
            head, _, body = got.partition(b"\r\n\r\n")
            self.assertTrue(head.startswith(b"HTTP/1.1 "), got[:100])
            self.assertNotIn(b"crashes_backend_servers", body)
            if head.startswith(b"HTTP/1.1 2"):
                self.assertIn(b"Server-Stamp", head)
                lengths = [line for line in head.split(b"\r\n")
                           if line.lower().startswith(b"content-length:")]
                if lengths:
                    self.assertEqual(len(body), int(lengths[0].split(b":")[1]))
        self.searcher.damages = False
        self.assert_serves()

    def test_damaged_answers_of_the_store(self) -> None:
        # Guards against a store whose answers cannot be read ending the process
        # or its service, and against damage that stays after it.
        self.store.damages = True
        end = time.monotonic() + ROUNDS / 50
        while time.monotonic() < end:
            self.store.put(f"servers/{self.searcher.name}", self.searcher.entry())
            time.sleep(0.02)
        self.store.damages = False
        self.store.forget_history()
        self.store.put(f"servers/{self.searcher.name}", self.searcher.entry())
        self.assert_serves()


if __name__ == "__main__":
    unittest.main()
