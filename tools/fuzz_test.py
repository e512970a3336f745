"""Fuzz tests of mimosa-entry: input from callers, searchers, hosts and the store.

Each test sends randomly damaged bytes, from a fixed seed, to a real mimosa-entry,
which must respond or close the connection, continue to serve, and never forward
damaged content as a success. The environment variables FUZZ_ROUNDS and FUZZ_SEED
set the length and the seed of a longer run.
"""

from __future__ import annotations

import itertools
import os
import random
import socket
import threading
import time
import unittest

from entry_process import EntryProcess
from platform_stand_in import Handler, Searcher, Store, configuration
from small_system import free_ports

ROUNDS = int(os.environ.get("FUZZ_ROUNDS", "150"))
SEED = int(os.environ.get("FUZZ_SEED", "20261204"))
#: Short, since a damaged request may announce a body that is never sent.
DAMAGED_REQUEST_TIMEOUT_S = 0.05
READ_TIMEOUT_S = 2.0
BODY = b"echo:abc"

REQUESTS = [
    b"GET /one/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: f1\r\nDeadline-Ms: 900\r\n\r\n",
    b"POST /one/b HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: f2\r\nContent-Length: 3\r\n\r\nabc",
    b"POST /one/c HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: f3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
]
#: A frame that requests the store cache, and a truncated one.
FRAMES = [b"\x00\x00\x00\x17\x94\x01\x28\x07\x82\xa5After\x00\xa4Wait\x00",
          b"\x00\x00\x01\x00\x94\x01\x28"]


def valid_request(number: int) -> bytes:
    """A valid request, distinct for each ``number``.

    Requests must differ because a host quarantines a request after two of its
    attempts have lost their searchers.
    """
    return (f"POST /one/n{number} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: n{number}\r\n"
            f"Connection: close\r\nContent-Length: 3\r\n\r\nabc").encode()


def damage(rng: random.Random, data: bytes) -> bytes:
    """Returns ``data`` with a few bytes changed, inserted, repeated or removed."""
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


class DamagingSearcher(Searcher):
    """Sends damaged responses and often closes the connection after them."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.damages_responses = False
        super().__init__("one", "i-hostile")

    def handle(self, request: Handler) -> None:
        body = request.read_body()
        request_id = request.headers.get("Attempt-Id", "")
        content = b"echo:" + body
        response = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n"
                    f"Server-Stamp: {self.stamp(request_id)}\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n").encode() + content
        request.wfile.write(damage(self.rng, response) if self.damages_responses else response)
        request.close_connection = self.damages_responses and self.rng.random() < 0.7


class DamagingStore(Store):
    """Sends responses with damaged bodies."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.damages_responses = False
        super().__init__()

    def handle(self, request: Handler) -> None:
        if self.damages_responses:
            respond_undamaged = request.respond

            def respond(status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
                respond_undamaged(status, damage(self.rng, body), headers)
            request.respond = respond  # type: ignore[method-assign]
        super().handle(request)


class FuzzTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = random.Random(SEED)
        self.store = DamagingStore(random.Random(SEED + 1))
        self.searcher = DamagingSearcher(random.Random(SEED + 2))
        self.store.put(f"servers/{self.searcher.name}", self.searcher.entry())
        route = {"name": "r", "host": "h.example", "prefix": "/one/", "kind": "safe",
                 "timeoutMs": 900, "targetLatencyMs": 300, "priority": 1, "maxAttempts": 1,
                 "service": "one"}
        self.store.put("op/config", configuration(
            1, [route], ["one"], header_timeout_ms=300, idle_timeout_ms=1500))
        self.entry = EntryProcess("h1", self.store.address, free_ports())
        self.addCleanup(self.entry.stop)
        self.entry.wait_ready()
        self.request_numbers = itertools.count()

    def tearDown(self) -> None:
        self.assertIsNone(self.entry.process.poll(), "mimosa-entry exited unexpectedly")

    @staticmethod
    def send(address: str, data: bytes, timeout_s: float) -> bytes:
        """Sends ``data`` and returns the bytes received until a close or the timeout."""
        host, port = address.split(":")
        received = b""
        with socket.create_connection((host, int(port)), timeout=timeout_s) as connection:
            try:
                connection.sendall(data)
                while chunk := connection.recv(65536):
                    received += chunk
            except OSError:
                pass  # The host closed the connection or does not respond to this input.
        return received

    def assert_serves(self) -> None:
        end = time.monotonic() + READ_TIMEOUT_S * 2
        received = b""
        while time.monotonic() < end:
            received = self.send(self.entry.caller_address,
                                 valid_request(next(self.request_numbers)), READ_TIMEOUT_S)
            if received.startswith(b"HTTP/1.1 200") and received.endswith(BODY):
                return
            time.sleep(0.1)
        self.fail(f"no valid request succeeds after the damaged input: {received[:200]!r}")

    def test_damaged_requests(self) -> None:
        # Guards against a damaged request that ends the process or stops its service.
        def send_damaged(seed: int) -> None:
            rng = random.Random(seed)
            for _ in range(ROUNDS):
                data = damage(rng, rng.choice(REQUESTS))
                self.send(self.entry.caller_address, data, DAMAGED_REQUEST_TIMEOUT_S)
                self.send(self.entry.directory_address, data, DAMAGED_REQUEST_TIMEOUT_S)
        threads = [threading.Thread(target=send_damaged, args=(SEED + i,)) for i in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assert_serves()

    def test_damaged_frames(self) -> None:
        # Guards against a damaged frame of another host that ends the process.
        for _ in range(ROUNDS):
            self.send(self.entry.peer_address, damage(self.rng, self.rng.choice(FRAMES)),
                      DAMAGED_REQUEST_TIMEOUT_S)
        self.assert_serves()

    def test_damaged_responses_of_searchers(self) -> None:
        # Guards against damaged content that is forwarded as a success: the body
        # must have the announced length and carry the stamp of a searcher.
        self.searcher.damages_responses = True
        for _ in range(ROUNDS):
            received = self.send(self.entry.caller_address,
                                 valid_request(next(self.request_numbers)), READ_TIMEOUT_S)
            head, _, body = received.partition(b"\r\n\r\n")
            self.assertTrue(head.startswith(b"HTTP/1.1 "), received[:100])
            self.assertNotIn(b"crashes_backend_servers", body)
            if head.startswith(b"HTTP/1.1 2"):
                self.assertIn(b"Server-Stamp", head)
                lengths = [line for line in head.split(b"\r\n")
                           if line.lower().startswith(b"content-length:")]
                if lengths:
                    self.assertEqual(len(body), int(lengths[0].split(b":")[1]))
        self.searcher.damages_responses = False
        self.assert_serves()

    def test_damaged_responses_of_the_store(self) -> None:
        # Guards against unreadable store responses that end the process or its
        # service, or whose effects outlast them.
        self.store.damages_responses = True
        end = time.monotonic() + ROUNDS / 50
        while time.monotonic() < end:
            self.store.put(f"servers/{self.searcher.name}", self.searcher.entry())
            time.sleep(0.02)
        self.store.damages_responses = False
        self.store.forget_history()
        self.store.put(f"servers/{self.searcher.name}", self.searcher.entry())
        self.assert_serves()


if __name__ == "__main__":
    unittest.main()
