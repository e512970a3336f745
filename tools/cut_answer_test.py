"""Searchers that stop in the middle of an answer and close, beside mimosa-entry."""

from __future__ import annotations

import http.client
import unittest
from collections.abc import Callable

from entry_fixture import SHARDS, EntryFixture, record
from platform_stand_in import Handler, Searcher

#: Status, headers, body and id.
Answer = tuple[int, http.client.HTTPMessage, bytes, str]


class CuttingSearcher(Searcher):
    """Sends the first ``cut_at`` bytes of its answers and closes; all if that is None."""

    cut_at: int | None = None
    #: Whether the answers have a length, or are sent in chunks.
    chunked = False
    #: Whether complete answers close the connection.
    closes = False

    def answer(self, request_id: str) -> bytes:
        content = b"".join(self.records) or b"echo:"
        head = (f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.stamp(request_id)}\r\n"
                f"Attempt-Id: {request_id}\r\nKeep-Alive: timeout=30\r\n")
        if self.closes and self.cut_at is None:
            head += "Connection: close\r\n"
        if not self.chunked:
            return f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content
        return (f"{head}Transfer-Encoding: chunked\r\n\r\n{len(content):x}\r\n".encode()
                + content + b"\r\n0\r\n\r\n")

    def handle(self, request: Handler) -> None:
        request.read_body()
        request_id = request.headers.get("Attempt-Id", "")
        if self.cut_at is not None or self.closes:
            request.close_connection = True
        request.wfile.write(self.answer(request_id)[:self.cut_at])


class CutAnswerTest(EntryFixture):
    """Callers must not get a part of an answer as a whole one, from new and kept connections."""

    def setUp(self) -> None:
        super().setUp()
        # They take the place of all searchers of one shard and of a service.
        for searcher in self.shards[0] + self.accounts:
            self.store.remove(f"servers/{searcher.name}")
        self.part = CuttingSearcher("shard-0", "i-0-cut", [record(0, n) for n in range(4)])
        self.single = CuttingSearcher("accounts", "i-a-cut")
        for searcher in (self.part, self.single):
            self.register(searcher)
        self.wait_for(5, lambda: self.send_request("/one/1")[2] == b"echo:"
                      and self.send_request("/all/2f")[1]["Missing-Parts"] == "0"
                      and not self.uses_former_searchers())

    def uses_former_searchers(self) -> bool:
        former = self.shards[0] + self.accounts
        before = [len(searcher.arrivals) for searcher in former]
        self.send_request("/one/1")
        self.send_request("/all/2f")
        return [len(searcher.arrivals) for searcher in former] != before

    def cut_answers(self, searcher: CuttingSearcher, path: str,
                    check: Callable[[Answer], None], step: int) -> None:
        """Cuts answers at every ``step``-th byte; passes what callers get to ``check``."""
        for searcher.chunked in (False, True):
            for searcher.closes in (False, True):
                first = (2 * searcher.chunked + searcher.closes) % step
                for cut_at in range(first, len(searcher.answer(f"t-{self.next_id}")), step):
                    # A complete answer before it resets the failures of the searcher, and leaves
                    # a connection for the next request or none. Each path is requested once, since
                    # requests that lose searchers are quarantined.
                    searcher.cut_at = None
                    self.assertEqual(self.send_request(f"{path}/w{self.next_id}")[0], 200)
                    searcher.cut_at = cut_at
                    with self.subTest(cut_at=cut_at, chunked=searcher.chunked,
                                      new_connection=searcher.closes):
                        check(self.send_request(f"{path}/c{self.next_id}"))

    def check_single(self, answer: Answer) -> None:
        self.assertEqual(answer[0], 502)

    def check_gather(self, answer: Answer) -> None:
        status, headers, body, _ = answer
        self.assertEqual(status, 200)
        self.assertEqual(headers["Missing-Parts"], "1")
        stamps = headers["Part-Stamps"].split(", ")
        self.assertEqual(sorted(int(s.split("-")[1]) for s in stamps), list(range(1, SHARDS)))
        records = sorted((record(s, n) for s in range(1, SHARDS) for n in range(4)), reverse=True)
        self.assertEqual(body, b"".join(records[:len(body) // len(records[0])]))
        self.assertTrue(body)

    def test_cut_answers_of_single_requests_fail(self) -> None:
        self.cut_answers(self.single, "/one", self.check_single, 1)

    def test_cut_parts_of_gathers_are_left_out(self) -> None:
        # Python's HTTP server takes 40 ms for each part.
        self.cut_answers(self.part, "/all", self.check_gather, 4)


if __name__ == "__main__":
    unittest.main()
