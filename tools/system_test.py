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

from small_system import SERVICE, SmallSystem, request_json

#: Targets of docs/design.md: time until a configuration change is active on all
#: hosts, and until an availability zone is evacuated.
CONFIG_ACTIVE_LIMIT_S = 5.0
ZONE_OUT_LIMIT_S = 3.0
#: A change during an outage of the store fails without waiting for a store
#: timeout, which is at least one second.
IMMEDIATE_ERROR_LIMIT_S = 1.0
#: Default of HttpServerOptions::RequestTimeout plus slack.
SLOW_SENDER_LIMIT_S = 5.0 + 3.0

EXIT_OK, EXIT_FAILED, EXIT_USAGE, EXIT_CONFLICT, EXIT_TIMED_OUT = range(5)


class ReplyDroppingProxy(http.server.BaseHTTPRequestHandler):
    """A proxy of a daemon that drops the replies to POST requests."""

    daemon_address = ""
    dropped_replies = 0

    def log_message(self, *_: object) -> None:
        """Prints nothing."""

    def do_GET(self) -> None:  # The base class prescribes this name.
        status, body = request_json(self.daemon_address, "GET", self.path)
        content = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["Content-Length"]))
        request_json(self.daemon_address, "POST", self.path, body)
        type(self).dropped_replies += 1
        self.close_connection = True


class SystemTest(unittest.TestCase):
    """Base of test classes that share one system, whose state each test restores."""

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

    def stored_configuration(self) -> dict[str, Any]:
        return dict(json.loads(self.system.ctl_output("show")))

    def apply(self, document: dict[str, Any], *flags: str) -> tuple[int, str]:
        result = self.system.run_ctl("apply", "-", *flags, stdin=json.dumps(document))
        return result.returncode, result.stdout + result.stderr

    def wait_until_active(self) -> None:
        self.system.ctl_output("wait", "--timeout-ms", str(int(CONFIG_ACTIVE_LIMIT_S * 1000)))

    def inject_fault(self, **fields: object) -> None:
        status, _ = request_json(self.system.store_address, "POST", "/fault", fields)
        self.assertEqual(status, 200)


class OperatorTest(SystemTest):
    def test_conflicting_change_reports_the_difference(self) -> None:
        # Guards against a lost update: the second operator's document would
        # silently revert the change of the first.
        first, second = self.stored_configuration(), self.stored_configuration()
        old = first["services"][0]["queue_limit"]
        first["services"][0]["queue_limit"] = 321
        second["services"][0]["weight"] = 7
        base = self.system.temp_dir.name + "/base.json"
        with open(base, "w", encoding="utf-8") as out:
            json.dump(self.stored_configuration(), out)
        self.assertEqual(self.apply(first)[0], EXIT_OK)
        self.wait_until_active()

        status, output = self.apply(second, "--base", base)
        self.assertEqual(status, EXIT_CONFLICT, output)
        self.assertIn(f"service {SERVICE}: queue_limit {old} -> 321", output)
        self.assertNotIn("weight", output)
        status, output = self.apply(second)
        self.assertEqual(status, EXIT_CONFLICT, output)
        self.assertIn(f"service {SERVICE}: queue_limit 321 -> {old}", output)
        now = self.stored_configuration()
        self.assertEqual(now["revision"], first["revision"] + 1)
        self.assertEqual(now["services"][0]["queue_limit"], 321)
        self.assertEqual(now["services"][0]["weight"], 1)

    def test_concurrent_edits_are_all_kept(self) -> None:
        # Guards against an edit of one backend server that overwrites a
        # concurrent edit of another.
        names = [f"{SERVICE}-{i}" for i in range(1, 5)]
        for name in names:
            self.addCleanup(self.system.run_ctl, "undrain", name)
        for command, state in (("drain", "draining"), ("undrain", "in")):
            running = [
                subprocess.Popen(
                    [self.system.program("mimosactl"), "--daemon",
                     self.system.caller_addresses[i % 3], command, name],
                    stdout=subprocess.DEVNULL)
                for i, name in enumerate(names)
            ]
            for process in running:
                self.assertEqual(process.wait(30), EXIT_OK)
            self.wait_until_active()
            servers = self.stored_configuration()["services"][0]["backend_servers"]
            states = {server["name"]: server["state"] for server in servers}
            self.assertEqual({states[name] for name in names}, {state})

    def test_change_succeeds_after_a_lost_store_reply(self) -> None:
        # Guards against a change that is applied twice, or is reported as
        # conflicting with itself, because the store's reply was lost.
        before = self.stored_configuration()["revision"]
        self.inject_fault(lose_replies=1)
        document = self.stored_configuration()
        document["services"][0]["queue_limit"] += 1
        status, output = self.apply(document)
        self.assertEqual(status, EXIT_OK, output)
        self.wait_until_active()
        self.assertEqual(self.stored_configuration()["revision"], before + 1)

    def test_retried_change_keeps_its_id(self) -> None:
        # Guards against a retry of mimosactl after a lost daemon reply that is
        # treated as a conflicting change of another operator.
        ReplyDroppingProxy.daemon_address = self.system.caller_addresses[0]
        proxy = http.server.ThreadingHTTPServer(("127.0.0.1", 0), ReplyDroppingProxy)
        self.addCleanup(proxy.server_close)
        self.addCleanup(proxy.shutdown)
        threading.Thread(target=proxy.serve_forever, daemon=True).start()
        document = self.stored_configuration()
        document["services"][0]["queue_limit"] += 1
        result = self.system.run_ctl("apply", "-", stdin=json.dumps(document), daemons=[
            f"127.0.0.1:{proxy.server_port}", self.system.caller_addresses[1]])
        self.assertEqual(result.returncode, EXIT_OK, result.stderr)
        self.assertEqual(ReplyDroppingProxy.dropped_replies, 1)
        self.wait_until_active()
        self.assertEqual(self.stored_configuration()["revision"], document["revision"] + 1)

    def test_change_fails_at_once_during_a_store_outage(self) -> None:
        # Guards against a change that blocks or is reported as successful while
        # it cannot be stored.
        before = self.stored_configuration()
        changed = json.loads(json.dumps(before))
        changed["services"][0]["queue_limit"] += 1
        self.inject_fault(down=True)
        try:
            start = time.monotonic()
            status, output = self.apply(changed)
            self.assertLess(time.monotonic() - start, IMMEDIATE_ERROR_LIMIT_S)
            self.assertEqual(status, EXIT_FAILED, output)
            self.assertIn("store_unavailable (204)", output)
            answer = self.system.query("library")
            self.assertTrue(answer["complete"], answer)
        finally:
            self.inject_fault(down=False)
        self.assertEqual(self.stored_configuration(), before)

    def test_unreachable_daemon_is_skipped(self) -> None:
        # Guards against a mimosactl command that fails because one host is down.
        result = self.system.run_ctl(
            "hosts", daemons=["127.0.0.1:1", self.system.caller_addresses[1]])
        self.assertEqual(result.returncode, EXIT_OK, result.stderr)
        result = self.system.run_ctl("hosts", daemons=["127.0.0.1:1"])
        self.assertEqual(result.returncode, EXIT_FAILED)
        self.assertIn("127.0.0.1:1", result.stderr)

    def test_evacuated_zone_receives_no_requests_until_it_returns(self) -> None:
        # Guards against requests sent to an evacuated zone (P4), and against a
        # zone that stays unused after its return.
        self.addCleanup(self.system.run_ctl, "zone-in", "z2")
        self.system.ctl_output("zone-out", "z2")
        end = time.monotonic() + ZONE_OUT_LIMIT_S
        addresses: set[str] = {"z2"}
        while "z2" in addresses and time.monotonic() < end:
            addresses = self.listed_zones()
        self.assertEqual(addresses, {"z1"})
        time.sleep(max(0.0, end - time.monotonic()))
        before = self.search_count("z2")
        for _ in range(50):
            answer = self.system.query("library")
            self.assertTrue(answer["complete"], answer)
        self.assertEqual(self.search_count("z2"), before)
        self.system.ctl_output("zone-in", "z2")
        self.system.wait_until_usable()
        self.assertEqual(self.listed_zones(), {"z1", "z2"})
        for _ in range(200):
            self.assertTrue(self.system.query("library")["complete"])
        self.assertGreater(self.search_count("z2"), before)

    def listed_zones(self) -> set[str]:
        zones: set[str] = set()
        for daemon in self.system.caller_addresses:
            path = f"/v1/addresses?service={SERVICE}&zone=z1"
            _, answer = request_json(daemon, "GET", path)
            zones |= {server["zone"] for server in answer["addresses"]}
        return zones

    def search_count(self, zone: str) -> int:
        servers = self.stored_configuration()["services"][0]["backend_servers"]
        return sum(request_json(server["address"], "GET", "/stats")[1]["searches"]
                   for server in servers if server["zone"] == zone)

    def test_wait_lists_the_hosts_that_lag(self) -> None:
        # Guards against a wait that succeeds before the revision is active.
        result = self.system.run_ctl("wait", "1000000", "--timeout-ms", "500")
        self.assertEqual(result.returncode, EXIT_TIMED_OUT, result.stderr)
        for daemon in self.system.caller_addresses:
            self.assertIn(f"{daemon:24} revision ", result.stdout)
        self.assertIn("3 of 3 live hosts", result.stderr)

    def test_errors_name_the_cause(self) -> None:
        # Guards against error messages that do not identify the faulty input.
        bad = self.stored_configuration()
        bad["services"][0]["weight"] = 1000
        misspelled = self.stored_configuration()
        misspelled["services"][0]["queue_limt"] = 5
        cases: list[tuple[tuple[str, ...], str | None, int, str]] = [
            (("fly",), None, EXIT_USAGE, "'fly'"),
            (("zone-out",), None, EXIT_USAGE, "zone-out"),
            (("zone-out", "z9"), None, EXIT_FAILED, "'z9'"),
            (("drain", "nobody"), None, EXIT_FAILED, "'nobody'"),
            (("wait", "soon"), None, EXIT_USAGE, "'soon'"),
            (("apply", "/no/such/file"), None, EXIT_FAILED, "/no/such/file"),
            (("apply", "-"), "{", EXIT_FAILED, "bad_json"),
            (("apply", "-"), json.dumps(bad), EXIT_FAILED, "services[0].weight"),
            (("apply", "-"), json.dumps(misspelled), EXIT_FAILED, "queue_limt"),
            (("show", "--daemon", ","), None, EXIT_USAGE, "--daemon"),
            (("show", "--daemon", "nowhere"), None, EXIT_FAILED, "'nowhere'"),
            (("show", "--timeout-ms", "0"), None, EXIT_USAGE, "--timeout-ms"),
        ]
        for arguments, stdin, status, text in cases:
            with self.subTest(arguments=arguments, text=text):
                result = self.system.run_ctl(*arguments, stdin=stdin)
                self.assertEqual(result.returncode, status, result.stderr)
                self.assertIn(text, result.stderr)


class SettingsTest(unittest.TestCase):
    def test_errors_name_the_bad_setting(self) -> None:
        # Guards against a daemon that ignores an invalid setting and starts
        # with another value.
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
                result = subprocess.run([daemon, *flags], capture_output=True, text=True,
                                      timeout=10, check=False)
                self.assertEqual(result.returncode, EXIT_USAGE, result.stderr)
                self.assertIn(text, result.stderr)


class BadInputTest(SystemTest):
    """Bad input gets an error code of its own and the daemon continues to serve."""

    def tearDown(self) -> None:
        super().tearDown()
        # Guards against input after which the daemon no longer serves queries.
        answer = self.system.query("library")
        self.assertTrue(answer["complete"], answer)

    def connect(self, address: str | None = None) -> socket.socket:
        host, port = (address or self.system.caller_addresses[0]).rsplit(":", 1)
        connection = socket.create_connection((host, int(port)), timeout=SLOW_SENDER_LIMIT_S)
        self.addCleanup(connection.close)
        return connection

    def read_all(self, connection: socket.socket) -> bytes:
        received = b""
        while True:
            try:
                data = connection.recv(65536)
            except ConnectionResetError:
                return received
            if not data:
                return received
            received += data

    def test_bad_queries_get_their_codes(self) -> None:
        # Guards against invalid queries that are run, or rejected without a cause.
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
                _, answer = request_json(self.system.caller_addresses[0], "POST", "/v1/query", body)
                self.assertEqual(answer["result"]["name"], code, answer)
                if "execution" in answer:
                    self.assertEqual(answer["execution"], "not_run")

    def test_oversized_body_gets_its_code(self) -> None:
        # Guards against a caller that retries because its connection breaks
        # before it can read the error.
        for attempt in range(10):
            try:
                _, answer = request_json(self.system.caller_addresses[0], "POST", "/v1/query",
                                     b" " * (2 << 20))
            except (ConnectionResetError, BrokenPipeError) as error:
                self.fail(f"attempt {attempt}: no response: {error!r}")
            self.assertEqual(answer["result"]["name"], "body_too_large", answer)

    def test_unknown_path(self) -> None:
        # Guards against an unknown path that is answered like an empty result.
        _, answer = request_json(self.system.caller_addresses[0], "GET", "/v1/quarry")
        self.assertEqual(answer["result"]["name"], "not_found")

    def test_slow_sender(self) -> None:
        # Guards against connections that incomplete requests occupy for ever.
        connection = self.connect()
        connection.sendall(b"POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{")
        start = time.monotonic()
        received = self.read_all(connection)
        self.assertLess(time.monotonic() - start, SLOW_SENDER_LIMIT_S)
        self.assertIn(b'"slow_sender"', received)

    def test_half_closed_connection_gets_a_response(self) -> None:
        # Guards against a daemon that hangs or fails when a caller has closed
        # its sending side.
        body = json.dumps({"service": SERVICE, "caller": "t", "class": "interactive",
                           "deadline_ms": 1000, "idempotent": True,
                           "query": {"text": "library"}}).encode()
        head = b"POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
        # Closing the sending side may count as a disconnect.
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
        # Guards against malformed frames that end the daemon or make it allocate
        # the memory that they announce.
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
                connection = self.connect(self.system.peer_addresses[0])
                connection.sendall(frame)
                connection.shutdown(socket.SHUT_WR)
                self.read_all(connection)
                self.system.check_running()
        # The truncated last frame may count as a closed connection instead.
        self.assertGreaterEqual(self.bad_frames(), before + len(frames) - 1)

    def bad_frames(self) -> int:
        url = f"http://{self.system.caller_addresses[0]}/metrics"
        with urllib.request.urlopen(url, timeout=10) as response:
            for line in response.read().decode().splitlines():
                if line.startswith("mimosa_peer_bad_frames_total "):
                    return int(float(line.split()[1]))
        self.fail("the metric mimosa_peer_bad_frames_total is missing")


del SystemTest  # It has no tests of its own to be discovered.

if __name__ == "__main__":
    unittest.main()
