"""A requester as PROTOCOL.md describes it, for the scripts of this review."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import signal
import sys
import time
import traceback
from collections.abc import Callable, Coroutine

from searcher import encode, read_message

#: Statuses which promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


class Client:
    """Sends one request at a time, over a connection that it keeps."""

    def __init__(self, record: Callable[..., None], hosts: list[str]) -> None:
        self.record, self.hosts = record, hosts
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.host = ""

    async def request(self, method: str, path: str, name: str, body: bytes, deadline_ms: int,
                      headers: dict[str, str] | None = None) -> tuple[str, int, bytes]:
        """Returns the attempt's id, its status (0: the connection closed) and the body."""
        attempt = secrets.token_hex(8)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if not self._streams:
                    self.host = random.choice(self.hosts)
                    self._streams = await asyncio.open_connection(*self.host.split(":"))
                reader, writer = self._streams
                self.record("sent", attempt=attempt, host=self.host, line=f"{method} {path}")
                message = encode("", {"Host": name, "Attempt-Id": attempt,
                                      "Deadline-Ms": str(deadline_ms), **(headers or {})}, body)
                writer.write(f"{method} {path} HTTP/1.1".encode() + message[message.index(b"\r"):])
                line, answer, content = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            self.record("answered", attempt=attempt, status=0)
            return attempt, 0, b""
        status = int(line.split()[1])
        self.record("answered", attempt=attempt, status=status,
                    body=content[:90].decode("latin-1"))
        if answer.get("connection", "") == "close":
            self.close()
        if status in (429, 503):
            await asyncio.sleep(min(float(answer.get("retry-after", "0")), deadline_ms / 3000))
        return attempt, status, content

    def close(self) -> None:
        if self._streams:
            self._streams[1].close()
        self._streams = None


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")  # closed by the end of the process
        self._begin = time.monotonic()

    def __call__(self, event: str, **fields: object) -> None:
        text = " ".join(f"{k}={v!r}" if isinstance(v, str) and " " in v else f"{k}={v}"
                        for k, v in fields.items())
        self._file.write(f"{time.monotonic() - self._begin:9.4f} {event} {text}\n")
        self._file.flush()


def run(play: Callable[[bool, Record], Coroutine[None, None, bool]]) -> None:
    """Ends the process with 1 if play() finds the rule broken, 0 if it held, 2 if it failed."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes of the case before this one, also after its time limit.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        record = Record(os.path.join(folder, "record.txt"))
        sys.exit(1 if asyncio.run(play(trouble, record)) else 0)
    except (Exception, KeyboardInterrupt):  # noqa: BLE001  Whatever it is, the case could not run.
        traceback.print_exc()
        sys.exit(2)
