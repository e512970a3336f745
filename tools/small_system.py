"""A small mimosawall system on loopback, for scripts/quickstart and tests.

    with SmallSystem() as system:
        system.apply_configuration()
        system.wait_until_usable()
        print(system.query("library"))

It has one mimosa-kv, 8 backend servers of which each group of 4 holds all
shards, and 3 daemons in 2 availability zones. Its processes are stopped by
their process ids when the block ends.
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

BACKENDS = 8
#: Backend servers that hold all shards together.
ROWS = 4
DAEMON_ZONES = ["z1", "z2", "z1"]
SERVICE = "packages"
LOCALHOST = "127.0.0.1"

#: Ports are taken from blocks below the range of outgoing connections.
FIRST_PORT = 10000
BLOCK_PORTS = 20
BLOCKS = 1100

#: Longer than the 5 s in which a change must be in force and a new owner's
#: wait of 2.5 s.
READY_TIMEOUT_S = 30.0
#: A daemon serves for the address lifetime before it stops.
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


def free_ports(count: int = BLOCK_PORTS) -> list[int]:
    """Consecutive free ports, ``count`` or a few more.

    The search starts at a block given by the process id, so that two runs that
    start at once do not choose the same ports.
    """
    for step in range(BLOCKS):
        block = (os.getpid() + step) % BLOCKS
        first = FIRST_PORT + block * BLOCK_PORTS
        ports = list(range(first, first + -(-count // BLOCK_PORTS) * BLOCK_PORTS))
        if all(_is_free(port) for port in ports):
            return ports
    raise RuntimeError("no free block of ports on " + LOCALHOST)


def exchange(
    address: str, method: str, path: str, body: object = None, timeout_s: float = 15
) -> tuple[int, Any]:
    """One HTTP request; the status and the JSON of the answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        content = body if isinstance(body, (bytes, type(None))) else json.dumps(body)
        connection.request(method, path, content)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    finally:
        connection.close()


class SmallSystem:
    """The processes of a small system; see the top of this file."""

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="mimosawall-")
        ports = free_ports()
        self.store = f"{LOCALHOST}:{ports[0]}"
        count = len(DAEMON_ZONES)
        self.callers = [f"{LOCALHOST}:{p}" for p in ports[1 : 1 + count]]
        self.peers = [f"{LOCALHOST}:{p}" for p in ports[1 + count : 1 + 2 * count]]
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
        text = pathlib.Path(self.folder.name) / "packages.txt"
        with text.open("wb") as out:
            query = ["dpkg-query", "-W", "-f=${Package} ${Description}\n"]
            subprocess.run(query, stdout=out, check=True)
        self._spawn("mimosa-kv", "--listen", self.store)
        self._spawn(
            "mimosa-backend", "--ip", LOCALHOST,
            "--first-port", str(self.first_backend_port), "--count", str(BACKENDS),
            "--rows", str(ROWS), "--text", str(text),
        )
        self._await_listener(self.store)
        for index in range(len(DAEMON_ZONES)):
            self._spawn_daemon(index)
        for address in self.callers:
            self._await_listener(address)

    def _spawn_daemon(self, index: int) -> None:
        self._spawn(
            "mimosad", "--caller-address", self.callers[index],
            "--peer-address", self.peers[index], "--zone", DAEMON_ZONES[index],
            "--store-address", self.store, "--seeds", ",".join(self.peers),
            "--address-lifetime-ms", str(ADDRESS_LIFETIME_MS),
            "--log-level", "warn",
        )

    @staticmethod
    def program(name: str) -> str:
        """The path of a built program; raises RuntimeError if it is missing."""
        path = ROOT / os.environ.get("BUILD_DIR", "build") / name
        if not path.exists():
            raise RuntimeError(f"{path} is missing; run scripts/build first")
        return str(path)

    def _spawn(self, program: str, *flags: str) -> None:
        process = subprocess.Popen([self.program(program), *flags])
        self.processes.append((program, process))

    def _await_listener(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            self.check_running()
            try:
                socket.create_connection((host, int(port)), timeout=1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"nothing accepts connections at {address}")

    def check_running(self) -> None:
        """Raises RuntimeError if a process of the system has ended."""
        for name, process in self.processes:
            if process.poll() is not None:
                raise RuntimeError(f"{name} ended with status {process.returncode}")

    def stop(self) -> None:
        """Stops all processes by their ids, the daemons first."""
        # A signal here would leave processes behind.
        signals = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
        before = signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        try:
            self._stop()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    def _stop(self) -> None:
        # mimosa-kv and mimosa-backend were started first.
        for _, process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_S
        for name, process in reversed(self.processes):
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                print(f"{name} did not stop within {STOP_TIMEOUT_S:.0f} s; killed",
                      file=sys.stderr)
                process.kill()
                process.wait()
        self.processes.clear()
        self.folder.cleanup()

    def configuration(self) -> mw.Configuration:
        """One service; each availability zone holds all shards."""
        servers = [
            mw.BackendServer(
                f"{SERVICE}-{i + 1}", f"{LOCALHOST}:{self.first_backend_port + i}",
                f"z{i // ROWS + 1}", slots=6, connections=45,
            )
            for i in range(BACKENDS)
        ]
        zones = [mw.AvailabilityZone("z1"), mw.AvailabilityZone("z2")]
        return mw.Configuration([mw.Region("default", zones)],
                                [mw.Service(SERVICE, servers)])

    def ctl(
        self, *words: str, stdin: str | None = None, daemons: list[str] | None = None
    ) -> subprocess.CompletedProcess[str]:
        """Runs mimosactl; the caller judges its exit status."""
        addresses = ",".join(daemons or self.callers)
        command = [self.program("mimosactl"), "--daemon", addresses, *words]
        return subprocess.run(command, input=stdin, capture_output=True, text=True,
                              timeout=60, check=False)

    def must_ctl(self, *words: str, stdin: str | None = None) -> str:
        """Runs mimosactl and returns its output; raises if it fails."""
        done = self.ctl(*words, stdin=stdin)
        if done.returncode != 0:
            raise RuntimeError(f"mimosactl {' '.join(words)}: exit status "
                               f"{done.returncode}: {done.stderr.strip()}")
        return done.stdout

    def apply_configuration(self) -> str:
        """Applies configuration() and waits until it is in force."""
        out = self.must_ctl("apply", "-", stdin=self.configuration().to_json())
        return out + self.must_ctl("wait", "1", "--timeout-ms", "30000")

    def backends(self, daemon: str) -> dict[str, dict[str, Any]]:
        """The backend servers as ``daemon`` sees them, by name."""
        _, status = exchange(daemon, "GET", "/v1/status")
        service = status["services"].get(SERVICE, {"backend_servers": []})
        return {one["name"]: one for one in service["backend_servers"]}

    def wait_until_usable(self) -> None:
        """Waits until every daemon can use every backend server."""
        end = time.monotonic() + READY_TIMEOUT_S
        missing: list[str] = []
        while time.monotonic() < end:
            self.check_running()
            missing = []
            for daemon in self.callers:
                known = self.backends(daemon)
                if len(known) < BACKENDS:
                    missing.append(f"{daemon} knows {len(known)} of {BACKENDS}")
                missing += [f"{name} at {daemon}" for name, one in known.items()
                            if not one["usable"]]
            if not missing:
                return
            time.sleep(0.1)
        raise RuntimeError("backend servers are not usable: " + ", ".join(missing))

    def query(self, text: str, daemon: int = 0) -> dict[str, Any]:
        """The answer of one daemon to a query."""
        body = {"service": SERVICE, "caller": "small-system", "class": "interactive",
                "deadline_ms": 2000, "idempotent": True, "limit": 5, "query": {"text": text}}
        return exchange(self.callers[daemon], "POST", "/v1/query", body)[1]
