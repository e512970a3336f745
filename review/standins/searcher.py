"""A searcher as PROTOCOL.md describes it, for the scripts of this review.

It runs `slots` requests at a time, queues `queue` more and declines the rest with
503 and Not-Executed. All searchers of a script share one event loop.
"""

from __future__ import annotations

import asyncio
import random
import re
import time
from collections import deque
from collections.abc import Callable

LOCALHOST = "127.0.0.1"


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads a request or an answer: first line, headers by lower-case name, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def encode(status: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in headers.items()),
             f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Searcher:
    def __init__(self, service: str, name: str, record: Callable[..., None], slots: int = 3,
                 queue: int = 2, work_s: float = 0.03) -> None:
        self.service, self.name, self.record = service, name, record
        self.slots, self.queue, self.work_s = slots, queue, work_s
        #: Part of its answers that are sent a second time, late, on the same connection.
        self.double_share = 0.0
        #: Whether these second answers have no length and end with their connection.
        self.doubles_without_length = False
        #: Part of its requests that fail, and the status line of the failure.
        self.fail_share = 0.0
        self.fail_status = "500 Internal Server Error"
        #: Part of its requests that it declines although it has room.
        self.shed_share = 0.0
        #: Requests whose path has this part crash it.
        self.crash_word: str | None = None
        self.crashed: Callable[[Searcher], None] = lambda server: None
        self.address = ""
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs: dict[str, int] = {}
        self.bodies: dict[str, bytes] = {}
        self.answers = self.doubled = self.declined = 0
        self._running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        port = int(self.address.split(":")[1]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, LOCALHOST, port)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def crash(self) -> None:
        """Resets all connections and stops listening."""
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict[str, object]:
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": "z1", "version": "v1",
                "slots": self.slots, "state": state, "coldLeftMs": 0, "sequence": self.sequence,
                "born": self.born}

    async def _slot(self) -> bool:
        if self._running < self.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        await turn
        return True

    def _release(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1

    async def _answer(self, line: str, headers: dict[str, str], body: bytes) -> bytes:
        attempt = headers.get("attempt-id", "")
        own = {"Attempt-Id": attempt, "Keep-Alive": "timeout=15"}
        if headers.get("expect-instance") != self.name:
            return encode("421 Misdirected Request", {**own, "Instance-Id": self.name})
        if random.random() < self.shed_share or not await self._slot():
            self.declined += 1
            self.record("declined", attempt=attempt, server=self.name)
            return encode("503 Service Unavailable", {**own, "Not-Executed": "1"})
        try:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            self.bodies[attempt] = body
            self.record("run", attempt=attempt, server=self.name, line=line, bytes=len(body))
            if self.crash_word and self.crash_word in line and self._server:
                await self.crash()
                self.crashed(self)
                raise ConnectionError("crashed")
            await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3))
            stamped = {**own, "Server-Stamp": f"{self.name}.{attempt}"}
            if random.random() < self.fail_share:
                return encode(self.fail_status, own)
            return encode("200 OK", stamped, b"ran:" + body)
        finally:
            self._release()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        late_copy = b""
        late_copy_ends = False
        try:
            while True:
                line, headers, body = await read_message(reader)
                if late_copy:
                    writer.write(late_copy)
                    late_copy = b""
                ends = late_copy_ends
                answer = await self._answer(line, headers, body)
                writer.write(answer)
                await writer.drain()
                self.answers += 1
                if ends:
                    break
                if random.random() < self.double_share:
                    self.doubled += 1
                    late_copy = answer
                    if self.doubles_without_length:
                        late_copy = re.sub(rb"Content-Length: \d+\r\n", b"", answer, count=1)
                        late_copy_ends = True
                    self.record("doubled", attempt=headers.get("attempt-id", ""),
                                server=self.name, status=answer[9:12].decode())
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
