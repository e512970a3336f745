"""Short seeded runs of the soak test; docs/soak.md describes longer ones."""

from __future__ import annotations

import unittest

import soak

SECONDS = 6.0
#: A limit has to be kept from 4 s after it was stated, for 4 s and more.
LONG_SECONDS = 14.0


class SoakTest(unittest.TestCase):
    def run_soak(self, seed: int, kinds: list[str], seconds: float = SECONDS) -> soak.Outcome:
        outcome = soak.run_one(seed, soak.Settings(seconds, kinds=kinds), soak.VIOLATION_LOGS)
        self.assertEqual(outcome.violations, {}, outcome.line())
        self.assertEqual(outcome.missed, [], "the checks do not find these injected violations")
        return outcome

    def test_planned_work_keeps_all_guarantees(self) -> None:
        # Guards against requests that are aborted, run twice or handled by an
        # outdated configuration while hosts, searchers and the configuration
        # change. Each injected violation must apply to this run and be found.
        outcome = self.run_soak(4, ["configuration", "searchers_drain", "evacuation",
                                    "host_stopped", "settings_reloaded"])
        self.assertEqual(outcome.without, [])

    def test_faults_keep_all_guarantees(self) -> None:
        # Guards against violated guarantees under unplanned faults.
        self.run_soak(1, ["host_killed", "searchers_killed", "searchers_unreachable",
                          "store_loses_answers", "configuration"])

    def test_restores_of_the_store_keep_all_guarantees(self) -> None:
        # Guards against a host that goes back to what an older copy of the store says, while the
        # configuration, hosts and searchers change.
        self.run_soak(3, ["store_restored", "configuration", "searchers_drain", "host_stopped"])

    def test_statements_of_searchers_are_kept(self) -> None:
        # Guards against requests beyond a stated limit, or to searchers that say they leave, while
        # the configuration changes. Both injected violations must apply and be found.
        outcome = self.run_soak(2, ["searchers_say_they_leave", "searchers_state_limits",
                                    "configuration", "settings_reloaded"], LONG_SECONDS)
        self.assertFalse(set(outcome.without) & set(soak.checks.STATEMENT_VIOLATIONS))


if __name__ == "__main__":
    unittest.main()
