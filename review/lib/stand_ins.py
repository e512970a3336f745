"""Stand-ins and helpers of the review's scripts.

    record = Record(folder / "record.txt")
    store = Store(record)                    # the platform's store
    searcher = Searcher("billing", "i-1", record)
    store.put("servers/i-1", searcher.entry())
    host = EntryHost("front-1", store.address, record)
    host.start()
    answer = request(host.caller_address, "GET", "/one/2f", deadline_ms=4000)

Everything listens on loopback addresses with free ports. The settings of an
entry host are made from the template of the deploy file, with the values of a
machine of sites/saules-recherche.toml.
"""

from __future__ import annotations

import atexit
import base64
import dataclasses
import http.client
import http.server
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from typing import Any, Callable, Optional

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOCALHOST = "127.0.0.1"
HOST_HEADER = "search.example"

#: Figures of sites/saules-recherche.toml and of the pages.
STORE_ANSWER_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
CONTACT_S = 4.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
MEMORY_MB = 260

BROKEN, HELD, CANNOT_RUN = 1, 0, 2
#: A script that takes longer ends its processes and could not run.
TIME_LIMIT_S = 110
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_attempt_ids = (f"{0x9c41d07be2a30000 + n:016x}" for n in itertools.count(1))


class Record:
    """Writes what was sent, answered and run to a file, the record.txt of a case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.begin = time.monotonic()
        self(f"trouble={int(TROUBLE)}")

    def __call__(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self.begin:9.3f} {text}\n")
            self._file.flush()


def new_attempt_id() -> str:
    return next(_attempt_ids)


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((LOCALHOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_: object) -> None:
        """Prints nothing: broken connections are expected."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    owner: Any = None

    def log_message(self, *_: object) -> None:
        """Prints nothing."""

    def do_GET(self) -> None:  # The base class prescribes these names.
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.owner.handle(self, body)

    do_POST = do_GET
    do_DELETE = do_GET

    def respond(self, status: int, body: bytes, headers: Optional[dict[str, str]] = None) -> None:
        head = [f"HTTP/1.1 {status} {http.client.responses.get(status, '')}"]
        head += [f"{name}: {value}" for name, value in (headers or {}).items()]
        head += [f"Content-Length: {len(body)}", "", ""]
        self.wfile.write("\r\n".join(head).encode() + body)


class _StandIn:
    def __init__(self) -> None:
        handler = type("BoundHandler", (Handler,), {"owner": self})
        self.server = _Server((LOCALHOST, 0), handler)
        self.address = f"{LOCALHOST}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()


class Store(_StandIn):
    """The platform's store: linearizable, with pages of at most 500 items or 1 MB."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        #: Time that each call takes, half of it before it is executed.
        self.answer_s = STORE_ANSWER_S
        #: Calls get no answer, and are not executed.
        self.cut_off = False
        #: Called after a page of a listing was read, with the number of its first item.
        self.after_page: Callable[[int], None] = lambda first: None
        self._watch_generation = 0
        self._changed = threading.Condition()
        super().__init__()

    def put(self, key: str, value: object) -> int:
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self._write(key, base64.b64encode(content).decode(), 0)
            return self.revision

    def remove(self, key: str) -> int:
        with self._changed:
            self._remove(key)
            return self.revision

    def cut_watches(self) -> None:
        """Closes the connections of all watches that wait."""
        with self._changed:
            self._watch_generation += 1
            self._changed.notify_all()

    def _write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": value, "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.events.append(item)
        self._changed.notify_all()

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision, "removed": True})
        self._changed.notify_all()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (end, _) in list(self.leases.items()):
            if end < now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)

    def handle(self, request: Handler, body: bytes) -> None:
        path, _, query = request.path.partition("?")
        name = path.split("/")[1]
        fields = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        time.sleep(self.answer_s / 2)
        if self.cut_off:
            # What was sent during a cut is lost; the connection stays silent.
            time.sleep(3600)
        result = self._execute(name, path, fields, json.loads(body) if body else {})
        if result is None:
            request.close_connection = True
            return
        time.sleep(self.answer_s / 2)
        request.respond(result[0], json.dumps(result[1]).encode(),
                        {"Content-Type": "application/json"})

    def _execute(self, name: str, path: str, fields: dict[str, str],
                 body: dict[str, Any]) -> Optional[tuple[int, dict[str, Any]]]:
        if name == "kv-range":
            return 200, self._range(fields)
        with self._changed:
            self._expire()
            if name == "kv-watch":
                return self._watch(fields)
            if name == "kv-lease":
                lease = 1000 + self.revision + len(self.leases)
                ttl_s = body["ttlMs"] / 1000
                self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
            lease = int(path.split("/")[2]) if path.count("/") > 1 else 0
            if name == "kv-keep":
                if lease not in self.leases:
                    return 404, {}
                ttl_s = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"ttlMs": int(ttl_s * 1000)}
            if name == "kv-lease-end":
                self._end_lease(lease)
                return 200, {}
            if name == "kv-txn":
                for write in body["writes"]:
                    if write["lease"] and write["lease"] not in self.leases:
                        return 404, {}
                for write in body["writes"]:
                    self._write(write["key"], write["value"], write["lease"])
                return 200, {"revision": self.revision}
        return 404, {}

    def _range(self, fields: dict[str, str]) -> dict[str, Any]:
        with self._changed:
            self._expire()
            keys = sorted(k for k in self.items if k.startswith(fields["prefix"]))
            first = sum(1 for k in keys if k <= fields.get("after", ""))
            page: list[dict[str, Any]] = []
            size = 0
            for key in keys[first:first + PAGE_ITEMS]:
                size += len(self.items[key]["value"])
                if page and size > PAGE_BYTES:
                    break
                page.append(self.items[key])
            out = {"items": page, "hasMore": first + len(page) < len(keys),
                   "storeRevision": self.revision}
        self.record(f"store: listing, items {first}..{first + len(page)} of {len(keys)}, "
                    f"revision {out['storeRevision']}")
        self.after_page(first)
        return out

    def _watch(self, fields: dict[str, str]) -> Optional[tuple[int, dict[str, Any]]]:
        after = int(fields["after"])
        end = time.monotonic() + int(fields["waitMs"]) / 1000
        generation = self._watch_generation
        while True:
            if generation != self._watch_generation:
                self.record("store: a waiting watch is cut")
                return None
            events = [event for event in self.events if event["revision"] > after
                      and event["key"].startswith(fields["prefix"])]
            remaining_s = end - time.monotonic()
            if (events or remaining_s <= 0) and self.cut_off:
                self._changed.wait(3600)
            if events or remaining_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            self._changed.wait(min(remaining_s, 0.1))
            self._expire()


class Searcher(_StandIn):
    """A sound searcher; ``runs`` holds the ids of the requests that it ran, with their times."""

    def __init__(self, service: str, name: str, record: Record, zone: str = "poste-nord",
                 slots: int = 3) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.record = record
        self.work_s = 0.01
        self.runs: list[tuple[float, str]] = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        super().__init__()

    def entry(self, **changes: object) -> dict[str, Any]:
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "coldLeftMs": 0,
                "sequence": self.sequence, "born": self.born, **changes}

    def stamp(self, attempt_id: str) -> str:
        return f"{self.name}.{attempt_id}"

    def handle(self, request: Handler, body: bytes) -> None:
        attempt_id = request.headers.get("Attempt-Id", "")
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return request.respond(421, b"", {"Instance-Id": self.name, "Attempt-Id": attempt_id})
        return self.answer(request, attempt_id, body)

    def begin_run(self, attempt_id: str, request: Handler) -> None:
        self.runs.append((time.monotonic(), attempt_id))
        self.record(f"searcher {self.name}: runs {attempt_id} {request.command} {request.path}")

    def answer(self, request: Handler, attempt_id: str, body: bytes) -> None:
        """Subclasses override this."""
        self.begin_run(attempt_id, request)
        time.sleep(self.work_s)
        request.respond(200, b"result of " + self.name.encode(), {
            "Server-Stamp": self.stamp(attempt_id), "Attempt-Id": attempt_id,
            "Keep-Alive": "timeout=30"})


def route(name: str, prefix: str, service: str, kind: str = "safe", timeout_ms: int = 5000,
          target_ms: int = 800, max_attempts: int = 2) -> dict[str, Any]:
    return {"name": name, "host": HOST_HEADER, "prefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 2,
            "service": service, "maxAttempts": max_attempts}


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    services = sorted({each["service"] for each in routes})
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 96,
                          "protocol": "h1", "tls": False, "coldS": 3.0, "coldPerS": 0.0}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


@dataclasses.dataclass
class Answer:
    #: 0 if the connection ended without a complete answer.
    status: int
    headers: dict[str, str]
    body: bytes
    elapsed_s: float
    error: str = ""


def request(address: str, method: str, path: str, record: Record, body: bytes = b"",
            deadline_ms: int = 5000, attempt_id: str = "", label: str = "") -> Answer:
    """Sends one request on a new connection, as a requester does, and records its answer."""
    attempt_id = attempt_id or new_attempt_id()
    begin = time.monotonic()
    record(f"caller: sends {attempt_id} {method} {path} to {label or address}")
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=deadline_ms / 1000 + 1)
    try:
        connection.request(method, path, body or None, {
            "Host": HOST_HEADER, "Attempt-Id": attempt_id, "Deadline-Ms": str(deadline_ms)})
        response = connection.getresponse()
        content = response.read()
        out = Answer(response.status, {k.lower(): v for k, v in response.getheaders()}, content,
                     time.monotonic() - begin)
    except (OSError, http.client.HTTPException) as error:
        out = Answer(0, {}, b"", time.monotonic() - begin, type(error).__name__)
    finally:
        connection.close()
    record(f"caller: gets {attempt_id} " + (f"status {out.status} {out.body[:60]!r}" if out.status
           else f"no answer ({out.error})") + f" after {out.elapsed_s:.3f} s")
    return out


class KeptCaller(threading.Thread):
    """Sends requests one after the other on a kept connection, and opens a new one after a loss.

    ``unanswered`` holds the ids of the requests whose connection, which had served a request
    before, was closed without an answer.
    """

    def __init__(self, address: str, path: str, record: Record, done: threading.Event) -> None:
        super().__init__(daemon=True)
        self.address = address
        self.path = path
        self.record = record
        self.done = done
        self.unanswered: list[str] = []
        self.answered = 0

    def run(self) -> None:
        while not self.done.is_set():
            try:
                self._use_connection()
            except OSError:
                time.sleep(0.1)

    def _use_connection(self) -> None:
        host, port = self.address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=6)
        connection.connect()
        served = 0
        try:
            while not self.done.is_set():
                attempt_id = new_attempt_id()
                self.record(f"caller: sends {attempt_id} POST {self.path} to {self.address}")
                try:
                    connection.request("POST", self.path, b"x", {
                        "Host": HOST_HEADER, "Attempt-Id": attempt_id, "Deadline-Ms": "5000"})
                    response = connection.getresponse()
                    response.read()
                except (OSError, http.client.HTTPException) as error:
                    self.record(f"caller: gets {attempt_id} no answer ({type(error).__name__}), "
                                f"the connection had served {served} requests")
                    if served:
                        self.unanswered.append(attempt_id)
                    return
                self.record(f"caller: gets {attempt_id} status {response.status}")
                self.answered += 1
                served += 1
                if response.headers.get("Connection") == "close":
                    return
        finally:
            connection.close()


def passed_on(callers: list[KeptCaller], sound: list[Searcher]) -> int:
    """The number of unanswered requests that a sound searcher had begun to run."""
    ran = {attempt_id for each in sound for _, attempt_id in each.runs}
    return sum(attempt_id in ran for caller in callers for attempt_id in caller.unanswered)


class EntryHost:
    """A mimosa-entry process, started with the command of the deploy file."""

    _started: list["EntryHost"] = []

    def __init__(self, name: str, store_address: str, record: Record, zone: str = "poste-nord",
                 seeds: str = "") -> None:
        self.name = name
        self.record = record
        ports = free_ports(5)
        front, ready, control, directory, metrics = (f"{LOCALHOST}:{p}" for p in ports)
        self.caller_address, self.ready_address, self.peer_address = front, ready, control
        self.directory_address = directory
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.log = self.folder / "log"
        self.process: Optional[subprocess.Popen[bytes]] = None
        fields = {
            "nodeName": name, "zone": zone, "listen.front": front, "listen.ready": ready,
            "listen.control": control, "listen.directory": directory, "seeds": seeds or control,
            "bootstrap": "true", "ip": LOCALHOST, "platform.address": store_address,
            "bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "52",
            "bounds.coldOverage": "1.5", "bounds.coldSlack": "5", "bounds.ttl_max_s": "5",
            "bounds.graceS": f"{GRACE_S:g}", "limits.cpuShare": "0.25", "limits.cpuCores": "1",
            "limits.memoryMb": str(MEMORY_MB), "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0"}
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        self.command = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split()
        template = (ROOT / re.search(r'^template = "(.*)"', deploy, re.M).group(1)).read_text()
        settings = re.sub(r"\{\{([^}]*)\}\}", lambda m: fields[m.group(1)], template)
        # The template gives the metrics page a fixed port, which several hosts cannot share here.
        settings = re.sub(r"^metrics-address=.*$", f"metrics-address={metrics}", settings,
                          flags=re.M)
        self.settings = self.folder / "settings.conf"
        self.settings.write_text(settings)
        variable = re.search(r"env = \{ (\w+) =", deploy).group(1)
        self.environment = {**{k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                               if k in os.environ}, variable: str(self.settings)}
        if not (ROOT / self.command[0]).exists():
            print(f"{self.command[0]} is missing: run the build of the deploy file")
            sys.exit(CANNOT_RUN)
        EntryHost._started.append(self)

    def start(self) -> None:
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=self.environment,
                                            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record(f"host {self.name}: started")

    def ready(self) -> bool:
        host, port = self.ready_address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self, limit_s: float = 10) -> None:
        end = time.monotonic() + limit_s
        while not self.ready():
            if time.monotonic() > end:
                cannot_run(f"host {self.name} did not become ready")
            time.sleep(0.05)
        self.record(f"host {self.name}: ready")

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        assert self.process
        self.process.send_signal(number)
        self.record(f"host {self.name}: gets {signal.Signals(number).name}")

    def resident_mb(self) -> float:
        """The memory that the process uses, 0 if it has ended."""
        try:
            assert self.process
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0

    def end(self) -> None:
        if self.running():
            self.process.kill()
        if self.process:
            self.process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)


@atexit.register
def _end_all() -> None:
    for host in EntryHost._started:
        host.end()


def cannot_run(reason: str) -> None:
    print("could not run: " + reason)
    sys.stdout.flush()
    _end_all()
    os._exit(CANNOT_RUN)


def _give_up(number: int, _: object) -> None:
    cannot_run(f"ended by {signal.Signals(number).name}")


for _number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
    signal.signal(_number, _give_up)
signal.alarm(TIME_LIMIT_S)


def finish(record: Record, broken: bool, summary: str) -> None:
    """Ends all processes and exits with the verdict."""
    record(("BROKEN: " if broken else "held: ") + summary)
    print(("broken: " if broken else "held: ") + summary)
    sys.stdout.flush()
    _end_all()
    os._exit(BROKEN if broken else HELD)
