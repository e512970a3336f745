"""A randomized soak test of mimosa-entry that injects faults into a running system.

Usage: soak.py [--seeds 1-50 | --fresh N] [--jobs N] [--seconds S] [--hosts N]
               [--kinds KIND,...] [--keep DIR]

In the run of a seed, faults and planned work begin and end at random and overlap
while callers send requests. Then all faults end, and the hosts must recover. The
history of the run is checked against the guarantees in soak_checks, and the checks
must find each violation that is injected into a copy of the history. The logs of a
run with a violation are kept, and the exit status is then 1. See docs/soak.md.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import heapq
import http.client
import itertools
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from typing import Optional

import soak_checks as checks
from fault_proxy import Mode
from searcher_process import SERVICE_TIME_S
from soak_system import (DRAINING_TIME_S, ENTRY_EXPIRY_S, GATHER_TIMEOUT_MS, SINGLE_TIMEOUT_MS,
                         VERSION_COUNT, ZONES, Host, SearcherProcess, System)

DEFAULT_SECONDS = 10.0
DEFAULT_HOSTS = 4
#: Hosts whose directory a caller queries before it keeps its old addresses.
DIRECTORY_ATTEMPTS = 3
CALLER_COUNT = 6
#: Where the logs of runs with a violation are kept.
VIOLATION_LOGS = pathlib.Path(tempfile.gettempdir()) / "mimosawall-soak"
#: Mean pause of a caller between two requests.
MEAN_PAUSE_S = 0.08
#: Share of requests that callers abandon before the timeout.
ABANDONED_SHARE = 0.04
#: Callers cache addresses of the directory for this long, as on the platform.
ADDRESS_LIFETIME_S = 2.0
CONNECT_TIMEOUT_S = 1.0
#: Callers wait a little longer than hosts may take, so that late responses are
#: detected.
CALLER_SLACK_S = checks.RESPONSE_SLACK_S + 0.3
#: Time without faults at the end of a run; recovery is checked after CALM_S of it.
FINAL_CALM_S = checks.CALM_S + 2.0
#: Time before the first fault, in which hosts discover each other.
WARM_UP_S = 1.0


class Caller(threading.Thread):
    """Resolves addresses and sends requests over persistent connections."""

    def __init__(self, system: System, number: int, rng: random.Random) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.number = number
        self.rng = rng
        self.sent_count = 0
        self.addresses: list[str] = []
        self.resolved_at = 0.0
        self.connections: dict[str, tuple[http.client.HTTPConnection, str]] = {}
        self.requests: list[checks.Request] = []

    def run(self) -> None:
        while not self.system.stopping:
            time.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
            if time.monotonic() > self.resolved_at + ADDRESS_LIFETIME_S:
                self.resolve()
            if self.addresses:
                self.send_request(self.rng.choice(self.addresses))
        for connection, _ in self.connections.values():
            connection.close()

    def resolve(self) -> None:
        for host in self.rng.sample(self.system.hosts, DIRECTORY_ATTEMPTS):
            connection = http.client.HTTPConnection(
                f"127.0.0.1:{host.ports[2]}", timeout=CONNECT_TIMEOUT_S)
            try:
                connection.request("GET", f"/resolve?name=h.example&region=r&zone={host.zone}")
                response = connection.getresponse()
                self.addresses = json.loads(response.read())["addrs"]
                self.resolved_at = time.monotonic()
                return
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                continue  # Try the next host.
            finally:
                connection.close()

    def make_request(self, host: Host) -> checks.Request:
        self.sent_count += 1
        request_id = f"c{self.number}x{self.sent_count}"
        is_gather = self.rng.random() < 0.6
        path = f"/{'all' if is_gather else 'one'}/{request_id}"
        body = b"" if is_gather else request_id.encode() * self.rng.randint(1, 40)
        timeout_ms = GATHER_TIMEOUT_MS if is_gather else SINGLE_TIMEOUT_MS
        return checks.Request(request_id, host.process_name, path,
                              f"{'GET' if is_gather else 'POST'} {path}", body,
                              time.monotonic(), timeout_ms / 1000)

    def connect(self, host: Host) -> http.client.HTTPConnection:
        """Returns a persistent connection to the running process of ``host``."""
        existing = self.connections.get(host.name)
        if existing is not None and existing[1] == host.process_name:
            return existing[0]
        connection = http.client.HTTPConnection(host.caller_proxy.address,
                                                timeout=CONNECT_TIMEOUT_S)
        connection.connect()
        self.connections[host.name] = (connection, host.process_name)
        return connection

    def send_request(self, address: str) -> None:
        host = next(h for h in self.system.hosts if f"127.0.0.1:{h.ports[0]}" == address)
        request = self.make_request(host)
        wait_s = request.timeout_s + CALLER_SLACK_S
        if self.rng.random() < ABANDONED_SHARE:
            wait_s = self.rng.uniform(0.01, request.timeout_s / 3)
        try:
            connection = self.connect(host)
        except OSError:
            request.ended_at = time.monotonic()
            self.connections.pop(host.name, None)
            self.system.history.requests.append(request)
            return
        request.process = self.connections[host.name][1]
        try:
            assert connection.sock is not None
            connection.sock.settimeout(wait_s)
            request.sent_at = time.monotonic()
            connection.request(
                request.request_line.split()[0], request.path, request.body or None,
                {"Host": "h.example", "Attempt-Id": request.request_id,
                 "Deadline-Ms": str(int(request.timeout_s * 1000))})
            self.record_response(request, connection.getresponse())
            closes = connection.sock is None
        except TimeoutError:
            request.outcome, closes = "gave_up", True
        except (OSError, http.client.HTTPException, AssertionError):
            request.outcome, closes = "cut", True
        request.ended_at = time.monotonic()
        if closes:
            connection.close()
            self.connections.pop(host.name, None)
        self.system.history.requests.append(request)

    @staticmethod
    def record_response(request: checks.Request, response: http.client.HTTPResponse) -> None:
        request.content = response.read()
        request.status = response.status
        text = response.headers.get("Part-Stamps") or response.headers.get("Server-Stamp") or ""
        request.stamps = [stamp for stamp in text.split(", ") if stamp]
        request.missing_results = int(response.headers.get("Missing-Parts") or 0)
        if response.headers.get("Retry-After"):
            request.retry_after = float(response.headers["Retry-After"])
        request.outcome = "answer"


Action = Callable[[], None]
#: Faults of connections from callers to hosts and from hosts to searchers.
LINK_MODES = (Mode.SLOW, Mode.DROP_ALL, Mode.DROP_REQUESTS, Mode.DROP_RESPONSES, Mode.RESET)


class Faults:
    """The kinds of faults and planned work; each begins one and returns how to end it."""

    def __init__(self, system: System, rng: random.Random) -> None:
        self.system = system
        self.rng = rng
        #: Planned work in progress. It runs in threads, since waiting for it would
        #: delay the end of faults, such as the pause of a host that has to stop.
        self.pending: list[threading.Thread] = []
        #: Exceptions raised by planned work.
        self.errors: list[Exception] = []
        self.kinds: dict[str, Callable[[], Action]] = {
            "store_down": lambda: self._store("down"),
            "store_loses_answers": lambda: self._store("lose_answers"),
            "store_slow": self._store_slow,
            "store_forgets": self._store_forgets,
            "store_rejects_host": self._store_rejects_host,
            "store_restored": self._store_restored,
            "searchers_killed": self._searchers_killed,
            "searchers_paused": self._searchers_paused,
            "searchers_unreachable": self._searchers_unreachable,
            "searchers_misbehave": self._searchers_misbehave,
            "searchers_drain": self._searchers_drain,
            "searchers_leave_unsaid": self._searchers_leave_unsaid,
            "searchers_say_they_leave": self._searchers_say_they_leave,
            "searchers_state_limits": self._searchers_state_limits,
            "callers_link": self._callers_link,
            "host_killed": lambda: self._hosts_killed([self._random_host()]),
            "all_hosts_killed": lambda: self._hosts_killed(self.system.hosts),
            "host_paused": self._host_paused,
            "host_stopped": self._host_stopped,
            "rolling_restart": self._rolling_restart,
            "settings_reloaded": self._settings_reloaded,
            "log_unread": self._log_unread,
            "configuration": self._configuration,
            "evacuation": self._evacuation,
        }

    def _random_host(self) -> Host:
        return self.rng.choice(self.system.hosts)

    def _random_searcher_process(self) -> SearcherProcess:
        return self.rng.choice(self.system.searcher_processes)

    def _record_disturbance(self, scopes: list[str], end: Action) -> Action:
        """Records disturbances that begin now and end when the fault is ended."""
        now = time.monotonic()
        spans = [checks.Span(now, float("inf"), scope) for scope in scopes]
        self.system.history.disturbances += spans

        def end_fault() -> None:
            end()
            for span in spans:
                span.end = time.monotonic()
        return end_fault

    def _store(self, field: str) -> Action:
        setattr(self.system.store, field, True)
        return self._record_disturbance(
            [checks.STORE], lambda: setattr(self.system.store, field, False))

    def _store_slow(self) -> Action:
        delays = self.system.store.call_delays_s
        for call in ("kv-range", "kv-watch", "kv-keep", "kv-txn", "kv-lease"):
            delays[call] = self.rng.uniform(0.1, 0.8)
        return self._record_disturbance([checks.STORE], delays.clear)

    def _store_forgets(self) -> Action:
        end_fault = self._record_disturbance([checks.STORE], lambda: None)
        self.system.store.forget_history()
        return end_fault

    def _store_restored(self) -> Action:
        """Restores the store from a copy taken now; the others write again a little later."""
        copy_age_s, rewrite_s = self.rng.uniform(0.3, 2.0), self.rng.uniform(0, LATEST_REWRITE_S)
        older = self.system.store.copy()
        end_fault = self._record_disturbance([checks.STORE, checks.ALL_SEARCHERS], lambda: None)

        def restore() -> None:
            time.sleep(copy_age_s)
            self.system.store.restore(older)
            time.sleep(rewrite_s)
            self.system.store.write_again(older)
            end_fault()
        return self._in_background(restore)

    def _store_rejects_host(self) -> Action:
        host = self._random_host()
        host.store_proxy.inject(self.rng.choice(
            [Mode.DROP_ALL, Mode.RESET, Mode.REFUSE, Mode.DROP_RESPONSES, Mode.DROP_REQUESTS]))
        # Hosts of its zone may follow the store through it.
        names = [other.name for other in self.system.hosts if other.zone == host.zone]
        return self._record_disturbance(names, host.store_proxy.heal)

    def _searchers_killed(self) -> Action:
        process = self._random_searcher_process()
        if process.state != "ready":
            return lambda: None
        end_fault = self._record_disturbance([checks.ALL_SEARCHERS], process.start)
        process.state = "gone"
        process.kill()
        gone = list(process.names.values())

        def expire_entries() -> None:
            for name in gone:
                self.system.store.remove(f"servers/{name}")
        timer = threading.Timer(ENTRY_EXPIRY_S, expire_entries)
        timer.daemon = True
        timer.start()
        return end_fault

    def _searchers_paused(self) -> Action:
        process = self._random_searcher_process().process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        return self._record_disturbance([checks.ALL_SEARCHERS],
                                        lambda: process.send_signal(signal.SIGCONT))

    def _searchers_unreachable(self) -> Action:
        process = self._random_searcher_process()
        process.inject(self.rng.choice(LINK_MODES))
        return self._record_disturbance([checks.ALL_SEARCHERS], process.heal)

    def _searchers_misbehave(self) -> Action:
        process = self._random_searcher_process()
        if process.state != "ready":
            return lambda: None
        field, value, usual = self.rng.choice([
            ("delay_s", self.rng.uniform(0.1, 1.0), SERVICE_TIME_S), ("sheds", True, False),
            ("loses_answers", True, False), ("answers_twice", True, False)])
        process.set(field, value)
        starts = process.starts

        def heal() -> None:
            if process.starts == starts and process.state == "ready":
                process.set(field, usual)
        return self._record_disturbance([checks.ALL_SEARCHERS], heal)

    def _leave(self, process: SearcherProcess, leave: Action) -> None:
        leave()

        def end() -> None:
            if process.state == "draining":
                process.remove_entries()
            process.state = "gone"
            process.kill()
            process.start()
        timer = threading.Timer(DRAINING_TIME_S, end)
        timer.daemon = True
        timer.start()
        self.pending.append(timer)

    def _searchers_drain(self) -> Action:
        process = self._random_searcher_process()
        if process.state == "ready":
            self._leave(process, process.drain)
        return lambda: None

    def _searchers_leave_unsaid(self) -> Action:
        process = self._random_searcher_process()
        if process.state == "ready":
            process.state = "gone"
            self._leave(process, process.remove_entries)
        return lambda: None

    def _searchers_say_they_leave(self) -> Action:
        """Only the answers say so; the entries stay until the searchers have ended."""
        process = self._random_searcher_process()
        if process.state != "ready" or process.speaks:
            return lambda: None
        process.speaks = True
        process.state_in_answers({"Server-Leaving": "1"}, leaving=True)
        starts = process.starts

        def end() -> None:
            if process.starts == starts and process.state == "ready":
                process.state = "gone"
                process.remove_entries()
                process.kill()
                process.start()
        timer = threading.Timer(2 * DRAINING_TIME_S, end)
        timer.daemon = True
        timer.start()
        self.pending.append(timer)
        return lambda: None

    def _searchers_state_limits(self) -> Action:
        process = self._random_searcher_process()
        if process.state != "ready" or process.speaks:
            return lambda: None
        process.speaks = True
        limit = self.rng.choice(STATED_LIMITS)
        statements = process.state_in_answers({"Server-Limit": str(limit)}, limit=limit)
        starts = process.starts

        def lift() -> None:
            for statement in statements:
                statement.end = time.monotonic()
            if process.starts == starts and process.state != "gone":
                process.speaks = False
                process.set("headers", {})
        return lift

    def _callers_link(self) -> Action:
        host = self._random_host()
        host.caller_proxy.inject(self.rng.choice(LINK_MODES))
        return self._record_disturbance([host.name], host.caller_proxy.heal)

    def _hosts_killed(self, hosts: list[Host]) -> Action:
        killed = [host for host in hosts if host.is_running and host.terminated_at is None]
        def start_all() -> None:
            for host in killed:
                host.start()
        end_fault = self._record_disturbance([host.name for host in killed], start_all)
        for host in killed:
            host.kill()
        return end_fault

    def _host_paused(self) -> Action:
        host = self._random_host()
        host.signal(signal.SIGSTOP)
        return self._record_disturbance([host.name], lambda: host.signal(signal.SIGCONT))

    def _restart(self, host: Host) -> None:
        """Stops a host by SIGTERM, sometimes with a second signal, and starts it again."""
        if not host.is_running or host.terminated_at is not None:
            return
        span = checks.Span(time.monotonic(), float("inf"), host.name, planned=True)
        self.system.history.disturbances.append(span)
        host.terminate()
        if self.rng.random() < 0.3:
            host.signal(self.rng.choice([signal.SIGHUP, signal.SIGTERM]))
        host.wait_for_end()
        host.start()
        span.end = time.monotonic()

    def _in_background(self, work: Action) -> Action:
        def run() -> None:
            try:
                work()
            except Exception as error:  # Raised when the run ends.
                self.errors.append(error)
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.pending.append(thread)
        return lambda: None

    def _host_stopped(self) -> Action:
        host = self._random_host()
        return self._in_background(lambda: self._restart(host))

    def _rolling_restart(self) -> Action:
        def restart_two() -> None:
            for host in self.system.hosts[:2]:
                self._restart(host)
        return self._in_background(restart_two)

    def _settings_reloaded(self) -> Action:
        host = self._random_host()
        host.write_settings(self.rng.randint(20, 80))
        if self.rng.random() < 0.7:
            host.signal(signal.SIGHUP)
        return lambda: None

    def _log_unread(self) -> Action:
        host = self._random_host()
        host.reads_log = False
        return lambda: setattr(host, "reads_log", True)

    def _configuration(self) -> Action:
        if self.system.version < VERSION_COUNT - 1:
            self.system.configure(reshard=self.rng.random() < 0.5)
        return lambda: None

    def _evacuation(self) -> Action:
        zone = self.rng.choice(ZONES)
        key = f"op/evacuate/{zone}"
        if self.system.store.keys(key):
            return lambda: None
        self.system.store.put(key, {})
        span = checks.Span(time.monotonic(), float("inf"), zone)
        self.system.history.evacuations.append(span)

        def end_evacuation() -> None:
            span.end = time.monotonic()
            self.system.store.remove(key)
        return end_evacuation


#: Ranges of the durations of faults that do not last DEFAULT_DURATION_S.
DURATIONS_S = {"evacuation": (6.0, 8.0), "all_hosts_killed": (0.5, 1.5),
               "host_paused": (0.1, 1.5), "searchers_paused": (0.1, 1.5),
               "searchers_state_limits": (6.0, 9.0)}
#: Share of runs with random kinds in which the store may be restored.
RESTORE_SHARE = 0.25
#: Operators and searchers write again within this time of a restore of the store.
LATEST_REWRITE_S = 2.5
#: Requests a second that searchers state as their limit; each gets about 8.
STATED_LIMITS = (1.5, 3)
DEFAULT_DURATION_S = (0.1, 2.5)


@dataclasses.dataclass
class Outcome:
    seed: int
    kinds: list[str]
    faults: int
    requests: int
    whole: int
    violations: dict[str, list[str]]
    missed: list[str]
    without: list[str]

    def line(self) -> str:
        bad = "".join(f"\n  {name}: {len(texts)}, first: {texts[0]}"
                      for name, texts in self.violations.items())
        missed = "".join(f"\n  not found: {name}" for name in self.missed)
        return (f"seed {self.seed}: {self.requests} requests, {self.whole} whole, "
                f"{self.faults} faults of {', '.join(self.kinds)}; "
                f"{'VIOLATIONS' if bad or missed else 'kept'}{bad}{missed}")


def run_faults(faults: Faults, rng: random.Random, kinds: list[str], end: float,
            log: Callable[[str], None]) -> int:
    """Begins and ends faults at random until ``end``, then ends all faults."""
    gap_s = rng.choice([0.25, 0.6, 1.5])
    counter = itertools.count()
    active: list[tuple[float, int, str, Action]] = []
    count = 0
    next_begin = time.monotonic()
    while time.monotonic() < end or active:
        now = time.monotonic()
        while active and (active[0][0] <= now or now >= end):
            _, _, kind, end_fault = heapq.heappop(active)
            end_fault()
            log(f"end {kind}")
        if next_begin <= now < end:
            kind = rng.choice(kinds)
            low, high = DURATIONS_S.get(kind, DEFAULT_DURATION_S)
            log(f"begin {kind}")
            active_until = now + rng.uniform(low, high)
            heapq.heappush(active, (active_until, next(counter), kind, faults.kinds[kind]()))
            count += 1
            next_begin = now + rng.expovariate(1 / gap_s)
        time.sleep(0.01)
    return count


@dataclasses.dataclass
class Settings:
    seconds: float = DEFAULT_SECONDS
    hosts: int = DEFAULT_HOSTS
    #: Kinds of faults; drawn at random if empty.
    kinds: list[str] = dataclasses.field(default_factory=list)


def run_seed(seed: int, settings: Settings, folder: pathlib.Path) -> Outcome:
    rng = random.Random(seed)
    system = System(folder, settings.hosts)
    with (folder / "faults.log").open("w", encoding="utf-8") as out:
        def log(text: str) -> None:
            out.write(f"{time.monotonic():.3f} {text}\n")
            out.flush()
        try:
            system.start()
            faults = Faults(system, rng)
            callers = [Caller(system, i, random.Random(seed * 1000 + i))
                       for i in range(CALLER_COUNT)]
            for caller in callers:
                caller.start()
            time.sleep(WARM_UP_S)
            # Restores are drawn apart, so that older seeds keep their kinds and times.
            others = sorted(set(faults.kinds) - {"store_restored"})
            drawn_kinds = rng.sample(others, rng.randint(2, 6))
            if random.Random(f"restore {seed}").random() < RESTORE_SHARE:
                drawn_kinds.append("store_restored")
            kinds = settings.kinds or drawn_kinds
            count = run_faults(faults, rng, kinds, time.monotonic() + settings.seconds, log)
            for thread in faults.pending:
                thread.join()
            if faults.errors:
                raise faults.errors[0]
            system.history.recovered_at = time.monotonic()
            log("recovered")
            time.sleep(FINAL_CALM_S)
        finally:
            system.stop()
        for caller in callers:
            caller.join(SINGLE_TIMEOUT_MS / 1000 + CALLER_SLACK_S
                        + CONNECT_TIMEOUT_S * DIRECTORY_ATTEMPTS)
    history = system.history
    missed, without = checks.unfound_violations(history)
    whole = sum(request.status == 200 and not request.missing_results
                for request in history.requests)
    return Outcome(seed, kinds, count, len(history.requests), whole,
                   checks.violations(history), missed, without)


def run_one(seed: int, settings: Settings, keep: Optional[pathlib.Path] = None) -> Outcome:
    """Runs a seed in a temporary folder; copies it to ``keep`` after a violation."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"mimosawall-soak-{seed}-"))
    # After an exception the folder is left for inspection.
    outcome = run_seed(seed, settings, folder)
    if (outcome.violations or outcome.missed) and keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        report = json.dumps(dataclasses.asdict(outcome), indent=1)
        (folder / "outcome.json").write_text(report, encoding="utf-8")
        shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    shutil.rmtree(folder)
    return outcome


def run_process(seed: int, settings: Settings, keep: pathlib.Path) -> tuple[bool, str]:
    """Runs a seed in a process of its own, so that concurrent runs do not slow each other."""
    flags = ["--seeds", str(seed), "--seconds", str(settings.seconds),
             "--hosts", str(settings.hosts), "--kinds", ",".join(settings.kinds),
             "--keep", str(keep)]
    done = subprocess.run([sys.executable, __file__, *flags],
                          capture_output=True, text=True, check=False)
    return done.returncode == 0, (done.stdout + done.stderr).strip()


def parse_seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1", help="a seed, or a range as in 1-50")
    parser.add_argument("--fresh", type=int, default=0,
                        help="number of random seeds to run instead")
    parser.add_argument("--jobs", type=int, default=1, help="number of concurrent runs")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS,
                        help="duration of the period in which faults begin")
    parser.add_argument("--hosts", type=int, default=DEFAULT_HOSTS)
    parser.add_argument("--kinds", default="",
                        help="comma-separated kinds of faults instead of random ones")
    parser.add_argument("--keep", type=pathlib.Path, default=VIOLATION_LOGS,
                        help="folder for logs of runs with a violation")
    options = parser.parse_args()
    settings = Settings(options.seconds, options.hosts,
                        [kind for kind in options.kinds.split(",") if kind])
    seeds = parse_seeds(options.seeds)
    if options.fresh:
        generator = random.SystemRandom()
        seeds = [generator.randrange(10**6, 10**9) for _ in range(options.fresh)]
    if len(seeds) == 1:
        outcome = run_one(seeds[0], settings, options.keep)
        print(outcome.line())
        print(f"  injected violations that did not apply: {', '.join(outcome.without) or 'none'}")
        return 1 if outcome.violations or outcome.missed else 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = pool.map(lambda seed: run_process(seed, settings, options.keep), seeds)
        passed = 0
        for good, text in results:
            print(text, flush=True)
            passed += good
    print(f"{passed} of {len(seeds)} seeds passed without a violation")
    return 0 if passed == len(seeds) else 1


if __name__ == "__main__":
    sys.exit(main())
