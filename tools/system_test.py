"""Tests of the programs with real processes on loopback."""

from __future__ import annotations

import http.server
import json
import socket
import struct
import subprocess
import threading
import time
import unittest
import urllib.request
from typing import Any

from small_system import SERVICE, SmallSystem, exchange

#: Target of docs/design.md for a change to be in force everywhere, and for an
#: availability zone to be out.
IN_FORCE_S = 5.0
ZONE_OUT_S = 3.0
#: A change during an outage is refused at once: without waiting for a timeout
#: of the store, which is a second or more.
AT_ONCE_S = 1.0
#: Default limit of HttpServerOptions::RequestTimeout, and slack.
SLOW_SENDER_S = 5.0 + 3.0

EXIT_DONE, EXIT_FAILED, EXIT_USAGE, EXIT_CONFLICT, EXIT_TIMED_OUT = range(5)


class ReplyLoser(http.server.BaseHTTPRequestHandler):
    """Passes requests on to a daemon and loses the replies to POST requests."""

    daemon_address = ""
    lost = 0

    def log_message(self, *_: object) -> None:
        """Prints nothing."""

    def do_GET(self) -> None:  # The name is set by the base class.
        status, body = exchange(self.daemon_address, "GET", self.path)
        content = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["Content-Length"]))
        exchange(self.daemon_address, "POST", self.path, body)
        type(self).lost += 1
        self.close_connection = True


class SystemTest(unittest.TestCase):
    """All tests share one system; each leaves it as it found it."""

    system: SmallSystem

    @classmethod
    def setUpClass(cls) -> None:
        cls.system = SmallSystem()
        cls.system.__enter__()
        cls.addClassCleanup(cls.system.stop)
        cls.system.apply_configuration()
        cls.system.wait_until_usable()

    def tearDown(self) -> None:
        self.system.check_running()

    def document(self) -> dict[str, Any]:
        return dict(json.loads(self.system.must_ctl("show")))

    def apply(self, document: dict[str, Any], *flags: str) -> tuple[int, str]:
        done = self.system.ctl("apply", "-", *flags, stdin=json.dumps(document))
        return done.returncode, done.stdout + done.stderr

    def wait_in_force(self) -> None:
        self.system.must_ctl("wait", "--timeout-ms", str(int(IN_FORCE_S * 1000)))

    def fault(self, **fields: object) -> None:
        status, _ = exchange(self.system.store, "POST", "/fault", fields)
        self.assertEqual(status, 200)


class OperatorTest(SystemTest):
    def test_second_of_two_operators_gets_the_difference(self) -> None:
        # Guards against a lost update: the second operator would undo the
        # change of the first without seeing it.
        first, second = self.document(), self.document()
        old = first["services"][0]["queue_limit"]
        first["services"][0]["queue_limit"] = 321
        second["services"][0]["weight"] = 7
        base = self.system.folder.name + "/base.json"
        with open(base, "w", encoding="utf-8") as out:
            json.dump(self.document(), out)
        self.assertEqual(self.apply(first)[0], EXIT_DONE)
        self.wait_in_force()

        status, output = self.apply(second, "--base", base)
        self.assertEqual(status, EXIT_CONFLICT, output)
        self.assertIn(f"service {SERVICE}: queue_limit {old} -> 321", output)
        self.assertNotIn("weight", output)
        status, output = self.apply(second)
        self.assertEqual(status, EXIT_CONFLICT, output)
        self.assertIn(f"service {SERVICE}: queue_limit 321 -> {old}", output)
        now = self.document()
        self.assertEqual(now["revision"], first["revision"] + 1)
        self.assertEqual(now["services"][0]["queue_limit"], 321)
        self.assertEqual(now["services"][0]["weight"], 1)

    def test_edits_of_several_operators_at_once_are_all_kept(self) -> None:
        # Guards against an edit of one item that overwrites another operator's
        # edit made at the same time.
        names = [f"{SERVICE}-{i}" for i in range(1, 5)]
        for name in names:
            self.addCleanup(self.system.ctl, "undrain", name)
        for command, state in (("drain", "draining"), ("undrain", "in")):
            running = [
                subprocess.Popen(
                    [self.system.program("mimosactl"), "--daemon",
                     self.system.callers[i % 3], command, name],
                    stdout=subprocess.DEVNULL)
                for i, name in enumerate(names)
            ]
            for process in running:
                self.assertEqual(process.wait(30), EXIT_DONE)
            self.wait_in_force()
            servers = self.document()["services"][0]["backend_servers"]
            states = {one["name"]: one["state"] for one in servers}
            self.assertEqual({states[name] for name in names}, {state})

    def test_repeated_change_after_a_lost_reply_is_recognised(self) -> None:
        # Guards against a change that reports a conflict with itself, or that
        # is made twice, when the store's reply was lost.
        before = self.document()["revision"]
        self.fault(lose_replies=1)
        document = self.document()
        document["services"][0]["queue_limit"] += 1
        status, output = self.apply(document)
        self.assertEqual(status, EXIT_DONE, output)
        self.wait_in_force()
        self.assertEqual(self.document()["revision"], before + 1)

    def test_change_is_sent_again_with_its_id(self) -> None:
        # Guards against a retry of mimosactl that is taken for another
        # operator's change, when the daemon's reply was lost.
        ReplyLoser.daemon_address = self.system.callers[0]
        proxy = http.server.ThreadingHTTPServer(("127.0.0.1", 0), ReplyLoser)
        self.addCleanup(proxy.server_close)
        self.addCleanup(proxy.shutdown)
        threading.Thread(target=proxy.serve_forever, daemon=True).start()
        document = self.document()
        document["services"][0]["queue_limit"] += 1
        done = self.system.ctl("apply", "-", stdin=json.dumps(document), daemons=[
            f"127.0.0.1:{proxy.server_port}", self.system.callers[1]])
        self.assertEqual(done.returncode, EXIT_DONE, done.stderr)
        self.assertEqual(ReplyLoser.lost, 1)
        self.wait_in_force()
        self.assertEqual(self.document()["revision"], document["revision"] + 1)

    def test_change_in_an_outage_is_refused_at_once(self) -> None:
        # Guards against an operator who waits for, or believes in, a change
        # that cannot be stored.
        before = self.document()
        changed = json.loads(json.dumps(before))
        changed["services"][0]["queue_limit"] += 1
        self.fault(down=True)
        try:
            start = time.monotonic()
            status, output = self.apply(changed)
            self.assertLess(time.monotonic() - start, AT_ONCE_S)
            self.assertEqual(status, EXIT_FAILED, output)
            self.assertIn("store_unavailable (204)", output)
            answer = self.system.query("library")
            self.assertTrue(answer["complete"], answer)
        finally:
            self.fault(down=False)
        self.assertEqual(self.document(), before)

    def test_next_daemon_is_tried(self) -> None:
        # Guards against an operator who is stopped by one dead host.
        done = self.system.ctl("hosts", daemons=["127.0.0.1:1", self.system.callers[1]])
        self.assertEqual(done.returncode, EXIT_DONE, done.stderr)
        done = self.system.ctl("hosts", daemons=["127.0.0.1:1"])
        self.assertEqual(done.returncode, EXIT_FAILED)
        self.assertIn("127.0.0.1:1", done.stderr)

    def test_zone_out_and_in(self) -> None:
        # Guards against new work for a zone that is out (P4), and against a
        # zone that does not return.
        self.addCleanup(self.system.ctl, "zone-in", "z2")
        self.system.must_ctl("zone-out", "z2")
        end = time.monotonic() + ZONE_OUT_S
        addresses: set[str] = {"z2"}
        while "z2" in addresses and time.monotonic() < end:
            addresses = self.zones_in_addresses()
        self.assertEqual(addresses, {"z1"})
        time.sleep(max(0.0, end - time.monotonic()))
        before = self.searches("z2")
        for _ in range(50):
            answer = self.system.query("library")
            self.assertTrue(answer["complete"], answer)
        self.assertEqual(self.searches("z2"), before)
        self.system.must_ctl("zone-in", "z2")
        self.system.wait_until_usable()
        self.assertEqual(self.zones_in_addresses(), {"z1", "z2"})
        for _ in range(200):
            self.assertTrue(self.system.query("library")["complete"])
        self.assertGreater(self.searches("z2"), before)

    def zones_in_addresses(self) -> set[str]:
        zones: set[str] = set()
        for daemon in self.system.callers:
            path = f"/v1/addresses?service={SERVICE}&zone=z1"
            _, answer = exchange(daemon, "GET", path)
            zones |= {one["zone"] for one in answer["addresses"]}
        return zones

    def searches(self, zone: str) -> int:
        servers = self.document()["services"][0]["backend_servers"]
        return sum(exchange(one["address"], "GET", "/stats")[1]["searches"]
                   for one in servers if one["zone"] == zone)

    def test_wait_names_the_hosts_that_are_behind(self) -> None:
        # Guards against a wait that ends well before the revision is in force.
        done = self.system.ctl("wait", "1000000", "--timeout-ms", "500")
        self.assertEqual(done.returncode, EXIT_TIMED_OUT, done.stderr)
        for daemon in self.system.callers:
            self.assertIn(f"{daemon:24} revision ", done.stdout)
        self.assertIn("3 of 3 live hosts", done.stderr)

    def test_errors_name_what_is_wrong(self) -> None:
        # Guards against errors that an operator cannot act on.
        bad = self.document()
        bad["services"][0]["weight"] = 1000
        misspelt = self.document()
        misspelt["services"][0]["queue_limt"] = 5
        cases: list[tuple[tuple[str, ...], str | None, int, str]] = [
            (("fly",), None, EXIT_USAGE, "'fly'"),
            (("zone-out",), None, EXIT_USAGE, "zone-out"),
            (("zone-out", "z9"), None, EXIT_FAILED, "'z9'"),
            (("drain", "nobody"), None, EXIT_FAILED, "'nobody'"),
            (("wait", "soon"), None, EXIT_USAGE, "'soon'"),
            (("apply", "/no/such/file"), None, EXIT_FAILED, "/no/such/file"),
            (("apply", "-"), "{", EXIT_FAILED, "bad_json"),
            (("apply", "-"), json.dumps(bad), EXIT_FAILED, "services[0].weight"),
            (("apply", "-"), json.dumps(misspelt), EXIT_FAILED, "queue_limt"),
            (("show", "--daemon", ","), None, EXIT_USAGE, "--daemon"),
            (("show", "--daemon", "nowhere"), None, EXIT_FAILED, "'nowhere'"),
            (("show", "--timeout-ms", "0"), None, EXIT_USAGE, "--timeout-ms"),
        ]
        for words, stdin, status, text in cases:
            with self.subTest(words=words, text=text):
                done = self.system.ctl(*words, stdin=stdin)
                self.assertEqual(done.returncode, status, done.stderr)
                self.assertIn(text, done.stderr)


class SettingsTest(unittest.TestCase):
    def test_bad_settings_are_named(self) -> None:
        # Guards against a daemon that starts with a setting other than the
        # one that its operator meant.
        good = ["--caller-address", "127.0.0.1:1", "--peer-address", "127.0.0.1:2",
                "--zone", "z1", "--store-address", "127.0.0.1:3"]
        cases = [
            (good[2:], "--caller-address"),
            ([*good, "--drain-limit-ms", "soon"], "--drain-limit-ms is 'soon'"),
            ([*good, "--address-lifetime-ms", "1"], "--address-lifetime-ms is '1'"),
            ([*good, "--log-level", "loud"], "'loud'"),
            ([*good, "--no-such-flag"], "--no-such-flag"),
        ]
        daemon = SmallSystem.program("mimosad")
        for flags, text in cases:
            with self.subTest(text=text):
                done = subprocess.run([daemon, *flags], capture_output=True, text=True,
                                      timeout=10, check=False)
                self.assertEqual(done.returncode, EXIT_USAGE, done.stderr)
                self.assertIn(text, done.stderr)


class BadInputTest(SystemTest):
    """Each bad input gets its own code and the daemon goes on."""

    def tearDown(self) -> None:
        super().tearDown()
        # Guards against an input after which the daemon serves no one.
        answer = self.system.query("library")
        self.assertTrue(answer["complete"], answer)

    def connect(self, address: str | None = None) -> socket.socket:
        host, port = (address or self.system.callers[0]).rsplit(":", 1)
        made = socket.create_connection((host, int(port)), timeout=SLOW_SENDER_S)
        self.addCleanup(made.close)
        return made

    def read_all(self, connection: socket.socket) -> bytes:
        received = b""
        while True:
            try:
                more = connection.recv(65536)
            except ConnectionResetError:
                return received
            if not more:
                return received
            received += more

    def test_bad_queries_get_their_codes(self) -> None:
        # Guards against bad input that is run, or whose cause is not told.
        good: dict[str, Any] = {
            "service": SERVICE, "caller": "test", "class": "interactive",
            "deadline_ms": 1000, "idempotent": True, "query": {"text": "library"}}
        without_query = {k: v for k, v in good.items() if k != "query"}
        cases: list[tuple[Any, str]] = [
            (b"{", "bad_json"),
            (b"\xff\xfe\x00", "bad_json"),
            (b"", "bad_json"),
            (b"[" * 100000, "bad_json"),
            ({**good, "service": "nobody"}, "unknown_service"),
            ({**good, "deadline_ms": 0}, "bad_deadline"),
            ({**good, "deadline_ms": -1}, "bad_deadline"),
            ({**good, "deadline_ms": 10**15}, "bad_deadline"),
            (without_query, "missing_field"),
            ({**good, "class": "urgent"}, "bad_class"),
            ({**good, "idempotent": False}, "missing_request_key"),
            ({**good, "service": 7}, "bad_field"),
        ]
        for body, code in cases:
            with self.subTest(code=code, body=str(body)[:60]):
                _, answer = exchange(self.system.callers[0], "POST", "/v1/query", body)
                self.assertEqual(answer["result"]["name"], code, answer)
                if "execution" in answer:
                    self.assertEqual(answer["execution"], "not_run")

    def test_oversized_body_gets_its_code(self) -> None:
        # Guards against a caller who sees a broken connection, and so sends the
        # body again, in place of the refusal.
        for attempt in range(10):
            try:
                _, answer = exchange(self.system.callers[0], "POST", "/v1/query",
                                     b" " * (2 << 20))
            except (ConnectionResetError, BrokenPipeError) as error:
                self.fail(f"attempt {attempt}: no answer: {error!r}")
            self.assertEqual(answer["result"]["name"], "body_too_large", answer)

    def test_unknown_path(self) -> None:
        # Guards against a misspelt path that looks like an empty answer.
        _, answer = exchange(self.system.callers[0], "GET", "/v1/quarry")
        self.assertEqual(answer["result"]["name"], "not_found")

    def test_slow_sender(self) -> None:
        # Guards against callers that hold connections with unfinished requests.
        connection = self.connect()
        connection.sendall(b"POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{")
        start = time.monotonic()
        received = self.read_all(connection)
        self.assertLess(time.monotonic() - start, SLOW_SENDER_S)
        self.assertIn(b'"slow_sender"', received)

    def test_half_closed_connection_gets_an_answer(self) -> None:
        # Guards against a daemon that waits for ever for, or fails on, a caller
        # that has closed its sending side.
        body = json.dumps({"service": SERVICE, "caller": "t", "class": "interactive",
                           "deadline_ms": 1000, "idempotent": True,
                           "query": {"text": "library"}}).encode()
        head = b"POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
        # A caller that closes its sending side may count as one that gave up.
        cases = [(head + body, ("ok", "cancelled")),
                 (head + body[:10], ("slow_sender",)),
                 (head[:20], ("slow_sender",))]
        for sent, codes in cases:
            with self.subTest(codes=codes, length=len(sent)):
                connection = self.connect()
                connection.sendall(sent)
                connection.shutdown(socket.SHUT_WR)
                received = self.read_all(connection)
                answer = json.loads(received.partition(b"\r\n\r\n")[2])
                self.assertIn(answer["result"]["name"], codes)

    def test_garbage_instead_of_http(self) -> None:
        # Guards against a daemon that fails on input that is not HTTP.
        connection = self.connect()
        connection.sendall(b"\x16\x03\x01\x02\x00\x01garbage\r\n\r\n")
        self.assertIn(b'"result"', self.read_all(connection))

    def test_garbage_on_the_peer_port(self) -> None:
        # Guards against a daemon that fails on, or reserves memory for, frames
        # that no daemon sends.
        frames = [
            b"GET / HTTP/1.1\r\n\r\n",
            struct.pack(">I", 0xFFFFFFFF) + b"x" * 100,
            struct.pack(">I", 4) + b"\xc1\xc1\xc1\xc1",
            struct.pack(">I", 0),
            struct.pack(">I", 1000) + b"short",
        ]
        before = self.bad_frames()
        for frame in frames:
            with self.subTest(frame=frame[:12]):
                connection = self.connect(self.system.peers[0])
                connection.sendall(frame)
                connection.shutdown(socket.SHUT_WR)
                self.read_all(connection)
                self.system.check_running()
        # The last frame ends early and may count as a lost connection.
        self.assertGreaterEqual(self.bad_frames(), before + len(frames) - 1)

    def bad_frames(self) -> int:
        url = f"http://{self.system.callers[0]}/metrics"
        with urllib.request.urlopen(url, timeout=10) as answer:
            for line in answer.read().decode().splitlines():
                if line.startswith("mimosa_peer_bad_frames_total "):
                    return int(float(line.split()[1]))
        self.fail("mimosa_peer_bad_frames_total is missing")


del SystemTest  # A base class without tests of its own.

if __name__ == "__main__":
    unittest.main()
