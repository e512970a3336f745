"""Case 13: a request that may run once is answered 503 although it has run (REFUSED).

One of 7 searchers fails 0.45 of its requests for 6.5 s while its liveness check is good.
A failing request has been run; the answer is 503 without Not-Executed.
"""

from __future__ import annotations

import collections
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig_3"))
from rig import TROUBLE, Requester, System, route, run_case  # noqa: E402

#: What was sent, answered and run.
RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
SERVICE = "facturation"
SEARCHERS = 7
FAILING_SHARE = 0.45
FAILING_S = 6.5
CALM_S = 3.0
REQUESTERS = 6
PAUSE_S = 0.1
#: Statuses that promise that the request has not run and never will (PROTOCOL.md).
PROMISES = {"429", "503", "408", "421"}


class Booking(threading.Thread):
    """Books charges one after the other; sends a charge again only after a promise."""

    def __init__(self, system: System, number: int) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.requester = Requester(system, f"q{number}")
        self.statuses: dict[str, str] = {}
        self.stopping = False

    def attempt(self, charge: str) -> str:
        attempt_id = self.requester.next_id()
        body = charge.encode()
        try:
            self.requester.send(attempt_id, "POST", f"/charge/{charge}",
                                f"Content-Length: {len(body)}\r\n", body)
            answer = self.requester.receive(attempt_id, "POST")
        except OSError as error:
            self.system.record.write(f"answer {attempt_id}: none ({error})")
            self.requester.close()
            return ""
        self.statuses[attempt_id] = answer.first_line[1]
        if answer.first_line[1] in PROMISES:
            time.sleep(min(1.0, float(answer.header("Retry-After") or 0)))
            self.requester.close()
        return answer.first_line[1]

    def run(self) -> None:
        number = 0
        while not self.stopping:
            number += 1
            charge = f"{self.requester.name}-{number}"
            # One retry, on a new connection, as the site's requesters do.
            if self.attempt(charge) in PROMISES:
                self.attempt(charge)
            time.sleep(PAUSE_S)


def play(system: System) -> list[str]:
    system.configure([route("r-charge", "/charge/", SERVICE, "unsafe")])
    system.start()
    bookings = [Booking(system, number) for number in range(REQUESTERS)]
    for booking in bookings:
        booking.start()
    time.sleep(CALM_S)
    rng = random.Random(13)
    if TROUBLE:
        failing = system.searchers[SERVICE][0]
        failing.fails_after_run = lambda: rng.random() < FAILING_SHARE
        system.record.write(f"trouble: {failing.name} fails")
        time.sleep(FAILING_S)
        failing.fails_after_run = lambda: False
        system.record.write(f"trouble: {failing.name} has recovered")
    else:
        time.sleep(FAILING_S)
    time.sleep(CALM_S)
    for booking in bookings:
        booking.stopping = True
    for booking in bookings:
        booking.join(7)
    runs = system.runs(SERVICE)
    statuses = {i: s for booking in bookings for i, s in booking.statuses.items()}
    if sum(s == "200" for s in statuses.values()) < 100:
        raise RuntimeError("too few requests were served")
    charges = collections.Counter(run.target for run in runs)
    twice = sum(count > 1 for count in charges.values())
    print(f"{len(statuses)} requests, {len(runs)} runs, {twice} charges booked twice")
    return [f"{run.attempt_id} has run and was answered {statuses[run.attempt_id]}"
            for run in runs if statuses.get(run.attempt_id) in PROMISES]


if __name__ == "__main__":
    sys.exit(run_case(RECORD, {SERVICE: SEARCHERS}, 0.05, play))
