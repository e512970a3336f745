"""Tests of mimosa-entry against floods of connections, with real processes.

A flood of some dozens of connections sends to one address of a host whose
settings allow little memory and few descriptors. The host must survive, stay
within these settings, serve the other addresses meanwhile and the flooded one
afterwards. Times and the share of served requests are not checked.

The flood and the bounds were fixed before the code that meets them. The
environment variables CROWD_CONNECTIONS, CROWD_MEMORY_MB and CROWD_PRINT (any
value: prints the figures) serve larger floods by hand.
"""

from __future__ import annotations

import http.client
import os
import pathlib
import selectors
import socket
import tempfile
import time
import unittest
from collections.abc import Callable

from entry_process import EntryProcess
from platform_stand_in import Searcher, Store, configuration
from small_system import free_ports

CONNECTIONS = int(os.environ.get("CROWD_CONNECTIONS", "90"))
#: Settings of the host, and the part of the memory that it may use.
MEMORY_MB = int(os.environ.get("CROWD_MEMORY_MB", "32"))
MEMORY_BOUND = 0.9
MAX_DESCRIPTORS = 300 if CONNECTIONS < 150 else 4096
#: Open connections of the flood of descriptors, at each address.
IDLE_CONNECTIONS = 120
#: How long a flood sends, and how long it keeps its connections after that.
SEND_S = 1.0
HOLD_S = 0.3
SERVED_LIMIT_S = 8.0
MAX_BODY_BYTES = 262144
#: A head of legal size (16 KiB) with as many fields as fit.
MANY_FIELDS = b"a:\r\n" * 4000
FRAME_BYTES = 2 << 20


def head(path: str, fields: bytes = b"", method: bytes = b"POST") -> bytes:
    return method + b" " + path.encode() + b" HTTP/1.1\r\nHost: h.example\r\n" + fields + b"\r\n"


def body_in_one_piece(path: str) -> list[bytes]:
    return [head(path, b"Content-Length: %d\r\n" % MAX_BODY_BYTES) + b"x" * (MAX_BODY_BYTES - 1)]


def body_in_small_pieces(path: str) -> list[bytes]:
    whole = body_in_one_piece(path)[0]
    return [whole[at:at + 3000] for at in range(0, len(whole), 3000)]


def body_in_chunks(path: str) -> list[bytes]:
    return [head(path, b"Transfer-Encoding: chunked\r\n")] + [b"fa0\r\n" + b"x" * 4000 + b"\r\n"] * 64


def body_over_the_limit(path: str) -> list[bytes]:
    return [head(path, b"Content-Length: 50000000\r\n")] + [b"x" * 100000] * 30


def fields_before_a_body(path: str) -> list[bytes]:
    return [head(path, MANY_FIELDS + b"Content-Length: 9\r\n") + b"x" * 8]


def fields_in_a_complete_request(path: str) -> list[bytes]:
    return [head(path, MANY_FIELDS, b"GET")]


def fields_without_end(path: str) -> list[bytes]:
    return [head(path, MANY_FIELDS)[:-2]]


def fields_in_trailers(path: str) -> list[bytes]:
    return [head(path, b"Transfer-Encoding: chunked\r\n") + b"0\r\n" + MANY_FIELDS]


def fields_pipelined(path: str) -> list[bytes]:
    return [head(path, MANY_FIELDS, b"GET")] * 8


def requests_pipelined(path: str) -> list[bytes]:
    return [head(path, b"", b"GET") * 500] * 20


def slow_bytes(path: str) -> list[bytes]:
    return [bytes([byte]) for byte in head(path, MANY_FIELDS)]


def halfway(path: str) -> list[bytes]:
    return [head(path, MANY_FIELDS)[:8000]]


def frame(kind: int, body: bytes) -> bytes:
    content = b"\x94\x01" + bytes([kind]) + b"\x07" + body
    return len(content).to_bytes(4, "big") + content


def frame_without_end(_: str) -> list[bytes]:
    return [FRAME_BYTES.to_bytes(4, "big") + b"\x94\x01\x28\x07" + b"x" * (FRAME_BYTES - 5)]


def frame_in_small_pieces(_: str) -> list[bytes]:
    whole = frame_without_end("")[0]
    return [whole[at:at + 20000] for at in range(0, len(whole), 20000)]


def frame_of_many_elements(_: str) -> list[bytes]:
    # LiftedLimits, with a map of one list that has one element for each byte.
    count = FRAME_BYTES - 64
    return [frame(25, b"\x81\xa9Processes\xdd" + count.to_bytes(4, "big") + b"\xc0" * count)]


def frame_of_announced_elements(_: str) -> list[bytes]:
    return [(6).to_bytes(4, "big") + b"\x94\xdd\x7f\xff\xff\xff"]


def replies_not_read(_: str) -> list[bytes]:
    return [frame(40, b"\x82\xa5After\x00\xa4Wait\x00") * 200] * 10


Kind = Callable[[str], "list[bytes]"]
REQUEST_KINDS: list[Kind] = [
    body_in_one_piece, body_in_small_pieces, body_in_chunks, body_over_the_limit,
    fields_before_a_body, fields_in_a_complete_request, fields_without_end, fields_in_trailers,
    fields_pipelined, requests_pipelined, slow_bytes, halfway]
FRAME_KINDS: list[Kind] = [
    frame_without_end, frame_in_small_pieces, frame_of_many_elements,
    frame_of_announced_elements, replies_not_read, body_in_one_piece, fields_pipelined]


class Flood:
    """Connections that send the same pieces in turn and read nothing."""

    def __init__(self, address: str, pieces: list[bytes], count: int = CONNECTIONS) -> None:
        host, port = address.split(":")
        self.sockets: list[socket.socket] = []
        for _ in range(count):
            try:
                self.sockets.append(socket.create_connection((host, int(port)), timeout=2))
            except OSError:
                continue  # The host may refuse connections.
        self.pieces = pieces

    def send(self) -> None:
        end = time.monotonic() + SEND_S
        with selectors.DefaultSelector() as selector:
            for sock in self.sockets:
                sock.setblocking(False)
                selector.register(sock, selectors.EVENT_WRITE, [0, 0])
            while selector.get_map() and time.monotonic() < end:
                for key, _ in selector.select(0.05):
                    position = key.data
                    piece = self.pieces[position[0]]
                    try:
                        position[1] += key.fileobj.send(piece[position[1]:])  # type: ignore
                    except BlockingIOError:
                        continue
                    except OSError:
                        selector.unregister(key.fileobj)  # The host has closed it.
                        continue
                    if position[1] == len(piece):
                        position[:] = [position[0] + 1, 0]
                    if position[0] == len(self.pieces):
                        selector.unregister(key.fileobj)

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()


class CrowdTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        # Slow, so that the requests of a flood are in progress at the same time.
        self.slow = Searcher("slow", "i-slow")
        self.slow.delay_s = 1.0
        self.searcher = Searcher("one", "i-one")
        for searcher in (self.slow, self.searcher):
            self.store.put(f"servers/{searcher.name}", searcher.entry())
        # Makes the replies of the peer address long.
        for number in range(200):
            self.store.put(f"servers/gone-{number}", b"x" * 500)
        routes = [{"name": f"r-{name}", "host": "h.example", "prefix": f"/{name}/", "kind": "safe",
                   "timeoutMs": 2500, "targetLatencyMs": 300, "priority": 1, "maxAttempts": 2,
                   "service": name} for name in ("slow", "one")]
        self.store.put("op/config", configuration(1, routes, ["slow", "one"]))
        self.entry = self.start()

    def start(self) -> EntryProcess:
        with tempfile.NamedTemporaryFile("w", suffix=".conf", delete=False) as settings:
            settings.write(f"memory-mb={MEMORY_MB}\nmax-descriptors={MAX_DESCRIPTORS}\n")
        self.addCleanup(pathlib.Path(settings.name).unlink)
        entry = EntryProcess("h1", self.store.address, free_ports(), settings_file=settings.name)
        self.addCleanup(entry.stop)
        entry.wait_ready()
        return entry

    def restart(self) -> None:
        self.entry.stop()
        self.entry = self.start()

    def memory_mb(self) -> float:
        """The largest resident memory of the host so far."""
        status = pathlib.Path(f"/proc/{self.entry.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024

    def descriptors(self) -> int:
        return len(list(pathlib.Path(f"/proc/{self.entry.process.pid}/fd").iterdir()))

    def assert_answers(self, address: str, path: str) -> None:
        connection = http.client.HTTPConnection(address, timeout=5)
        end = time.monotonic() + SERVED_LIMIT_S
        while True:
            outcome: object = None
            try:
                connection.request("GET", path, headers={"Host": "h.example", "Attempt-Id": "t"})
                response = connection.getresponse()
                response.read()
                outcome = response.status
            except (OSError, http.client.HTTPException) as error:
                outcome = error
            finally:
                connection.close()
            if outcome == 200:
                return
            self.assertIsNone(self.entry.process.poll(), "mimosa-entry exited")
            self.assertLess(time.monotonic(), end, f"{address}{path}: {outcome!r}")
            time.sleep(0.1)

    def assert_survives(self, address: str, path: str, kind: Kind) -> None:
        flood = Flood(address, kind(path))
        try:
            flood.send()
            time.sleep(HOLD_S)
            descriptors = self.descriptors()
            # A flood at one address must not block another.
            if address != self.entry.caller_address:
                self.assert_answers(self.entry.caller_address, "/one/q")
            else:
                self.assert_answers(self.entry.ready_address, "/ready")
        finally:
            flood.close()
        self.assert_answers(self.entry.caller_address, "/one/q")
        self.assert_answers(self.entry.ready_address, "/ready")
        if os.environ.get("CROWD_PRINT"):
            print(f"{path} {kind.__name__}: {self.memory_mb():.1f} MB, {descriptors} open")
        self.assertLess(self.memory_mb(), MEMORY_MB * MEMORY_BOUND)
        self.assertLess(descriptors, MAX_DESCRIPTORS)

    def flood(self, address_name: str, path: str, kinds: list[Kind]) -> None:
        for kind in kinds:
            with self.subTest(kind=kind.__name__):
                self.restart()
                self.assert_survives(getattr(self.entry, address_name), path, kind)

    def test_floods_at_a_route(self) -> None:
        # Guards against requests in progress that fill the memory: fields, their copies, bodies.
        self.flood("caller_address", "/slow/q", REQUEST_KINDS)

    def test_floods_without_a_route(self) -> None:
        # Guards against a bound that only requests with a route meet.
        self.flood("caller_address", "/nowhere", REQUEST_KINDS)

    def test_floods_at_the_readiness_address(self) -> None:
        # Guards against an address without a bound of its own, and against readiness
        # checks that fill the memory which callers need.
        self.flood("ready_address", "/ready", REQUEST_KINDS)

    def test_floods_at_the_directory_address(self) -> None:
        self.flood("directory_address", "/addresses", REQUEST_KINDS)

    def test_floods_at_the_metrics_address(self) -> None:
        # Guards against long answers that are not read, too.
        self.flood("metrics_address", "/metrics", REQUEST_KINDS)

    def test_floods_at_the_peer_address(self) -> None:
        # Guards against frames that are never complete, and against replies that nobody reads.
        self.flood("peer_address", "", FRAME_KINDS)

    def test_idle_connections_take_all_descriptors(self) -> None:
        # Guards against limits on the connections of each address that exceed, together,
        # what the process may open.
        addresses = [self.entry.caller_address, self.entry.ready_address,
                     self.entry.directory_address, self.entry.peer_address,
                     self.entry.metrics_address]
        floods = [Flood(address, [b"G"], IDLE_CONNECTIONS) for address in addresses]
        try:
            time.sleep(HOLD_S)
            self.assertLess(self.descriptors(), MAX_DESCRIPTORS)
            self.assert_answers(self.entry.ready_address, "/ready")
        finally:
            for flood in floods:
                flood.close()
        self.assert_answers(self.entry.caller_address, "/one/q")
        self.assertLess(self.memory_mb(), MEMORY_MB * MEMORY_BOUND)


if __name__ == "__main__":
    unittest.main()
