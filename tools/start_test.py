"""Tests of starts of mimosa-entry with real processes."""

from __future__ import annotations

import os
import pathlib
import signal
import tempfile
import time
import unittest

from entry_process import EntryProcess
from platform_stand_in import TERMINATION_GRACE_S, Store, configuration
from small_system import free_ports


class StartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.store.put("op/config", configuration(3, [], []))

    def start(self, ports: list[int], settings_file: str = "") -> EntryProcess:
        entry = EntryProcess("h1", self.store.address, ports, settings_file=settings_file)
        self.addCleanup(entry.stop)
        return entry

    def test_host_does_not_start_because_its_metrics_address_is_taken(self) -> None:
        # Several hosts of one machine may have one metrics address; issue 34, own runs.
        ports = free_ports()
        first = self.start(ports)
        first.wait_ready()
        second = self.start([*ports[5:9], ports[4]])
        second.wait_ready()
        # It takes the address over as soon as it is free.
        first.stop()
        end = time.monotonic() + 5
        while True:
            try:
                status, _ = second.get(second.metrics_address, "/metrics")
                break
            except OSError:
                self.assertLess(time.monotonic(), end)
                time.sleep(0.1)
        self.assertEqual(status, 200)

    def open_pipe(self, settings: pathlib.Path) -> int:
        """Opens the pipe for writing as soon as the host waits for its settings."""
        end = time.monotonic() + 5
        while True:
            try:
                return os.open(settings, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                self.assertLess(time.monotonic(), end)
                time.sleep(0.005)

    def test_signal_during_the_start_ends_the_host(self) -> None:
        # The handlers of signals were installed after the settings had been read; issue 53.
        for number in (signal.SIGHUP, signal.SIGTERM):
            with self.subTest(signal=number.name), tempfile.TemporaryDirectory() as folder:
                settings = pathlib.Path(folder) / "settings.conf"
                os.mkfifo(settings)
                entry = self.start(free_ports(), str(settings))
                pipe = self.open_pipe(settings)
                entry.process.send_signal(number)
                time.sleep(0.05)
                # Whoever reads the settings again gets a file.
                settings.unlink()
                settings.touch()
                os.close(pipe)
                if number == signal.SIGHUP:
                    entry.wait_ready()
                    entry.stop()
                else:
                    self.assertEqual(entry.process.wait(2 * TERMINATION_GRACE_S), 0)


if __name__ == "__main__":
    unittest.main()
