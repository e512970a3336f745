"""Runs mimosa-entry as a process, for the tests and the soak test."""

from __future__ import annotations

import http.client
import subprocess
import time
from typing import Any

from platform_stand_in import TERMINATION_GRACE_S, LOCALHOST
from small_system import SmallSystem

READY_TIMEOUT_S = 5.0


class EntryProcess:
    """A running mimosa-entry; ``ports`` holds the ports of its five addresses."""

    def __init__(self, name: str, store_address: str, ports: list[int], seeds: str = "",
                 stdout: Any = subprocess.DEVNULL, zone: str = "z1",
                 settings_file: str = "", options: list[str] | None = None) -> None:
        self.caller_address, self.ready_address, self.directory_address, self.peer_address, \
            self.metrics_address = (f"{LOCALHOST}:{port}" for port in ports[:5])
        self.process = subprocess.Popen(
            [SmallSystem.program("mimosa-entry"), "--host-name", name, "--zone", zone,
             "--caller-address", self.caller_address, "--ready-address", self.ready_address,
             "--directory-address", self.directory_address, "--peer-address", self.peer_address,
             "--metrics-address", self.metrics_address, "--store-address", store_address,
             "--seeds", seeds,
             *(["--settings-file", settings_file] if settings_file else []),
             *(options or [])], stdout=stdout)

    def get(self, address: str, path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(address, timeout=5)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def wait_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            try:
                if self.get(self.ready_address, "/ready")[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise RuntimeError(f"mimosa-entry did not become ready within {READY_TIMEOUT_S:.0f} s")

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(TERMINATION_GRACE_S)
