"""A small deployment of mimosa-entry on loopback, for the scripts of this review.

    store = Store()                                   # tools/platform_stand_in.py
    deployment = Deployment(store.address, zones=["z1", "z2"])
    deployment.start()
    ...
    deployment.end()                                  # ends the processes it started

Each host runs the command of deploy/system.toml with the template of settings
that the deploy file names, filled in as DEPLOY.md describes.
"""

from __future__ import annotations

import contextlib
import http.client
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

LOCALHOST = "127.0.0.1"
READY_TIMEOUT_S = 15.0

#: Settings of saules-recherche, as `fleetbench wire` prints them.
FIELDS = {
    "bootstrap": "true", "bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "52",
    "bounds.coldOverage": "1.5", "bounds.coldSlack": "5", "bounds.ttl_max_s": "5",
    "bounds.graceS": "6", "limits.cpuShare": "0.25", "limits.cpuCores": "1",
    "limits.memoryMb": "260", "limits.maxFds": "4100", "limits.linkMbps": "1000.0",
}


#: Below the range from which the system takes ports for outgoing connections.
PORTS = range(10000, 30000)
#: Keep the ports from other processes until this one ends.
_holders: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    out: list[int] = []
    while len(out) < count:
        port = random.choice(PORTS)
        with contextlib.suppress(OSError):
            with socket.socket() as probe:
                probe.bind((LOCALHOST, port))
            # A host may still listen there, since it sets this option, too.
            holder = socket.socket()
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((LOCALHOST, port))
            _holders.append(holder)
            out.append(port)
    return out


class Host:
    """One host with one process of mimosa-entry, which can be restarted."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path, store: str,
                 fields: dict[str, str]) -> None:
        self.name, self.zone = name, zone
        front, ready, control, directory, self.metrics_port = free_ports(5)
        self.front, self.ready = f"{LOCALHOST}:{front}", f"{LOCALHOST}:{ready}"
        self.control, self.directory = f"{LOCALHOST}:{control}", f"{LOCALHOST}:{directory}"
        self.fields = {**FIELDS, "nodeName": name, "zone": zone, "ip": LOCALHOST,
                       "listen.front": self.front, "listen.ready": self.ready,
                       "listen.control": self.control, "listen.directory": self.directory,
                       "platform.address": store, **fields}
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0

    def write_settings(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        text = (ROOT / role["template"]).read_text()
        text = text.replace("{{ip}}:9464", f"{LOCALHOST}:{self.metrics_port}")
        self.settings.write_text(
            re.sub(r"\{\{([^}]*)\}\}", lambda m: self.fields.get(m[1], ""), text))
        self.command = role["run"].split()
        self.variable = next(iter(role["env"]))

    def start(self) -> None:
        self.write_settings()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment[self.variable] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.started_at = time.monotonic()
        self.fields["bootstrap"] = "false"

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection(self.ready, timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() >= end:
                raise RuntimeError(f"{self.name} did not become ready, its log ends with\n"
                                   + self.log.read_text()[-2000:])
            time.sleep(0.05)

    def signal(self, number: int) -> None:
        assert self.process
        self.process.send_signal(number)

    def ended(self) -> bool:
        return self.process is not None and self.process.poll() is not None

    def kill(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Deployment:
    def __init__(self, store: str, zones: list[str], fields: dict[str, str] | None = None) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mimosa-review-"))
        self.hosts = [Host(f"front-{zone}-{i + 1}", zone, self.folder, store, fields or {})
                      for i, zone in enumerate(zones)]
        seeds = ",".join(host.control for host in self.hosts[:3])
        for host in self.hosts:
            host.fields["seeds"] = seeds

    def start(self) -> None:
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            host.wait_ready()

    def end(self) -> None:
        for host in self.hosts:
            host.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
