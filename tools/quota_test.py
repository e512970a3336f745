"""Tests that two hosts of mimosa-entry share the quotas of teams."""

from __future__ import annotations

import http.client
import signal
import threading
import time
import unittest

from entry_process import EntryProcess
from platform_stand_in import Searcher, Store, configuration
from small_system import free_ports

SEARCHER_COUNT = 3
#: The bound on the requests of a team in any window, see docs/hard-load.md, 4.2.
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
#: Share of its quota that a team gets if it asks for more.
MIN_USED_SHARE = 0.95
#: Hosts know each other, and the quotas, this long after their start.
START_S = 2.0
#: A host that is frozen is noticed within this time.
CONTACT_S = 1.5
FREEZE_S = 4.0
CALLERS_PER_TEAM = 8
HOT, QUIET = "hot", "quiet"
RATE_PER_S = {HOT: 20.0, QUIET: 10.0}
BURST = {HOT: 20.0, QUIET: 10.0}


class Caller(threading.Thread):
    """Sends requests of a team at a steady rate to one host; retries nothing."""

    def __init__(self, address: str, team: str, pause_s: float, end: float, name: str) -> None:
        super().__init__(daemon=True, name=name)
        self.address = address
        self.team = team
        self.pause_s = pause_s
        self.end = end
        #: Status, Retry-After and time of each answer.
        self.results: list[tuple[int, str, float]] = []

    def run(self) -> None:
        connection = http.client.HTTPConnection(self.address, timeout=20)
        while time.monotonic() < self.end:
            self.results.append(send(connection, self.team, f"{self.name}x{len(self.results)}"))
            time.sleep(self.pause_s)
        connection.close()


def send(connection: http.client.HTTPConnection, team: str,
         request_id: str) -> tuple[int, str, float]:
    connection.request("GET", f"/one/{team}/{request_id}", headers={
        "Host": "h.example", "Attempt-Id": request_id, "Deadline-Ms": "2000",
        "Authorization": f"Token key-{team}"})
    response = connection.getresponse()
    response.read()
    return response.status, response.headers.get("Retry-After", ""), time.monotonic()


class QuotaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.addCleanup(self.store.close)
        self.searchers = [Searcher("one", f"i-{n}") for n in range(SEARCHER_COUNT)]
        for searcher in self.searchers:
            self.store.put(f"servers/{searcher.name}", searcher.entry())
            self.addCleanup(searcher.close)
        route = {"name": "r-one", "host": "h.example", "prefix": "/one/", "kind": "safe",
                 "timeoutMs": 2000, "targetLatencyMs": 600, "priority": 1, "maxAttempts": 1,
                 "service": "one"}
        config = configuration(3, [route], ["one"])
        config["tenants"] = [
            {"name": team, "apiKeys": [f"key-{team}"], "ratePerS": RATE_PER_S[team],
             "burst": BURST[team]} for team in (HOT, QUIET)]
        self.store.put("op/config", config)
        ports = free_ports()
        self.hosts = [EntryProcess(f"h{n}", self.store.address, ports[5 * n:]) for n in range(2)]
        for host in self.hosts:
            self.addCleanup(host.stop)
            host.wait_ready()
        time.sleep(START_S)

    def tearDown(self) -> None:
        for host in self.hosts:
            self.assertIsNone(host.process.poll(), "mimosa-entry exited unexpectedly")

    def call(self, hosts: list[EntryProcess], team: str, per_second: float,
             seconds: float) -> list[Caller]:
        count = CALLERS_PER_TEAM if team == HOT else len(hosts)
        end = time.monotonic() + seconds
        callers = [Caller(hosts[n % len(hosts)].caller_address, team, count / per_second, end,
                          f"{team}{n}") for n in range(count)]
        for caller in callers:
            caller.start()
        return callers

    def finish(self, callers: list[Caller]) -> list[tuple[int, str, float]]:
        for caller in callers:
            caller.join(30)
        return [result for caller in callers for result in caller.results]

    def assert_quota_kept(self, team: str, answers: list[tuple[int, str, float]]) -> None:
        """The answers must be all that the team has got, since each request runs once."""
        served = sorted(at for status, _, at in answers if status == 200)
        runs = sum(f"/one/{team}/" in line for s in self.searchers for _, line, _ in s.runs)
        self.assertEqual(runs, len(served))
        most = max(sum(a <= b < a + WINDOW_S for b in served) for a in served)
        allowed = (RATE_PER_S[team] * WINDOW_S + BURST[team]) * (1 + OVERAGE) + SLACK
        print(f"{self.id()}: most in a window {most}, allowed {allowed:.0f}")
        self.assertLessEqual(most, allowed)

    def assert_quota_used(self, answers: list[tuple[int, str, float]], begin: float,
                          end: float) -> None:
        served = sum(status == 200 and begin <= at < end for status, _, at in answers)
        used = served / (RATE_PER_S[HOT] * (end - begin))
        print(f"{self.id()}: share of the quota used {used:.3f}")
        self.assertGreaterEqual(used, MIN_USED_SHARE)

    def assert_refusals_are_accurate(self, answers: list[tuple[int, str, float]]) -> None:
        refusals = [after for status, after, _ in answers if status != 200]
        self.assertTrue(all(status in (200, 429) for status, _, _ in answers))
        self.assertGreater(len(refusals), 50)
        times = {float(after) for after in refusals}
        self.assertTrue(all(0 < after <= 2 * WINDOW_S for after in times))
        # Callers that were refused together must not return together.
        self.assertGreater(len(times), len(refusals) // 2)

    def test_team_whose_callers_are_at_one_host_gets_a_part_of_its_quota(self) -> None:
        # Guards against equal shares for hosts, which leave half of the quota unused.
        begin = time.monotonic()
        answers = self.finish(self.call(self.hosts[:1], HOT, 160, 12))
        self.assert_quota_kept(HOT, answers)
        self.assert_quota_used(answers, begin + 1, begin + 11)
        self.assert_refusals_are_accurate(answers)

    def test_hot_team_gets_more_than_its_quota_or_harms_another(self) -> None:
        # Guards against hosts that each allow the whole quota, and against one count for teams.
        begin = time.monotonic()
        hot = self.call(self.hosts, HOT, 160, 10)
        quiet = self.finish(self.call(self.hosts, QUIET, 4, 10))
        answers = self.finish(hot)
        self.assert_quota_kept(HOT, answers)
        self.assert_quota_used(answers, begin + 1, begin + 9)
        self.assertEqual({status for status, _, _ in quiet}, {200})

    def test_frozen_host_resumes_with_an_old_share(self) -> None:
        # Guards against a share that is used twice: while its host is frozen, and afterwards.
        callers = self.call(self.hosts, HOT, 160, 3 + FREEZE_S + 6)
        time.sleep(3)
        frozen = time.monotonic()
        self.hosts[1].process.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        self.hosts[1].process.send_signal(signal.SIGCONT)
        resumed = time.monotonic()
        answers = self.finish(callers)
        self.assert_quota_kept(HOT, answers)
        self.assert_quota_used(answers, resumed + CONTACT_S, resumed + 5.5)
        # The other host keeps its own half and the margin of the rule.
        served = sum(status == 200 and frozen + CONTACT_S <= at < resumed
                     for status, _, at in answers)
        self.assertGreaterEqual(served, 0.5 * RATE_PER_S[HOT] * (FREEZE_S - CONTACT_S))

    def test_request_that_has_not_run_is_counted(self) -> None:
        # Guards against callers who pay for requests that backend servers decline.
        for searcher in self.searchers:
            searcher.sheds = True
        connection = http.client.HTTPConnection(self.hosts[0].caller_address, timeout=10)
        statuses = [send(connection, HOT, f"r{n}")[0] for n in range(5 * int(BURST[HOT]))]
        connection.close()
        self.assertEqual(set(statuses), {503})

    def test_metrics_show_the_quota(self) -> None:
        # Guards against quotas that operators cannot see.
        text = self.hosts[0].get(self.hosts[0].metrics_address, "/metrics")[1].decode()
        self.assertIn('mimosa_team_quota_level{team="hot"} 20', text)
        self.assertIn("mimosa_quota_sharing_hosts 2", text)
        self.assertIn("mimosa_quota_connected_hosts 2", text)


if __name__ == "__main__":
    unittest.main()
