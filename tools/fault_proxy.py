"""A TCP proxy on loopback whose connections can be disturbed.

    proxy = FaultProxy(("127.0.0.1", 8080))
    proxy.address            # where clients connect
    proxy.disturb(Mode.SILENT)
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
#: Delay of each chunk in mode SLOW; longer than a part's usual time.
SLOW_S = 0.08
CONNECT_LIMIT_S = 2.0
#: Ends a connection by a reset in place of an orderly close.
_LINGER_RESET = struct.pack("ii", 1, 0)
_REFUSAL = (b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n"
            b"Content-Type: application/json\r\n\r\n{}")


class Mode(enum.Enum):
    """What happens to the bytes of all connections."""

    PASS = "pass"
    #: Each chunk is passed on late.
    SLOW = "slow"
    #: Nothing is passed on in either direction; connections stay open.
    SILENT = "silent"
    #: Requests do not arrive.
    CUT_THERE = "cut_there"
    #: Answers do not arrive.
    CUT_BACK = "cut_back"
    #: New connections are reset.
    RESET = "reset"
    #: Each chunk of a client is answered with 503.
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
        #: May be changed; it holds for new connections.
        self.target = target
        self.mode = Mode.PASS
        self._open: set[asyncio.StreamWriter] = set()
        self._loop = _shared_loop()
        starting = asyncio.start_server(self._serve, LOCALHOST, 0)
        self._server = asyncio.run_coroutine_threadsafe(starting, self._loop).result()
        self.port: int = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOCALHOST}:{self.port}"

    def disturb(self, mode: Mode) -> None:
        """Begins ``mode``; RESET also ends the open connections."""
        self.mode = mode
        if mode == Mode.RESET:
            self.reset()

    def heal(self) -> None:
        """Ends the disturbance, and the connections whose bytes were swallowed."""
        self.mode = Mode.PASS
        self.reset()

    def reset(self) -> None:
        self._loop.call_soon_threadsafe(self._reset_all)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._server.close)
        self.reset()

    def _reset_all(self) -> None:
        for writer in list(self._open):
            self._reset(writer)

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        raw = writer.get_extra_info("socket")
        with contextlib.suppress(OSError):  # It may be closed already.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == Mode.RESET:
            return self._reset(writer)
        self._open.add(writer)
        back: asyncio.StreamWriter | None = None
        try:
            there, back = await asyncio.wait_for(
                asyncio.open_connection(*self.target), CONNECT_LIMIT_S)
            self._open.add(back)
            await asyncio.gather(self._pass(reader, back, writer, Mode.CUT_THERE),
                                 self._pass(there, writer, writer, Mode.CUT_BACK))
        except (OSError, asyncio.TimeoutError):
            self._reset(writer)
        finally:
            for one in (writer, back):
                if one is not None:
                    self._open.discard(one)
                    one.close()
        return None

    async def _pass(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter,
                    client: asyncio.StreamWriter, cut: Mode) -> None:
        while data := await source.read(CHUNK_BYTES):
            if self.mode == Mode.SLOW:
                await asyncio.sleep(SLOW_S)
            if self.mode in (Mode.SILENT, cut):
                continue
            if self.mode == Mode.REFUSE:
                if sink is not client:
                    client.write(_REFUSAL)
                continue
            sink.write(data)
            await sink.drain()
        with contextlib.suppress(OSError):  # The other direction may have ended it.
            if sink.can_write_eof() and not sink.is_closing():
                sink.write_eof()
