"""A TCP proxy on loopback that injects network faults.

    proxy = FaultProxy(("127.0.0.1", 8080))
    proxy.address            # where clients connect
    proxy.inject(Mode.DROP_ALL)
    proxy.heal()
    proxy.reset()            # ends all open connections with a reset
    proxy.close()

All proxies of a process share one thread.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
import threading

LOCALHOST = "127.0.0.1"
CHUNK_BYTES = 65536
#: Delay of each chunk in mode SLOW; longer than a shard usually takes.
SLOW_DELAY_S = 0.08
CONNECT_TIMEOUT_S = 2.0
#: SO_LINGER with a timeout of 0: close() sends a reset instead of an orderly close.
_LINGER_ZERO = struct.pack("ii", 1, 0)
_UNAVAILABLE_RESPONSE = (b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n"
                         b"Content-Type: application/json\r\n\r\n{}")


class Mode(enum.Enum):
    """How the proxy treats the bytes of all connections."""

    PASS = "pass"
    #: Each chunk is delayed.
    SLOW = "slow"
    #: Bytes are dropped in both directions; connections stay open.
    DROP_ALL = "silent"
    #: Bytes from clients are dropped.
    DROP_REQUESTS = "cut_there"
    #: Bytes to clients are dropped.
    DROP_RESPONSES = "cut_back"
    #: New connections are reset.
    RESET = "reset"
    #: Each chunk of a client gets a response with status 503.
    REFUSE = "refuse"


_loop: asyncio.AbstractEventLoop | None = None
_loop_lock = threading.Lock()


def _shared_loop() -> asyncio.AbstractEventLoop:
    global _loop
    with _loop_lock:
        if _loop is None:
            _loop = asyncio.new_event_loop()
            threading.Thread(target=_loop.run_forever, daemon=True).start()
        return _loop


class FaultProxy:
    def __init__(self, target: tuple[str, int]) -> None:
        #: May be changed; affects new connections only.
        self.target = target
        self.mode = Mode.PASS
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = _shared_loop()
        starting = asyncio.start_server(self._serve, LOCALHOST, 0)
        self._server = asyncio.run_coroutine_threadsafe(starting, self._loop).result()
        self.port: int = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOCALHOST}:{self.port}"

    def inject(self, mode: Mode) -> None:
        """Switches to ``mode``; RESET also resets the open connections."""
        self.mode = mode
        if mode == Mode.RESET:
            self.reset()

    def heal(self) -> None:
        """Ends the fault and resets the open connections, which may have lost bytes."""
        self.mode = Mode.PASS
        self.reset()

    def reset(self) -> None:
        self._loop.call_soon_threadsafe(self._reset_all)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._server.close)
        self.reset()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            self._reset(writer)

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        raw = writer.get_extra_info("socket")
        with contextlib.suppress(OSError):  # The socket may be closed already.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == Mode.RESET:
            return self._reset(writer)
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            target_reader, target_writer = await asyncio.wait_for(
                asyncio.open_connection(*self.target), CONNECT_TIMEOUT_S)
            self._writers.add(target_writer)
            await asyncio.gather(self._forward(reader, target_writer, writer, Mode.DROP_REQUESTS),
                                 self._forward(target_reader, writer, writer, Mode.DROP_RESPONSES))
        except (OSError, asyncio.TimeoutError):
            self._reset(writer)
        finally:
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    open_writer.close()
        return None

    async def _forward(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter,
                       client: asyncio.StreamWriter, dropping_mode: Mode) -> None:
        while data := await source.read(CHUNK_BYTES):
            if self.mode == Mode.SLOW:
                await asyncio.sleep(SLOW_DELAY_S)
            if self.mode in (Mode.DROP_ALL, dropping_mode):
                continue
            if self.mode == Mode.REFUSE:
                if sink is not client:
                    client.write(_UNAVAILABLE_RESPONSE)
                continue
            sink.write(data)
            await sink.drain()
        with contextlib.suppress(OSError):  # The other direction may have closed the sink.
            if sink.can_write_eof() and not sink.is_closing():
                sink.write_eof()
