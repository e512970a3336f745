"""Stand-ins for the platform's metadata store and its searchers.

Both serve the platform's published HTTP/1.1 protocol from threads of the test
process. Their fields switch faults on and off:

    store = Store()
    store.put("op/config", {...})
    store.down = True            # closes each connection without a response
    store.lose_answers = True    # executes each call but sends no response
    searcher = Searcher("shard-1", "i-1", records=[b"..."])
    searcher.delay_s = 0.2
"""

from __future__ import annotations

import base64
import copy
import dataclasses
import http.server
import json
import threading
import time
import urllib.parse
from typing import Any

LOCALHOST = "127.0.0.1"
RECORD_BYTES = 16
#: Bounds of the platform: a configuration change must be active, and a draining
#: searcher must no longer receive requests, within these times.
CONFIG_ACTIVE_LIMIT_S = 3.0
DRAIN_LIMIT_S = 3.0
#: The bounds hold again for the store and a host this long after their last fault.
RECOVERY_S = 4.0
#: A process is killed this long after SIGTERM.
TERMINATION_GRACE_S = 6.0


def configuration(version: int, routes: list[dict[str, Any]], services: list[str],
                  header_timeout_ms: int = 3000, idle_timeout_ms: int = 15000,
                  ) -> dict[str, Any]:
    """Returns a value for the key op/config."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 36,
                          "coldS": 3.0, "coldPerS": 0.0} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": header_timeout_ms, "idleTimeoutMs": idle_timeout_ms}}


def server_entry(service: str, address: str, zone: str, state: str, sequence: int,
                 started_at: int = 1, version: str = "v1") -> dict[str, Any]:
    """Returns the value of the key servers/<id> by which a searcher registers itself."""
    return {"service": service, "address": address, "zone": zone, "version": version,
            "slots": 4, "state": state, "coldLeftMs": 0, "sequence": sequence, "born": started_at}


class _HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_: object) -> None:
        """Prints nothing: broken connections are expected in these tests."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    owner: Any = None

    def log_message(self, *_: object) -> None:
        """Prints nothing."""

    def do_GET(self) -> None:  # The base class prescribes these names.
        self.owner.handle(self)

    do_POST = do_GET
    do_DELETE = do_GET

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def respond(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _HttpStandIn:
    def __init__(self) -> None:
        handler = type("Handler", (Handler,), {"owner": self})
        self._server = _HttpServer((LOCALHOST, 0), handler)
        self.address = f"{LOCALHOST}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stops listening; the address then refuses connections."""
        self._server.shutdown()
        self._server.server_close()


@dataclasses.dataclass
class StoreCopy:
    """What a store holds at one time, see Store.restore()."""

    items: dict[str, dict[str, Any]]
    leases: dict[int, tuple[float, float]]
    revision: int
    next_lease: int
    outside_writes: int
    taken_at: float


def _conditions(body: dict[str, Any]) -> list[tuple[str, int]]:
    """The conditions of a transaction: key and expected revision, 0 if it must not exist."""
    return [(condition["key"], condition["revision"]) for condition in body["expectedRev"]]


class Store(_HttpStandIn):
    """The metadata store. It does not limit the rate of calls.

    After copy() and restore() it is in the state of the copy: later writes are gone, and
    revisions and lease ids are reused. Each restore raises ``era``, the header Store-Era.
    """

    def __init__(self, era: int | None = None) -> None:
        #: Value of the header Store-Era; None sends none.
        self.era = era
        #: Calls neither run nor are answered while this is set.
        self.silent = False
        #: put() and remove() calls, by which the operator and the searchers write.
        self.outside_writes: list[tuple[str, bytes | None]] = []
        #: Renewals and ends of leases that belong to another host.
        self.lease_violations: list[str] = []
        self.next_lease = 1000
        #: The host that wrote last with a lease of an era, or over a connection.
        self._lease_owners: dict[tuple[int | None, int], str] = {}
        self._connection_owners: dict[tuple[str, int], str] = {}
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        #: The changes up to this revision are not in ``events``.
        self.oldest_revision = 1
        self.down = False
        self.lose_answers = False
        self.call_counts: dict[str, int] = {}
        #: Delay before a call is executed, by the name of the call.
        self.call_delays_s: dict[str, float] = {}
        self._changed = threading.Condition()
        super().__init__()

    def put(self, key: str, value: object) -> None:
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self.outside_writes.append((key, content))
            self._write(key, base64.b64encode(content).decode(), 0)

    def remove(self, key: str) -> None:
        with self._changed:
            self.outside_writes.append((key, None))
            self._remove(key)

    def copy(self) -> StoreCopy:
        with self._changed:
            self._expire()
            return StoreCopy(copy.deepcopy(self.items), dict(self.leases), self.revision,
                             self.next_lease, len(self.outside_writes), time.monotonic())

    def restore(self, older: StoreCopy) -> None:
        """Returns to the state of the copy. Leases last as long as they did when it was taken."""
        with self._changed:
            passed_s = time.monotonic() - older.taken_at
            self.items = copy.deepcopy(older.items)
            self.leases = {lease: (end + passed_s, ttl_s)
                           for lease, (end, ttl_s) in older.leases.items()}
            self.revision = older.revision
            self.next_lease = older.next_lease
            self.events.clear()
            self.oldest_revision = self.revision
            if self.era is not None:
                self.era += 1
            self._changed.notify_all()

    def grant_leases_to(self, key: str, count: int) -> None:
        """Grants the next leases to another client of the store, for a minute."""
        with self._changed:
            for lease in range(self.next_lease, self.next_lease + count):
                self.leases[lease] = (time.monotonic() + 60, 60)
                self._lease_owners[self.era, lease] = key
            self.next_lease += count

    def write_again(self, older: StoreCopy) -> None:
        """Repeats what the operator and the searchers wrote after the copy was taken."""
        for key, content in dict(self.outside_writes[older.outside_writes:]).items():
            if content is None:
                self.remove(key)
            else:
                self.put(key, content)

    def forget_history(self) -> None:
        """Discards the change history, as the platform may do at any time."""
        with self._changed:
            self.events.clear()
            self.oldest_revision = self.revision
            self._changed.notify_all()

    def keys(self, prefix: str) -> list[str]:
        with self._changed:
            self._expire()
            return sorted(key for key in self.items if key.startswith(prefix))

    def _write(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": created, "lease": lease}
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

    def handle(self, request: Handler) -> None:
        body = request.read_body()
        path, _, query = request.path.partition("?")
        name = path.split("/")[1]
        self.call_counts[name] = self.call_counts.get(name, 0) + 1
        time.sleep(self.call_delays_s.get(name, 0))
        while self.silent:
            time.sleep(0.05)
        if self.down:
            request.close_connection = True
            return
        fields = {k: v[0] for k, v in urllib.parse.parse_qs(
            query, keep_blank_values=True).items()}
        status, response, era = self._execute(name, path, fields, json.loads(body) if body else {},
                                              request.client_address)
        while self.silent:
            time.sleep(0.05)
        if self.lose_answers:
            # The connection stays open but carries no further response.
            while self.lose_answers:
                time.sleep(0.05)
            time.sleep(3600)
        headers = {"Content-Type": "application/json"}
        if era is not None:
            headers["Store-Era"] = str(era)
        request.respond(status, json.dumps(response).encode(), headers)

    def _execute(self, name: str, path: str, fields: dict[str, str], body: dict[str, Any],
                 client: tuple[str, int]) -> tuple[int, dict[str, Any], int | None]:
        with self._changed:
            self._expire()
            self._check_lease_owner(name, path, body, client)
            status, response = self._run(name, path, fields, body)
            return status, response, self.era

    def _check_lease_owner(self, name: str, path: str, body: dict[str, Any],
                           client: tuple[str, int]) -> None:
        if name == "kv-txn":
            for write in body["writes"]:
                if write["lease"]:
                    self._lease_owners[self.era, write["lease"]] = write["key"]
                    self._connection_owners[client] = write["key"]
        elif name in ("kv-keep", "kv-lease-end"):
            lease = int(path.split("/")[2])
            owner = self._lease_owners.get((self.era, lease))
            caller = self._connection_owners.get(client)
            if owner and caller and owner != caller and lease in self.leases:
                self.lease_violations.append(f"{name} of lease {lease} of {owner} by {caller}")

    def _run(self, name: str, path: str, fields: dict[str, str],
             body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if name == "kv-key":
            item = self.items.get(fields["key"])
            return (200, item) if item else (404, {})
        if name == "kv-range":
            items = [item for key, item in sorted(self.items.items())
                     if key.startswith(fields["prefix"]) and key > fields.get("after", "")]
            # Small pages, so that clients have to request several.
            return 200, {"items": items[:7], "hasMore": len(items) > 7,
                         "storeRevision": self.revision}
        if name == "kv-watch":
            return self._watch(fields)
        if name == "kv-lease":
            lease = self.next_lease
            self.next_lease += 1
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
            conditions = _conditions(body)
            if any(self.items.get(key, {}).get("revision", 0) != revision
                   for key, revision in conditions):
                return 412, {"items": [self.items[key] for key, _ in conditions
                                       if key in self.items]}
            for write in body["writes"]:
                if write["lease"] and write["lease"] not in self.leases:
                    return 404, {}
            for key in body["remove"]:
                self._remove(key)
            for write in body["writes"]:
                self._write(write["key"], write["value"], write["lease"])
            return 200, {"revision": self.revision}
        return 404, {}

    def _watch(self, fields: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(fields["after"])
        end = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            if not self.oldest_revision <= after <= self.revision:
                return 410, {}
            events = [event for event in self.events if event["revision"] > after
                      and event["key"].startswith(fields["prefix"])]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            self._changed.wait(min(remaining_s, 0.1))
            self._expire()


class Searcher(_HttpStandIn):
    """A searcher. ``runs`` lists the requests that it ran: id, request line and body."""

    def __init__(self, service: str, name: str, records: list[bytes] | None = None,
                 zone: str = "z1", version: str = "v1") -> None:
        self.service = service
        self.version = version
        #: Every so many runs, the answer is a failure; 0 for none.
        self.fail_every = 0
        #: Arrivals whose answers were failures or took longer than 0.1 s.
        self.bad_arrivals: list[float] = []
        self.name = name
        self.zone = zone
        self.records = records or []
        self.delay_s = 0.0
        self.sheds = False
        self.loses_answers = False
        self.answers_twice = False
        self.runs: list[tuple[str, str, bytes]] = []
        self.last_arrival = 0.0
        self.arrivals: list[float] = []
        #: Further headers of its answers.
        self.headers: dict[str, str] = {}
        self.sequence = 0
        self._lock = threading.Lock()
        super().__init__()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        self.sequence += 1
        return server_entry(self.service, self.address, self.zone, state, self.sequence,
                            version=self.version)

    def stamp(self, request_id: str) -> str:
        return f"{self.name}.{request_id}"

    def handle(self, request: Handler) -> None:
        body = request.read_body()
        request_id = request.headers.get("Attempt-Id", "")
        self.last_arrival = time.monotonic()
        self.arrivals.append(self.last_arrival)
        if request.headers.get("Expect-Instance") != self.name:
            return request.respond(421, b"", {"Instance-Id": self.name, "Attempt-Id": request_id})
        if self.sheds:
            return request.respond(503, b"", {
                "Not-Executed": "1", "Attempt-Id": request_id, **self.headers})
        with self._lock:
            self.runs.append((request_id, f"{request.command} {request.path}", body))
            fails = self.fail_every > 0 and len(self.runs) % self.fail_every == 0
        time.sleep(self.delay_s)
        if fails or self.delay_s > 0.1:
            self.bad_arrivals.append(time.monotonic())
        if fails:
            return request.respond(500, b"", {"Attempt-Id": request_id})
        if self.loses_answers:
            request.close_connection = True
            return None
        headers = {"Server-Stamp": self.stamp(request_id), "Attempt-Id": request_id,
                   "Keep-Alive": "timeout=30", **self.headers}
        content = b"".join(self.records) or b"echo:" + body
        request.respond(200, content, headers)
        if self.answers_twice:
            request.respond(200, b"stray", {**headers, "Attempt-Id": "another"})
        return None
