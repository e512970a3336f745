"""Tests that the checks of the soak find what they are for."""

from __future__ import annotations

import unittest

import soak_checks as checks


def request(request_id: str, outcome: str, sent_at: float) -> checks.Request:
    return checks.Request(request_id, "h1#1", "/all/2f", "GET /all/2f HTTP/1.1", b"", sent_at,
                          timeout_s=0.8, outcome=outcome, ended_at=sent_at + 0.1, status=200)


class SoakChecksTest(unittest.TestCase):
    def test_injected_failure_is_one_that_the_check_looks_at(self) -> None:
        # Guards against a run that fails because its first request after the recovery was
        # abandoned by the caller (soak.py, seed 25).
        history = checks.History(recovered_at=0.0, ended_at=60.0, requests=[
            request("left", "gave_up", checks.CALM_S + 1),
            request("answered", "answer", checks.CALM_S + 2)])
        name = "hosts do not recover"
        check, inject = checks.INJECTED_VIOLATIONS[name]
        self.assertEqual(checks.CHECKS[check](history), [])
        self.assertTrue(inject(history))
        self.assertNotEqual(checks.CHECKS[check](history), [])


if __name__ == "__main__":
    unittest.main()
