"""Tests of starts of mimosa-entry with real processes."""

from __future__ import annotations

import time
import unittest

from entry_process import EntryProcess
from platform_stand_in import Store, configuration
from small_system import free_ports


class StartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.store.put("op/config", configuration(3, [], []))

    def start(self, ports: list[int]) -> EntryProcess:
        entry = EntryProcess("h1", self.store.address, ports)
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


if __name__ == "__main__":
    unittest.main()
