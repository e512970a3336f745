"""The system under test of the soak: its processes, and the proxies between them.

Hosts are mimosa-entry processes, searchers are run by searcher_process.py, and
the store is a stand-in within this process. Connections from hosts to the store,
from callers to hosts and from hosts to searchers pass through a FaultProxy each.
Events are recorded in a soak_checks.History.
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
from entry_process import EntryProcess
from fault_proxy import FaultProxy, Mode
from platform_stand_in import (DRAIN_LIMIT_S, LOCALHOST, TERMINATION_GRACE_S, Store, configuration,
                               server_entry)
from small_system import free_ports

TOOLS = pathlib.Path(__file__).resolve().parent
ZONES = ("z1", "z2")
#: Searcher processes in each zone; each serves a third of the shards.
PROCESSES_PER_ZONE = 3
PORTS_PER_HOST = 5
#: The sets of shards between which configurations switch.
SHARD_SETS = ([f"shard-a{i}" for i in range(6)], [f"shard-b{i}" for i in range(8)])
#: Versions of the configuration, each with a service of its own for single requests.
VERSION_COUNT = 16
GATHER_TIMEOUT_MS = 800
SINGLE_TIMEOUT_MS = 2000
HEARTBEAT_S = 1.2
#: An entry expires after three missed heartbeats.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
POLL_S = 0.05
#: A draining searcher continues to serve a little longer than the drain limit.
DRAINING_TIME_S = DRAIN_LIMIT_S + 0.3


def single_service(version: int) -> str:
    return f"accounts-{version % VERSION_COUNT}"


class SearcherProcess:
    """A process that runs searchers of one zone; each start gives them new names."""

    def __init__(self, system: System, zone: str, index: int) -> None:
        self.system = system
        self.zone = zone
        self.label = f"{zone}r{index}"
        shards = [s for shard_set in SHARD_SETS for i, s in enumerate(shard_set)
                  if i % PROCESSES_PER_ZONE == index]
        # Two of the three processes of a zone serve each of these, so that one can fail.
        singles = [single_service(v) for v in range(VERSION_COUNT)
                   if (v + index) % PROCESSES_PER_ZONE]
        self.services = shards + singles
        self.proxies = {service: FaultProxy((LOCALHOST, 1)) for service in self.services}
        self.starts = 0
        self.names: dict[str, str] = {}
        #: "ready", "draining", or "gone" while it has no entries.
        self.state = "gone"
        #: Whether its searchers say something in their answers.
        self.speaks = False
        self.process: Optional[subprocess.Popen[str]] = None

    def start(self) -> None:
        self.starts += 1
        self.names = {service: f"{self.label}-{service}-{self.starts}"
                      for service in self.services}
        arguments = [f"{name}={service}" for service, name in self.names.items()]
        process = subprocess.Popen(
            [sys.executable, str(TOOLS / "searcher_process.py"), self.zone, *arguments],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.process = process
        assert process.stdout is not None
        for service, name in self.names.items():
            _, printed_name, address = process.stdout.readline().split()
            assert printed_name == name
            self.proxies[service].target = (LOCALHOST, int(address.split(":")[1]))
            self.system.history.searchers[name] = checks.SearcherInfo(service, self.zone)
        threading.Thread(target=self._read, args=(process,), daemon=True).start()
        self.state = "ready"
        self.speaks = False
        self.announce()

    def _read(self, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            _, at, name, request_id, method, path, length = line.split()
            self.system.history.runs.append(checks.Run(
                float(at), name, request_id, f"{method} {path}", int(length)))
        process.stdout.close()

    def announce(self) -> None:
        """Writes the entries of its searchers to the store."""
        self.system.sequence += 1
        for service, name in self.names.items():
            self.system.store.put(f"servers/{name}", server_entry(
                service, self.proxies[service].address, self.zone, self.state,
                self.system.sequence, started_at=self.starts))

    def drain(self) -> None:
        self.state = "draining"
        self.announce()
        self._record_leaving()

    def remove_entries(self) -> None:
        names = list(self.names.values())
        for name in names:
            self.system.store.remove(f"servers/{name}")
        self._record_leaving()

    def _record_leaving(self) -> None:
        now = time.monotonic()
        for name in self.names.values():
            info = self.system.history.searchers[name]
            info.leaves_at = min(info.leaves_at, now)

    def set(self, field: str, value: object) -> None:
        """Sets a field of its searchers; see platform_stand_in.Searcher."""
        assert self.process is not None and self.process.stdin is not None
        for name in self.names.values():
            self.process.stdin.write(f"{name} {field} {value!r}\n")
        self.process.stdin.flush()

    def state_in_answers(self, headers: dict[str, str], leaving: bool = False,
                         limit: Optional[float] = None) -> list[checks.Statement]:
        """Lets its searchers say something in all their answers from now on."""
        self.set("headers", headers)
        now = time.monotonic()
        statements = [checks.Statement(name, now, leaving=leaving, limit=limit)
                      for name in self.names.values()]
        self.system.history.statements += statements
        return statements

    def inject(self, mode: Mode) -> None:
        for proxy in self.proxies.values():
            proxy.inject(mode)

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
    """An entry host; each start creates a new process."""

    def __init__(self, system: System, index: int, ports: list[int]) -> None:
        self.system = system
        self.name = f"h{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.ports = ports
        self.peer_address = f"{LOCALHOST}:{ports[3]}"
        self.store_proxy = FaultProxy(_endpoint(system.store.address))
        self.caller_proxy = FaultProxy((LOCALHOST, ports[0]))
        self.settings = system.folder / f"{self.name}.conf"
        self.starts = 0
        self.entry: Optional[EntryProcess] = None
        self.started_at = 0.0
        self.terminated_at: Optional[float] = None
        self.reads_log = True
        self._lock = threading.Lock()

    @property
    def process_name(self) -> str:
        return f"{self.name}#{self.starts}"

    @property
    def is_running(self) -> bool:
        return self.entry is not None

    def write_settings(self, retry_slack: int) -> None:
        self.settings.write_text(f"retry-slack={retry_slack}\n", encoding="utf-8")

    def start(self) -> None:
        self.starts += 1
        self.terminated_at = None
        self.started_at = time.monotonic()
        seeds = ",".join(host.peer_address for host in self.system.hosts if host is not self)
        entry = EntryProcess(self.name, self.store_proxy.address, self.ports, seeds,
                             subprocess.PIPE, self.zone, str(self.settings))
        self.entry = entry
        log = self.system.folder / f"{self.name}-{self.starts}.log"
        threading.Thread(target=self._read_log, args=(entry, log), daemon=True).start()

    def _read_log(self, entry: EntryProcess, path: pathlib.Path) -> None:
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
        if self.terminated_at is None:
            self.terminated_at = time.monotonic()
            self.system.history.stops[self.process_name] = self.terminated_at
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kills the process and records its exit."""
        with self._lock:
            if self.entry is None:
                return
            ended = self.entry.process.poll()
            if ended is None:
                self.entry.process.kill()
                self.entry.process.wait()
            self._record(ended, killed=ended is None)

    def record_exit(self) -> None:
        """Records the exit of the process if it has ended."""
        with self._lock:
            if self.entry is not None and self.entry.process.poll() is not None:
                self._record(self.entry.process.returncode, killed=False)

    def _record(self, status: Optional[int], killed: bool) -> None:
        self.system.history.exits.append(checks.Exit(
            self.process_name, time.monotonic(), status, self.terminated_at, self.started_at,
            killed))
        self.entry = None

    def wait_for_end(self) -> None:
        end = time.monotonic() + TERMINATION_GRACE_S
        while self.is_running and time.monotonic() < end:
            self.record_exit()
            time.sleep(POLL_S)
        self.kill()


def _endpoint(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)


class System:
    """Starts and stops all processes of the soak, and holds its history."""

    def __init__(self, folder: pathlib.Path, hosts: int) -> None:
        self.folder = folder
        self.history = checks.History()
        self.store = Store(era=1)
        self.sequence = 0
        self.version = 0
        self.shard_set = 0
        self.stopping = False
        ports = free_ports(hosts * PORTS_PER_HOST)
        self.hosts: list[Host] = []
        for index in range(hosts):
            first = index * PORTS_PER_HOST
            self.hosts.append(Host(self, index, ports[first:first + PORTS_PER_HOST]))
        self.searcher_processes = [SearcherProcess(self, zone, index) for zone in ZONES
                                   for index in range(PROCESSES_PER_ZONE)]

    def start(self) -> None:
        self.configure()
        for process in self.searcher_processes:
            process.start()
        begin = time.monotonic()
        for host in self.hosts:
            host.write_settings(retry_slack=52)
            host.start()
        for host in self.hosts:
            assert host.entry is not None
            host.entry.wait_ready()
            self.record_disturbance(begin, time.monotonic(), host.name)
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def _send_heartbeats(self) -> None:
        """Renews the entries of the searchers and records exits of hosts."""
        next_heartbeat = 0.0
        while not self.stopping:
            for host in self.hosts:
                host.record_exit()
            if time.monotonic() >= next_heartbeat:
                next_heartbeat = time.monotonic() + HEARTBEAT_S
                for process in self.searcher_processes:
                    if process.state != "gone":
                        process.announce()
            time.sleep(POLL_S)

    def record_disturbance(self, begin: float, end: float, scope: str,
                           planned: bool = False) -> None:
        self.history.disturbances.append(checks.Span(begin, end, scope, planned))

    def configure(self, reshard: bool = False) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        self.shard_set ^= int(reshard)
        shards = SHARD_SETS[self.shard_set]
        single = single_service(self.version)
        services = [*SHARD_SETS[0], *SHARD_SETS[1], *map(single_service, range(VERSION_COUNT))]
        routes: list[dict[str, Any]] = [
            {"name": "r-all", "host": "h.example", "prefix": "/all/", "kind": "safe",
             "timeoutMs": GATHER_TIMEOUT_MS, "targetLatencyMs": 150, "priority": 1,
             "maxAttempts": checks.MAX_ATTEMPTS, "gather": shards, "topK": checks.TOP_K,
             "minCoverage": checks.MIN_COVERAGE},
            {"name": "r-one", "host": "h.example", "prefix": "/one/", "kind": "unsafe",
             "timeoutMs": SINGLE_TIMEOUT_MS, "targetLatencyMs": 600, "priority": 2,
             "maxAttempts": checks.MAX_ATTEMPTS, "service": single}]
        self.store.put("op/config", configuration(self.version * 3, routes, services))
        self.history.versions.append(checks.ConfigVersion(
            self.version * 3, time.monotonic(), single, list(shards)))

    def stop(self) -> None:
        """Stops the hosts by SIGTERM, then ends the searchers and the store."""
        self.stopping = True
        self.history.ended_at = time.monotonic()
        for host in self.hosts:
            self.record_disturbance(time.monotonic(), float("inf"), host.name, planned=True)
            host.terminate()
        for host in self.hosts:
            host.wait_for_end()
            host.store_proxy.close()
            host.caller_proxy.close()
        for process in self.searcher_processes:
            process.close()
        self.store.close()
