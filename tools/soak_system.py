"""The processes and proxies of the soak, and what can be done to them.

Hosts are real mimosa-entry processes; searchers are processes of
searcher_process.py; the store is a stand-in in this process. Each host reaches
the store, callers reach each host, and hosts reach each searcher through a
proxy. All that happens is kept in a soak_checks.History.
"""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
from typing import Any, Optional

import soak_checks as checks
from entry_process import Entry
from fault_proxy import FaultProxy, Mode
from platform_stand_in import (DRAIN_S, GRACE_S, LOCALHOST, Store, configuration,
                               server_entry)
from small_system import free_ports

TOOLS = pathlib.Path(__file__).resolve().parent
ZONES = ("z1", "z2")
#: Searcher processes in each zone; each holds a third of the shards.
ROWS = 3
PORTS_PER_HOST = 5
#: The shards before and after a repartition.
SHARD_SETS = ([f"shard-a{i}" for i in range(6)], [f"shard-b{i}" for i in range(8)])
#: Each version of the configuration has its own service for single requests.
VERSIONS = 16
GATHER_LIMIT_MS = 800
SINGLE_LIMIT_MS = 2000
HEARTBEAT_S = 1.2
#: An entry lapses after three heartbeats of silence.
LAPSE_S = 3 * HEARTBEAT_S
POLL_S = 0.05
#: A draining searcher serves on for the drain time and a little longer.
DRAINING_S = DRAIN_S + 0.3


def single_service(version: int) -> str:
    return f"accounts-{version % VERSIONS}"


class SearcherProcess:
    """Searchers of one zone; each start gives them new names."""

    def __init__(self, system: System, zone: str, row: int) -> None:
        self.system = system
        self.zone = zone
        self.label = f"{zone}r{row}"
        shards = [s for one in SHARD_SETS for i, s in enumerate(one) if i % ROWS == row]
        # Two rows of three have each of these, so that one can be lost.
        singles = [single_service(v) for v in range(VERSIONS) if (v + row) % ROWS]
        self.services = shards + singles
        self.proxies = {service: FaultProxy((LOCALHOST, 1)) for service in self.services}
        self.starts = 0
        self.names: dict[str, str] = {}
        #: "ready", "draining", or "gone" while it has no entries.
        self.state = "gone"
        self.process: Optional[subprocess.Popen[str]] = None

    def start(self) -> None:
        self.starts += 1
        self.names = {service: f"{self.label}-{service}-{self.starts}"
                      for service in self.services}
        words = [f"{name}={service}" for service, name in self.names.items()]
        process = subprocess.Popen(
            [sys.executable, str(TOOLS / "searcher_process.py"), self.zone, *words],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.process = process
        assert process.stdout is not None
        for service, name in self.names.items():
            _, told, address = process.stdout.readline().split()
            assert told == name
            self.proxies[service].target = (LOCALHOST, int(address.split(":")[1]))
            self.system.history.searchers[name] = checks.SearcherInfo(service, self.zone)
        threading.Thread(target=self._read, args=(process,), daemon=True).start()
        self.state = "ready"
        self.announce()

    def _read(self, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            _, at, name, request_id, method, path, length = line.split()
            self.system.history.runs.append(checks.Run(
                float(at), name, request_id, f"{method} {path}", int(length)))
        process.stdout.close()

    def announce(self) -> None:
        """Writes the entries of all its searchers to the store."""
        self.system.sequence += 1
        for service, name in self.names.items():
            self.system.store.put(f"servers/{name}", server_entry(
                service, self.proxies[service].address, self.zone, self.state,
                self.system.sequence, born=self.starts))

    def drain(self) -> None:
        self.state = "draining"
        self.announce()
        self._note_leaving()

    def remove_entries(self) -> None:
        names = list(self.names.values())
        for name in names:
            self.system.store.remove(f"servers/{name}")
        self._note_leaving()

    def _note_leaving(self) -> None:
        now = time.monotonic()
        for name in self.names.values():
            info = self.system.history.searchers[name]
            info.leaves = min(info.leaves, now)

    def set(self, field: str, value: object) -> None:
        """Changes what its searchers do; see platform_stand_in.Searcher."""
        assert self.process is not None and self.process.stdin is not None
        for name in self.names.values():
            self.process.stdin.write(f"{name} {field} {value!r}\n")
        self.process.stdin.flush()

    def disturb(self, mode: Mode) -> None:
        for proxy in self.proxies.values():
            proxy.disturb(mode)

    def heal(self) -> None:
        for proxy in self.proxies.values():
            proxy.heal()

    def reset(self) -> None:
        for proxy in self.proxies.values():
            proxy.reset()

    def kill(self) -> None:
        assert self.process is not None
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.reset()

    def close(self) -> None:
        self.kill()
        for proxy in self.proxies.values():
            proxy.close()


class Host:
    """One entry host; each start is a new process."""

    def __init__(self, system: System, index: int, ports: list[int]) -> None:
        self.system = system
        self.name = f"h{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.ports = ports
        self.peer = f"{LOCALHOST}:{ports[3]}"
        self.store = FaultProxy(_endpoint(system.store.address))
        self.front = FaultProxy((LOCALHOST, ports[0]))
        self.settings = system.folder / f"{self.name}.conf"
        self.starts = 0
        self.entry: Optional[Entry] = None
        self.started = 0.0
        self.stopped: Optional[float] = None
        #: Whether its log is read.
        self.reads_log = True
        self._lock = threading.Lock()

    @property
    def process_name(self) -> str:
        return f"{self.name}#{self.starts}"

    @property
    def runs(self) -> bool:
        return self.entry is not None

    def write_settings(self, retry_slack: int) -> None:
        self.settings.write_text(f"retry-slack={retry_slack}\n", encoding="utf-8")

    def start(self) -> None:
        self.starts += 1
        self.stopped = None
        self.started = time.monotonic()
        seeds = ",".join(host.peer for host in self.system.hosts if host is not self)
        entry = Entry(self.name, self.store.address, self.ports, seeds, subprocess.PIPE,
                      self.zone, str(self.settings))
        self.entry = entry
        log = self.system.folder / f"{self.name}-{self.starts}.log"
        threading.Thread(target=self._read_log, args=(entry, log), daemon=True).start()

    def _read_log(self, entry: Entry, path: pathlib.Path) -> None:
        with path.open("wb") as out:
            while True:
                while not self.reads_log and entry.process.poll() is None:
                    time.sleep(POLL_S)
                data = os.read(entry.process.stdout.fileno(), 65536)
                if not data:
                    return entry.process.stdout.close()
                out.write(data)
                out.flush()

    def signal(self, number: int) -> None:
        with self._lock:
            if self.entry is not None and self.entry.process.poll() is None:
                self.entry.process.send_signal(number)

    def terminate(self) -> None:
        if self.stopped is None:
            self.stopped = time.monotonic()
            self.system.history.stops[self.process_name] = self.stopped
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kills the process and records its end."""
        with self._lock:
            if self.entry is None:
                return
            ended = self.entry.process.poll()
            if ended is None:
                self.entry.process.kill()
                self.entry.process.wait()
            self._record(ended, killed=ended is None)

    def check(self) -> None:
        """Records the end of a process that has ended."""
        with self._lock:
            if self.entry is not None and self.entry.process.poll() is not None:
                self._record(self.entry.process.returncode, killed=False)

    def _record(self, status: Optional[int], killed: bool) -> None:
        self.system.history.exits.append(checks.Exit(
            self.process_name, time.monotonic(), status, self.stopped, self.started, killed))
        self.entry = None

    def await_end(self) -> None:
        end = time.monotonic() + GRACE_S
        while self.runs and time.monotonic() < end:
            self.check()
            time.sleep(POLL_S)
        self.kill()


def _endpoint(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)


class System:
    """All of it; starts and stops the processes."""

    def __init__(self, folder: pathlib.Path, hosts: int) -> None:
        self.folder = folder
        self.history = checks.History()
        self.store = Store()
        self.sequence = 0
        self.version = 0
        self.shard_set = 0
        self.ending = False
        ports = free_ports(hosts * PORTS_PER_HOST)
        self.hosts: list[Host] = []
        for index in range(hosts):
            first = index * PORTS_PER_HOST
            self.hosts.append(Host(self, index, ports[first:first + PORTS_PER_HOST]))
        self.rows = [SearcherProcess(self, zone, row) for zone in ZONES for row in range(ROWS)]

    def start(self) -> None:
        self.configure()
        for row in self.rows:
            row.start()
        begin = time.monotonic()
        for host in self.hosts:
            host.write_settings(retry_slack=52)
            host.start()
        for host in self.hosts:
            assert host.entry is not None
            host.entry.wait_ready()
            self.note(begin, time.monotonic(), host.name)
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        """Heartbeats of living searchers, and a watch over the hosts."""
        next_beat = 0.0
        while not self.ending:
            for host in self.hosts:
                host.check()
            if time.monotonic() >= next_beat:
                next_beat = time.monotonic() + HEARTBEAT_S
                for row in self.rows:
                    if row.state != "gone":
                        row.announce()
            time.sleep(POLL_S)

    def note(self, begin: float, end: float, scope: str, planned: bool = False) -> None:
        self.history.disturbances.append(checks.Span(begin, end, scope, planned))

    def configure(self, reshard: bool = False) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        self.shard_set ^= int(reshard)
        shards = SHARD_SETS[self.shard_set]
        single = single_service(self.version)
        everything = [*SHARD_SETS[0], *SHARD_SETS[1], *map(single_service, range(VERSIONS))]
        routes: list[dict[str, Any]] = [
            {"name": "r-all", "host": "h.example", "prefix": "/all/", "kind": "safe",
             "timeoutMs": GATHER_LIMIT_MS, "targetLatencyMs": 150, "priority": 1,
             "maxAttempts": checks.MAX_ATTEMPTS, "gather": shards, "topK": checks.TOP_K,
             "minCoverage": checks.MIN_COVERAGE},
            {"name": "r-one", "host": "h.example", "prefix": "/one/", "kind": "unsafe",
             "timeoutMs": SINGLE_LIMIT_MS, "targetLatencyMs": 600, "priority": 2,
             "maxAttempts": checks.MAX_ATTEMPTS, "service": single}]
        self.store.put("op/config", configuration(self.version * 3, routes, everything))
        self.history.versions.append(checks.Version(
            self.version * 3, time.monotonic(), single, list(shards)))

    def stop(self) -> None:
        """Stops the hosts in a planned way and ends everything else."""
        self.ending = True
        self.history.ended = time.monotonic()
        for host in self.hosts:
            self.note(time.monotonic(), float("inf"), host.name, planned=True)
            host.terminate()
        for host in self.hosts:
            host.await_end()
            host.store.close()
            host.front.close()
        for row in self.rows:
            row.close()
        self.store.close()
