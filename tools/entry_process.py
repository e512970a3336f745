"""mimosa-entry as a real process, for tests and the soak."""

from __future__ import annotations

import http.client
import subprocess
import time
from typing import Any

from platform_stand_in import GRACE_S, LOCALHOST
from small_system import SmallSystem

READY_TIMEOUT_S = 5.0


class Entry:
    """One entry host: a real process."""

    def __init__(self, name: str, store: str, ports: list[int], seeds: str = "",
                 stdout: Any = subprocess.DEVNULL, zone: str = "z1",
                 settings_file: str = "") -> None:
        self.callers, self.ready, self.directory, self.peer, self.metrics = (
            f"{LOCALHOST}:{port}" for port in ports[:5])
        self.process = subprocess.Popen(
            [SmallSystem.program("mimosa-entry"), "--host-name", name, "--zone", zone,
             "--caller-address", self.callers, "--ready-address", self.ready,
             "--directory-address", self.directory, "--peer-address", self.peer,
             "--metrics-address", self.metrics, "--store-address", store,
             "--seeds", seeds,
             *(["--settings-file", settings_file] if settings_file else [])], stdout=stdout)

    def get(self, address: str, path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(address, timeout=5)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def wait_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            try:
                if self.get(self.ready, "/ready")[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise RuntimeError("the entry host did not become ready")

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(GRACE_S)
