"""A small mimosawall system on loopback, for scripts/quickstart and tests.

    with SmallSystem() as system:
        system.apply_configuration()
        system.wait_until_usable()
        print(system.query("library"))

It has one mimosa-kv, 8 backend servers of which each group of 4 holds all
shards, and 3 daemons in 2 availability zones. Leaving the block stops these
processes and no others.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "python"))

import mimosawall as mw  # noqa: E402

BACKEND_SERVER_COUNT = 8
#: The backend servers of a group hold all shards between them.
SERVERS_PER_GROUP = 4
DAEMON_ZONES = ["z1", "z2", "z1"]
SERVICE = "packages"
LOCALHOST = "127.0.0.1"

#: Blocks of listening ports, below the range of ephemeral ports.
FIRST_PORT = 10000
PORTS_PER_BLOCK = 20
BLOCK_COUNT = 1100

#: Longer than the 5 s within which a configuration change must be active plus
#: the 2.5 s that a new owner of a partition waits.
READY_TIMEOUT_S = 30.0
#: A stopping daemon continues to serve for this long.
ADDRESS_LIFETIME_MS = 500
STOP_TIMEOUT_S = 10.0


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOCALHOST, port))
        except OSError:
            return False
    return True


def free_ports(count: int = PORTS_PER_BLOCK) -> list[int]:
    """Returns at least ``count`` consecutive free ports.

    The search starts at a block derived from the process id, so that concurrent
    runs do not choose the same ports.
    """
    for step in range(BLOCK_COUNT):
        block = (os.getpid() + step) % BLOCK_COUNT
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        ports = list(range(first, first + -(-count // PORTS_PER_BLOCK) * PORTS_PER_BLOCK))
        if all(_is_free(port) for port in ports):
            return ports
    raise RuntimeError("no block of free ports on " + LOCALHOST)


def request_json(
    address: str, method: str, path: str, body: object = None, timeout_s: float = 15
) -> tuple[int, Any]:
    """Sends an HTTP request; returns the status and the parsed JSON of the response."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        content = body if isinstance(body, (bytes, type(None))) else json.dumps(body)
        connection.request(method, path, content)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        connection.close()


class SmallSystem:
    """The processes of a small system; see the module docstring."""

    def __init__(self) -> None:
        self.temp_dir = tempfile.TemporaryDirectory(prefix="mimosawall-")
        ports = free_ports()
        self.store_address = f"{LOCALHOST}:{ports[0]}"
        count = len(DAEMON_ZONES)
        self.caller_addresses = [f"{LOCALHOST}:{p}" for p in ports[1 : 1 + count]]
        self.peer_addresses = [f"{LOCALHOST}:{p}" for p in ports[1 + count : 1 + 2 * count]]
        self.first_backend_port = ports[1 + 2 * count]
        self.processes: list[tuple[str, subprocess.Popen[bytes]]] = []

    def __enter__(self) -> SmallSystem:
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def _start(self) -> None:
        text = pathlib.Path(self.temp_dir.name) / "packages.txt"
        with text.open("wb") as out:
            command = ["dpkg-query", "-W", "-f=${Package} ${Description}\n"]
            subprocess.run(command, stdout=out, check=True)
        self._spawn("mimosa-kv", "--listen", self.store_address)
        self._spawn(
            "mimosa-backend", "--ip", LOCALHOST,
            "--first-port", str(self.first_backend_port), "--count", str(BACKEND_SERVER_COUNT),
            "--rows", str(SERVERS_PER_GROUP), "--text", str(text),
        )
        self._wait_for_listener(self.store_address)
        for index in range(len(DAEMON_ZONES)):
            self._spawn_daemon(index)
        for address in self.caller_addresses:
            self._wait_for_listener(address)

    def _spawn_daemon(self, index: int) -> None:
        self._spawn(
            "mimosad", "--caller-address", self.caller_addresses[index],
            "--peer-address", self.peer_addresses[index], "--zone", DAEMON_ZONES[index],
            "--store-address", self.store_address, "--seeds", ",".join(self.peer_addresses),
            "--address-lifetime-ms", str(ADDRESS_LIFETIME_MS),
            "--log-level", "warn",
        )

    @staticmethod
    def program(name: str) -> str:
        """Returns the path of a built program; raises RuntimeError if it is missing."""
        path = ROOT / os.environ.get("BUILD_DIR", "build") / name
        if not path.exists():
            raise RuntimeError(f"{path} is missing; run scripts/build first")
        return str(path)

    def _spawn(self, program: str, *flags: str) -> None:
        process = subprocess.Popen([self.program(program), *flags])
        self.processes.append((program, process))

    def _wait_for_listener(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            self.check_running()
            try:
                socket.create_connection((host, int(port)), timeout=1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"no process accepts connections at {address} "
                           f"after {READY_TIMEOUT_S:.0f} s")

    def check_running(self) -> None:
        """Raises RuntimeError if a process of the system has ended."""
        for name, process in self.processes:
            if process.poll() is not None:
                raise RuntimeError(f"{name} ended with status {process.returncode}")

    def stop(self) -> None:
        """Stops all processes, the daemons first."""
        # An exception raised by a signal handler here would leave processes behind.
        signals = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
        before = signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        try:
            self._stop()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    def _stop(self) -> None:
        # The daemons were started last.
        for _, process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_S
        for name, process in reversed(self.processes):
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                print(f"{name} did not stop within {STOP_TIMEOUT_S:.0f} s; killing it",
                      file=sys.stderr)
                process.kill()
                process.wait()
        self.processes.clear()
        self.temp_dir.cleanup()

    def configuration(self) -> mw.Configuration:
        """A configuration of one service; each availability zone holds all shards."""
        servers = [
            mw.BackendServer(
                f"{SERVICE}-{i + 1}", f"{LOCALHOST}:{self.first_backend_port + i}",
                f"z{i // SERVERS_PER_GROUP + 1}", slots=6, connections=45,
            )
            for i in range(BACKEND_SERVER_COUNT)
        ]
        zones = [mw.AvailabilityZone("z1"), mw.AvailabilityZone("z2")]
        return mw.Configuration([mw.Region("default", zones)],
                                [mw.Service(SERVICE, servers)])

    def run_ctl(
        self, *arguments: str, stdin: str | None = None, daemons: list[str] | None = None
    ) -> subprocess.CompletedProcess[str]:
        """Runs mimosactl and returns its exit status and output."""
        addresses = ",".join(daemons or self.caller_addresses)
        command = [self.program("mimosactl"), "--daemon", addresses, *arguments]
        return subprocess.run(command, input=stdin, capture_output=True, text=True,
                              timeout=60, check=False)

    def ctl_output(self, *arguments: str, stdin: str | None = None) -> str:
        """Runs mimosactl and returns its output; raises RuntimeError if it fails."""
        result = self.run_ctl(*arguments, stdin=stdin)
        if result.returncode != 0:
            raise RuntimeError(f"mimosactl {' '.join(arguments)}: exit status "
                               f"{result.returncode}: {result.stderr.strip()}")
        return result.stdout

    def apply_configuration(self) -> str:
        """Applies configuration() and waits until every host has activated it."""
        out = self.ctl_output("apply", "-", stdin=self.configuration().to_json())
        return out + self.ctl_output("wait", "1", "--timeout-ms", "30000")

    def backend_servers(self, daemon: str) -> dict[str, dict[str, Any]]:
        """The status of the backend servers as reported by ``daemon``, by name."""
        _, status = request_json(daemon, "GET", "/v1/status")
        service = status["services"].get(SERVICE, {"backend_servers": []})
        return {server["name"]: server for server in service["backend_servers"]}

    def wait_until_usable(self) -> None:
        """Waits until every daemon reports every backend server as usable."""
        end = time.monotonic() + READY_TIMEOUT_S
        missing: list[str] = []
        while time.monotonic() < end:
            self.check_running()
            missing = []
            for daemon in self.caller_addresses:
                servers = self.backend_servers(daemon)
                if len(servers) < BACKEND_SERVER_COUNT:
                    missing.append(f"{daemon} lists {len(servers)} of {BACKEND_SERVER_COUNT}")
                missing += [f"{name} at {daemon}" for name, server in servers.items()
                            if not server["usable"]]
            if not missing:
                return
            time.sleep(0.1)
        raise RuntimeError(f"not all backend servers are usable after {READY_TIMEOUT_S:.0f} s: "
                           + ", ".join(missing))

    def query(self, text: str, daemon: int = 0) -> dict[str, Any]:
        """Sends a query to a daemon, given by its index, and returns the answer."""
        body = {"service": SERVICE, "caller": "small-system", "class": "interactive",
                "deadline_ms": 2000, "idempotent": True, "limit": 5, "query": {"text": text}}
        return request_json(self.caller_addresses[daemon], "POST", "/v1/query", body)[1]
