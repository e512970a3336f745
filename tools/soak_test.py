"""Short seeded runs of the soak; longer ones are made by hand (docs/soak.md)."""

from __future__ import annotations

import unittest

import soak

SECONDS = 6.0


class SoakTest(unittest.TestCase):
    def check(self, seed: int, kinds: list[str]) -> soak.Outcome:
        outcome = soak.run_one(seed, soak.Settings(SECONDS, kinds=kinds), soak.KEEP)
        self.assertEqual(outcome.violations, {}, outcome.line())
        self.assertEqual(outcome.missed, [], "breaks that the checks do not find")
        return outcome

    def test_planned_work_breaks_no_promise(self) -> None:
        # Guards against requests that are cut, repeated or handled by what is no
        # longer in force while hosts, searchers and configuration change. Each
        # deliberate break must be possible in this run and must be found.
        outcome = self.check(4, ["configuration", "searchers_drain", "evacuation",
                                 "host_stopped", "settings_reloaded"])
        self.assertEqual(outcome.without, [])

    def test_faults_break_no_promise(self) -> None:
        # Guards against broken promises under unplanned faults.
        self.check(1, ["host_killed", "searchers_killed", "searchers_unreachable",
                       "store_loses_answers", "configuration"])


if __name__ == "__main__":
    unittest.main()
