"""A small deployment of mimosa-entry on loopback, for the scripts of the third review.

It starts `mimosa-entry` with the command, the settings template and the
environment that deploy/system.toml names. The store is the project's own
stand-in (tools/platform_stand_in.py). The searchers and the requesters are new
ones, since the project's searcher knows neither HEAD nor failures after a run.

The searchers follow PROTOCOL.md: they answer 421 to a request that expects
another instance, echo Attempt-Id, sign their answers, keep connections open and
state Not-Executed if, and only if, they have not run the request.
"""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from platform_stand_in import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "search.example"
ZONES = ("poste-nord", "usine-eau", "hotel-ville")
#: The bounds of SYSTEM.md for the site saules-recherche.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
    "downgradeSlackMs": 250, "maxSkewMs": 12000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
    "retrySlack": 52, "coldOverage": 1.5, "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 12,
    "ttl_max_s": 5}
LIMITS = {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0}
CONFIG_APPLY_S = BOUNDS["configApplyMs"] / 1000
READY_TIMEOUT_S = 10.0
#: "A process that exits or is killed is restarted after a short delay" (DEPLOY.md).
RESTART_DELAY_S = 1.0


class Record:
    """Writes what was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, line: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {line}\n")
            self._file.flush()


@dataclasses.dataclass
class Message:
    """A request or a response; ``first_line`` is split at spaces."""

    first_line: list[str]
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str:
        return next((v for n, v in self.headers if n.lower() == name.lower()), "")


class NoHttp(Exception):
    """Bytes that are no message of the protocol."""


class Stream:
    """Reads HTTP/1.1 messages from a socket, strictly by their framing."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""

    def _fill(self) -> None:
        received = self.sock.recv(65536)
        if not received:
            raise ConnectionError("the connection ended")
        self.buffer += received

    def _take(self, count: int) -> bytes:
        while len(self.buffer) < count:
            self._fill()
        out, self.buffer = self.buffer[:count], self.buffer[count:]
        return out

    def _line(self) -> bytes:
        while b"\r\n" not in self.buffer:
            self._fill()
        out, self.buffer = self.buffer.split(b"\r\n", 1)
        return out

    def read(self, pattern: bytes, has_body: bool = True) -> Message:
        """Reads a message whose first line matches ``pattern``."""
        while b"\r\n" not in self.buffer and len(self.buffer) < 4096:
            self._fill()
        if not re.match(pattern, self.buffer):
            raise NoHttp(repr(self.buffer[:120]))
        first = self._line().decode("latin-1").split(" ", 2)
        headers = []
        while line := self._line():
            name, _, value = line.decode("latin-1").partition(":")
            headers.append((name.strip(), value.strip()))
        message = Message(first, headers, b"")
        if not has_body:
            return message
        if message.header("Transfer-Encoding").lower() == "chunked":
            while size := int(self._line(), 16):
                message.body += self._take(size)
                self._take(2)
            while self._line():
                pass
        elif length := message.header("Content-Length"):
            message.body = self._take(int(length))
        return message


REQUEST_LINE = rb"[A-Z]+ [^ ]+ HTTP/1\.1\r\n"
STATUS_LINE = rb"HTTP/1\.1 [1-5]\d\d"


@dataclasses.dataclass
class Run:
    """A request that a searcher has begun to run."""

    attempt_id: str
    method: str
    target: str
    body: bytes


class Searcher:
    """A searcher of one service.

    For each request that it has run, ``fails_after_run`` says whether it fails, and
    ``loses_answer`` whether the connection is reset in place of an answer.
    """

    def __init__(self, record: Record, service: str, name: str, zone: str, number: int,
                 work_s: float) -> None:
        self.record = record
        self.service = service
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[Run] = []
        self.fails_after_run: Callable[[], bool] = lambda: False
        self.loses_answer: Callable[[], bool] = lambda: False
        #: Counts the runs in place of recording each, for a crowd.
        self.counts_only = False
        self.run_count = 0
        #: Lengths of its answers, taken in turn; a short text if there are none.
        self.answer_bytes: tuple[int, ...] = ()
        self._listener = socket.create_server((f"127.0.1.{number}", 0), backlog=128)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 3, "state": "ready", "coldLeftMs": 0,
                "sequence": self.sequence, "born": self.born}

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(sock)
        try:
            while True:
                self._answer(sock, stream.read(REQUEST_LINE))
        except (OSError, NoHttp):
            sock.close()

    def _answer(self, sock: socket.socket, request: Message) -> None:
        method, target, _ = request.first_line
        attempt_id = request.header("Attempt-Id")
        headers = [f"Attempt-Id: {attempt_id}", "Keep-Alive: timeout=15"]
        if target == "/health":
            return self._send(sock, method, 200, [f"Instance-Id: {self.name}"], b"")
        if request.header("Expect-Instance") != self.name:
            return self._send(sock, method, 421, [*headers, f"Instance-Id: {self.name}"], b"")
        if self.counts_only:
            self.run_count += 1
        else:
            self.runs.append(Run(attempt_id, method, target, request.body))
            self.record.write(f"run {attempt_id} at {self.name}: {method} {target} "
                              f"body={len(request.body)} bytes")
        if self.work_s:
            time.sleep(self.work_s)
        headers.append(f"Server-Stamp: {self.name}.{attempt_id}")
        if self.loses_answer():
            self.record.write(f"lose {attempt_id} at {self.name}: reset")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise ConnectionError("the answer is lost")
        if self.fails_after_run():
            self.record.write(f"fail {attempt_id} at {self.name}: 503 without Not-Executed")
            return self._send(sock, method, 503, headers, b"a dependency failed")
        body = f"done {target}".encode()
        if self.answer_bytes:
            body = b"x" * self.answer_bytes[self.run_count % len(self.answer_bytes)]
        return self._send(sock, method, 200, headers, body)

    @staticmethod
    def _send(sock: socket.socket, method: str, status: int, headers: list[str],
              body: bytes) -> None:
        reason = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}[status]
        head = "\r\n".join([f"HTTP/1.1 {status} {reason}", *headers,
                            f"Content-Length: {len(body)}", "", ""]).encode()
        sock.sendall(head + (b"" if method == "HEAD" else body))


def route(name: str, prefix: str, service: str, kind: str) -> dict[str, Any]:
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": 5000,
            "targetLatencyMs": 800, "priority": 2, "service": service, "maxAttempts": 2}


class System:
    """The store, the searchers of the named services and two hosts in two zones."""

    def __init__(self, record: pathlib.Path, services: dict[str, int], work_s: float) -> None:
        self.record = Record(record)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.starts: list[tuple[dict[str, str], str]] = []
        self.stopping = False
        self.limits_memory = False
        self.version = 5
        self.store = Store()
        self.searchers: dict[str, list[Searcher]] = {}
        number = 0
        for service, count in services.items():
            self.searchers[service] = []
            for index in range(count):
                number += 1
                searcher = Searcher(self.record, service, f"i-{service}-{index}",
                                    ZONES[index % len(ZONES)], number, work_s)
                self.searchers[service].append(searcher)
                self.store.put(f"servers/{searcher.name}", searcher.entry())

    def configure(self, routes: list[dict[str, Any]]) -> None:
        self.version += 3
        services = [{"name": name, "healthPath": "/health", "maxConnections": 96, "coldS": 3.0,
                     "coldPerS": 0.0} for name in self.searchers]
        self.store.put("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record.write(f"config {self.version}: {', '.join(r['name'] for r in routes)}")

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self._role = deploy["roles"]["entry"]
        ports = [_free_port() for _ in range(4)]
        addresses = ["127.0.0.2", "127.0.0.3"]
        seeds = ",".join(f"{address}:{ports[3]}" for address in addresses)
        for index, address in enumerate(addresses):
            self._start_host(index, address, ports, seeds)
        self.front = (addresses[0], ports[0])
        for address in addresses:
            self._await_ready(address, ports[1])

    def _start_host(self, index: int, address: str, ports: list[int], seeds: str) -> None:
        values: dict[str, Any] = {
            "nodeName": f"front-{index + 1}", "zone": ZONES[index], "ip": address, "seeds": seeds,
            "bootstrap": "true", "platform.address": self.store.address,
            "listen.front": f"{address}:{ports[0]}", "listen.ready": f"{address}:{ports[1]}",
            "listen.directory": f"{address}:{ports[2]}", "listen.control": f"{address}:{ports[3]}",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            **{f"limits.{name}": value for name, value in LIMITS.items()}}
        template = (ROOT / self._role["template"]).read_text(encoding="utf-8")
        # A placeholder without a value becomes empty (DEPLOY.md).
        settings = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values.get(m[1], "")), template)
        # The template names one port for the metrics; a free one is used here.
        settings = re.sub(r"(metrics-address=[\d.]+):\d+", rf"\1:{_free_port()}", settings)
        path = self.temporary / f"settings-{index}.conf"
        path.write_text(settings, encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["MIMOSAWALL_SETTINGS"] = str(path)
        environment.update({name: str(path) for name in self._role["env"]})
        self.starts.append((environment, f"host-{index}.log"))
        self.processes.append(self._start_process(index))

    def _start_process(self, index: int) -> subprocess.Popen[bytes]:
        environment, log = self.starts[index]
        with (self.temporary / log).open("ab") as out:
            return subprocess.Popen(self._role["run"].split(), cwd=ROOT, env=environment,
                                    stdout=out, stderr=subprocess.STDOUT)

    def limit_memory(self) -> list[str]:
        """Kills a host that exceeds its memory, and starts it again; returns the kills."""
        self.limits_memory = True
        kills: list[str] = []
        threading.Thread(target=self._limit_memory, args=(kills,), daemon=True).start()
        return kills

    def _limit_memory(self, kills: list[str]) -> None:
        while not self.stopping:
            time.sleep(0.02)
            for index, process in enumerate(list(self.processes)):
                used_mb = peak_memory_mb(process.pid)
                if used_mb <= LIMITS["memoryMb"]:
                    continue
                process.kill()
                process.wait()
                kills.append(f"front-{index + 1} had {used_mb} MB of {LIMITS['memoryMb']} MB")
                self.record.write(f"kill: {kills[-1]}")
                time.sleep(RESTART_DELAY_S)
                if not self.stopping:
                    self.processes[index] = self._start_process(index)

    def _await_ready(self, address: str, port: int) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            try:
                with socket.create_connection((address, port), timeout=1) as sock:
                    sock.sendall(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
                    if Stream(sock).read(STATUS_LINE).first_line[1] == "200":
                        return
            except (OSError, NoHttp):
                pass
            time.sleep(0.05)
        raise RuntimeError("a host did not become ready")

    def runs(self, service: str) -> list[Run]:
        return [run for searcher in self.searchers[service] for run in list(searcher.runs)]

    def hosts_run(self) -> bool:
        return all(process.poll() is None for process in self.processes)

    def stop(self) -> None:
        self.stopping = True
        time.sleep(2 * RESTART_DELAY_S if self.limits_memory else 0.2)
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)


class Requester:
    """Sends requests over one kept connection, and opens a new one if it ends."""

    def __init__(self, system: System, name: str) -> None:
        self.system = system
        self.name = name
        self.count = 0
        self.stream: Stream | None = None

    def next_id(self) -> str:
        self.count += 1
        return f"{self.name}x{self.count}"

    def connect(self) -> Stream:
        if self.stream is None:
            sock = socket.create_connection(self.system.front, timeout=1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(6)
            self.stream = Stream(sock)
        return self.stream

    def close(self) -> None:
        if self.stream is not None:
            self.stream.sock.close()
        self.stream = None

    def send(self, attempt_id: str, method: str, target: str, more: str = "",
             body: bytes = b"") -> None:
        self.system.record.write(f"send {attempt_id}: {method} {target}")
        self.connect().sock.sendall(
            f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt_id}\r\n"
            f"Deadline-Ms: 5000\r\n{more}\r\n".encode() + body)

    def receive(self, attempt_id: str, method: str) -> Message:
        answer = self.connect().read(STATUS_LINE, has_body=method != "HEAD")
        self.system.record.write(
            f"answer {attempt_id}: {answer.first_line[1]} stamp={answer.header('Server-Stamp')}")
        if answer.header("Connection").lower() == "close":
            self.close()
        return answer


def peak_memory_mb(pid: int) -> int:
    """Returns the largest memory that a process has had; 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    except OSError:
        return 0
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found[1]) // 1024 if found else 0


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def run_case(record: pathlib.Path, services: dict[str, int], work_s: float,
             play: Callable[[System], list[str]]) -> int:
    """Plays a case; returns the exit status and prints the first breaches that ``play`` returns.

    What was sent, answered and run is written to the file ``record``.
    """
    # A script that is stopped ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    system = System(record, services, work_s)
    try:
        breaches = play(system)
        if not system.hosts_run():
            print("a host ended by itself")
            return NOT_RUN
    except Exception as error:
        print(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        system.stop()
    for breach in breaches[:5]:
        print(breach)
        system.record.write(f"breach {breach}")
    print(f"{'broken' if breaches else 'held'}: {len(breaches)} breaches, "
          f"TROUBLE={1 if TROUBLE else 0}")
    return BROKEN if breaches else HELD
