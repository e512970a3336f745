"""Case 13: a request that was smuggled inside another one runs (UNASKED).

A client that the operators do not control states a transfer coding that is not chunked,
and no length. The end of such a body is not known, so the request has to be refused
(RFC 9112, 6.3). The host takes it to have no body, and the body for the next request.
"""

from __future__ import annotations

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig_3"))
from rig import HOST, TROUBLE, NoHttp, Requester, System, route, run_case  # noqa: E402

SERVICE = "facturation"
SEARCHERS = 4
PLAY_S = 8.0
PAUSE_S = 0.2
NOTE_SENDERS = 2


class NoteSender(threading.Thread):
    """Sends notes, each in one request; the text of a note is that of a request."""

    def __init__(self, system: System, number: int) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.requester = Requester(system, f"q{number}")
        #: The bodies of the requests that were sent, by their ids.
        self.sent: dict[str, bytes] = {}
        self.answered = 0
        self.stopping = False

    def send_note(self) -> None:
        attempt_id = self.requester.next_id()
        note = (f"POST /charge/{attempt_id} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Attempt-Id: in-{attempt_id}\r\nDeadline-Ms: 5000\r\n"
                "Content-Length: 0\r\n\r\n").encode()
        self.sent[attempt_id] = note
        if TROUBLE:
            more, body = "Transfer-Encoding: identity\r\n", note
        else:
            more = "Transfer-Encoding: chunked\r\n"
            body = f"{len(note):x}\r\n".encode() + note + b"\r\n0\r\n\r\n"
        try:
            self.requester.send(attempt_id, "POST", f"/note/{attempt_id}", more, body)
            self.answered += self.requester.receive(attempt_id, "POST").first_line[1] == "200"
        except (OSError, NoHttp) as error:
            self.system.record.write(f"answer {attempt_id}: none ({error})")
        # A requester that does not know of the second answer cannot use the connection again.
        time.sleep(PAUSE_S)
        self.requester.close()

    def run(self) -> None:
        while not self.stopping:
            self.send_note()


def play(system: System) -> list[str]:
    system.configure([route("r-note", "/note/", SERVICE, "unsafe"),
                      route("r-charge", "/charge/", SERVICE, "unsafe")])
    system.start()
    senders = [NoteSender(system, number) for number in range(NOTE_SENDERS)]
    for sender in senders:
        sender.start()
    time.sleep(PLAY_S)
    for sender in senders:
        sender.stopping = True
    for sender in senders:
        sender.join(7)
    # An ordinary request must still be served.
    requester = Requester(system, "ordinary")
    requester.send("ordinary", "POST", "/note/ordinary", "Content-Length: 2\r\n", b"ok")
    if requester.receive("ordinary", "POST").first_line[1] != "200":
        raise RuntimeError("an ordinary request was not served")
    requester.close()
    sent = {"ordinary": b"ok", **{i: b for sender in senders for i, b in sender.sent.items()}}
    breaches = []
    for run in system.runs(SERVICE):
        if run.attempt_id not in sent:
            breaches.append(f"{run.attempt_id} has run ({run.method} {run.target}), "
                            "and no requester sent it: it was the body of another request")
        elif run.body != sent[run.attempt_id]:
            breaches.append(f"{run.attempt_id} has run with a body of {len(run.body)} bytes; "
                            f"{len(sent[run.attempt_id])} were sent")
    print(f"{len(sent)} requests, {len(system.runs(SERVICE))} runs")
    return breaches


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, {SERVICE: SEARCHERS}, 0.01, play))
