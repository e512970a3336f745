"""A randomized soak of mimosa-entry: real processes, faults from outside.

Usage: soak.py [--seeds 1-50 | --fresh N] [--jobs N] [--seconds S] [--hosts N]
               [--kinds KIND,...] [--keep DIR]

One run per seed: hosts, searchers and callers start, faults and planned work
begin and end at random, overlapping; then all faults end, and the hosts must
recover. The history is checked against every promise of soak_checks, and each
deliberate break of it must be found. Logs of a run with a violation are kept.
Exit status 1 if a run has one. See docs/soak.md.
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
from soak_system import (DRAINING_S, GATHER_LIMIT_MS, LAPSE_S, SINGLE_LIMIT_MS, VERSIONS, ZONES,
                         Host, SearcherProcess, System)

DEFAULT_SECONDS = 10.0
DEFAULT_HOSTS = 4
#: Directories that a caller asks before it keeps its old addresses.
DIRECTORIES = 3
CALLERS = 6
#: Where the logs of runs with a violation are kept.
KEEP = pathlib.Path(tempfile.gettempdir()) / "mimosawall-soak"
#: Mean pause of a caller between two requests.
PAUSE_S = 0.08
#: Share of the callers' requests that they give up early.
GIVE_UP_SHARE = 0.04
#: Answers of the directory are kept for this time, as the platform's callers do.
ADDRESS_LIFETIME_S = 2.0
CONNECT_LIMIT_S = 1.0
#: Callers wait a little longer than the hosts may take, so that a request that
#: is held too long is seen.
CALLER_SLACK_S = checks.LATE_SLACK_S + 0.3
#: Calm time after all faults; recovery is checked in its second part.
CALM_END_S = checks.CALM_S + 2.0
#: Seconds before the first fault, in which hosts learn of each other.
WARM_UP_S = 1.0


class Caller(threading.Thread):
    """Asks the directory and sends requests over kept connections."""

    def __init__(self, system: System, number: int, rng: random.Random) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.number = number
        self.rng = rng
        self.sent = 0
        self.addresses: list[str] = []
        self.asked = 0.0
        self.open: dict[str, tuple[http.client.HTTPConnection, str]] = {}
        self.requests: list[checks.Request] = []

    def run(self) -> None:
        while not self.system.ending:
            time.sleep(self.rng.expovariate(1 / PAUSE_S))
            if time.monotonic() > self.asked + ADDRESS_LIFETIME_S:
                self.resolve()
            if self.addresses:
                self.request(self.rng.choice(self.addresses))
        for connection, _ in self.open.values():
            connection.close()

    def resolve(self) -> None:
        for host in self.rng.sample(self.system.hosts, DIRECTORIES):
            connection = http.client.HTTPConnection(
                f"127.0.0.1:{host.ports[2]}", timeout=CONNECT_LIMIT_S)
            try:
                connection.request("GET", f"/resolve?name=h.example&region=r&zone={host.zone}")
                answer = connection.getresponse()
                self.addresses = json.loads(answer.read())["addrs"]
                self.asked = time.monotonic()
                return
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                continue  # The next host is asked.
            finally:
                connection.close()

    def make_request(self, host: Host) -> checks.Request:
        self.sent += 1
        request_id = f"c{self.number}x{self.sent}"
        gathers = self.rng.random() < 0.6
        path = f"/{'all' if gathers else 'one'}/{request_id}"
        body = b"" if gathers else request_id.encode() * self.rng.randint(1, 40)
        limit_ms = GATHER_LIMIT_MS if gathers else SINGLE_LIMIT_MS
        return checks.Request(request_id, host.process_name, path,
                              f"{'GET' if gathers else 'POST'} {path}", body,
                              time.monotonic(), limit_ms / 1000)

    def connect(self, host: Host) -> http.client.HTTPConnection:
        """A kept connection to the running process of ``host``, or a new one."""
        kept = self.open.get(host.name)
        if kept is not None and kept[1] == host.process_name:
            return kept[0]
        connection = http.client.HTTPConnection(host.front.address, timeout=CONNECT_LIMIT_S)
        connection.connect()
        self.open[host.name] = (connection, host.process_name)
        return connection

    def request(self, address: str) -> None:
        host = next(h for h in self.system.hosts if f"127.0.0.1:{h.ports[0]}" == address)
        one = self.make_request(host)
        wait_s = one.limit_s + CALLER_SLACK_S
        if self.rng.random() < GIVE_UP_SHARE:
            wait_s = self.rng.uniform(0.01, one.limit_s / 3)
        try:
            connection = self.connect(host)
        except OSError:
            one.done = time.monotonic()
            self.open.pop(host.name, None)
            self.system.history.requests.append(one)
            return
        one.process = self.open[host.name][1]
        try:
            assert connection.sock is not None
            connection.sock.settimeout(wait_s)
            one.sent = time.monotonic()
            connection.request(one.line.split()[0], one.path, one.body or None, {
                "Host": "h.example", "Attempt-Id": one.request_id,
                "Deadline-Ms": str(int(one.limit_s * 1000))})
            self.take_answer(one, connection.getresponse())
            closes = connection.sock is None
        except TimeoutError:
            one.outcome, closes = "gave_up", True
        except (OSError, http.client.HTTPException, AssertionError):
            one.outcome, closes = "cut", True
        one.done = time.monotonic()
        if closes:
            connection.close()
            self.open.pop(host.name, None)
        self.system.history.requests.append(one)

    @staticmethod
    def take_answer(one: checks.Request, answer: http.client.HTTPResponse) -> None:
        one.content = answer.read()
        one.status = answer.status
        text = answer.headers.get("Part-Stamps") or answer.headers.get("Server-Stamp") or ""
        one.stamps = [stamp for stamp in text.split(", ") if stamp]
        one.missing = int(answer.headers.get("Missing-Parts") or 0)
        if answer.headers.get("Retry-After"):
            one.retry_after = float(answer.headers["Retry-After"])
        one.outcome = "answer"


Undo = Callable[[], None]
#: What can happen to a connection between callers, hosts and searchers.
LINK_MODES = (Mode.SLOW, Mode.SILENT, Mode.CUT_THERE, Mode.CUT_BACK, Mode.RESET)


class Faults:
    """Everything that can go wrong or be planned; each returns how it ends."""

    def __init__(self, system: System, rng: random.Random) -> None:
        self.system = system
        self.rng = rng
        #: Planned work that goes on; waiting for it must not delay the end of
        #: faults, such as the pause of a host that is to stop.
        self.pending: list[threading.Thread] = []
        #: What went wrong in such work.
        self.errors: list[Exception] = []
        self.kinds: dict[str, Callable[[], Undo]] = {
            "store_down": lambda: self._store("down"),
            "store_loses_answers": lambda: self._store("lose_answers"),
            "store_slow": self._store_slow,
            "store_forgets": self._store_forgets,
            "store_rejects_host": self._store_rejects_host,
            "searchers_killed": self._searchers_killed,
            "searchers_paused": self._searchers_paused,
            "searchers_unreachable": self._searchers_unreachable,
            "searchers_misbehave": self._searchers_misbehave,
            "searchers_drain": self._searchers_drain,
            "searchers_leave_unsaid": self._searchers_leave_unsaid,
            "callers_link": self._callers_link,
            "host_killed": lambda: self._hosts_killed([self._host()]),
            "all_hosts_killed": lambda: self._hosts_killed(self.system.hosts),
            "host_paused": self._host_paused,
            "host_stopped": self._host_stopped,
            "rolling_restart": self._rolling_restart,
            "settings_reloaded": self._settings_reloaded,
            "log_unread": self._log_unread,
            "configuration": self._configuration,
            "evacuation": self._evacuation,
        }

    def _host(self) -> Host:
        return self.rng.choice(self.system.hosts)

    def _row(self) -> SearcherProcess:
        return self.rng.choice(self.system.rows)

    def _disturb(self, scopes: list[str], end: Undo) -> Undo:
        """Notes disturbances from now on, and their end when they are undone."""
        now = time.monotonic()
        spans = [checks.Span(now, float("inf"), scope) for scope in scopes]
        self.system.history.disturbances += spans

        def undo() -> None:
            end()
            for span in spans:
                span.end = time.monotonic()
        return undo

    def _store(self, field: str) -> Undo:
        setattr(self.system.store, field, True)
        return self._disturb([checks.STORE], lambda: setattr(self.system.store, field, False))

    def _store_slow(self) -> Undo:
        delays = self.system.store.delays_s
        for call in ("kv-range", "kv-watch", "kv-keep", "kv-txn", "kv-lease"):
            delays[call] = self.rng.uniform(0.1, 0.8)
        return self._disturb([checks.STORE], delays.clear)

    def _store_forgets(self) -> Undo:
        undo = self._disturb([checks.STORE], lambda: None)
        self.system.store.forget_history()
        return undo

    def _store_rejects_host(self) -> Undo:
        host = self._host()
        host.store.disturb(self.rng.choice(
            [Mode.SILENT, Mode.RESET, Mode.REFUSE, Mode.CUT_BACK, Mode.CUT_THERE]))
        # Hosts of its zone may follow it.
        names = [one.name for one in self.system.hosts if one.zone == host.zone]
        return self._disturb(names, host.store.heal)

    def _searchers_killed(self) -> Undo:
        row = self._row()
        if row.state != "ready":
            return lambda: None
        undo = self._disturb([checks.ALL_SEARCHERS], row.start)
        row.state = "gone"
        row.kill()
        gone = list(row.names.values())

        def lapse() -> None:
            for name in gone:
                self.system.store.remove(f"servers/{name}")
        timer = threading.Timer(LAPSE_S, lapse)
        timer.daemon = True
        timer.start()
        return undo

    def _searchers_paused(self) -> Undo:
        process = self._row().process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        return self._disturb([checks.ALL_SEARCHERS],
                             lambda: process.send_signal(signal.SIGCONT))

    def _searchers_unreachable(self) -> Undo:
        row = self._row()
        row.disturb(self.rng.choice(LINK_MODES))
        return self._disturb([checks.ALL_SEARCHERS], row.heal)

    def _searchers_misbehave(self) -> Undo:
        row = self._row()
        if row.state != "ready":
            return lambda: None
        field, value, usual = self.rng.choice([
            ("delay_s", self.rng.uniform(0.1, 1.0), SERVICE_TIME_S), ("sheds", True, False),
            ("loses_answers", True, False), ("answers_twice", True, False)])
        row.set(field, value)
        starts = row.starts

        def heal() -> None:
            if row.starts == starts and row.state == "ready":
                row.set(field, usual)
        return self._disturb([checks.ALL_SEARCHERS], heal)

    def _leave(self, row: SearcherProcess, leave: Undo) -> None:
        leave()

        def end() -> None:
            if row.state == "draining":
                row.remove_entries()
            row.state = "gone"
            row.kill()
            row.start()
        timer = threading.Timer(DRAINING_S, end)
        timer.daemon = True
        timer.start()
        self.pending.append(timer)

    def _searchers_drain(self) -> Undo:
        row = self._row()
        if row.state == "ready":
            self._leave(row, row.drain)
        return lambda: None

    def _searchers_leave_unsaid(self) -> Undo:
        row = self._row()
        if row.state == "ready":
            row.state = "gone"
            self._leave(row, row.remove_entries)
        return lambda: None

    def _callers_link(self) -> Undo:
        host = self._host()
        host.front.disturb(self.rng.choice(LINK_MODES))
        return self._disturb([host.name], host.front.heal)

    def _hosts_killed(self, hosts: list[Host]) -> Undo:
        killed = [host for host in hosts if host.runs and host.stopped is None]
        def start_all() -> None:
            for host in killed:
                host.start()
        undo = self._disturb([host.name for host in killed], start_all)
        for host in killed:
            host.kill()
        return undo

    def _host_paused(self) -> Undo:
        host = self._host()
        host.signal(signal.SIGSTOP)
        return self._disturb([host.name], lambda: host.signal(signal.SIGCONT))

    def _restart(self, host: Host) -> None:
        """A planned stop, with more signals on the way, and a start."""
        if not host.runs or host.stopped is not None:
            return
        span = checks.Span(time.monotonic(), float("inf"), host.name, planned=True)
        self.system.history.disturbances.append(span)
        host.terminate()
        if self.rng.random() < 0.3:
            host.signal(self.rng.choice([signal.SIGHUP, signal.SIGTERM]))
        host.await_end()
        host.start()
        span.end = time.monotonic()

    def _in_background(self, work: Undo) -> Undo:
        def run() -> None:
            try:
                work()
            except Exception as error:  # Told when the run ends.
                self.errors.append(error)
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.pending.append(thread)
        return lambda: None

    def _host_stopped(self) -> Undo:
        host = self._host()
        return self._in_background(lambda: self._restart(host))

    def _rolling_restart(self) -> Undo:
        def restart_two() -> None:
            for host in self.system.hosts[:2]:
                self._restart(host)
        return self._in_background(restart_two)

    def _settings_reloaded(self) -> Undo:
        host = self._host()
        host.write_settings(self.rng.randint(20, 80))
        if self.rng.random() < 0.7:
            host.signal(signal.SIGHUP)
        return lambda: None

    def _log_unread(self) -> Undo:
        host = self._host()
        host.reads_log = False
        return lambda: setattr(host, "reads_log", True)

    def _configuration(self) -> Undo:
        if self.system.version < VERSIONS - 1:
            self.system.configure(reshard=self.rng.random() < 0.5)
        return lambda: None

    def _evacuation(self) -> Undo:
        zone = self.rng.choice(ZONES)
        key = f"op/evacuate/{zone}"
        if self.system.store.keys(key):
            return lambda: None
        self.system.store.put(key, {})
        span = checks.Span(time.monotonic(), float("inf"), zone)
        self.system.history.evacuations.append(span)

        def take_back() -> None:
            span.end = time.monotonic()
            self.system.store.remove(key)
        return take_back


#: How long each fault lasts, where that is not from a blink to some seconds.
DURATIONS_S = {"evacuation": (6.0, 8.0), "all_hosts_killed": (0.5, 1.5),
               "host_paused": (0.1, 1.5), "searchers_paused": (0.1, 1.5)}
USUAL_DURATION_S = (0.1, 2.5)


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


def disturb(faults: Faults, rng: random.Random, kinds: list[str], end: float,
            log: Callable[[str], None]) -> int:
    """Begins and ends faults at random until ``end``; ends all of them then."""
    gap_s = rng.choice([0.25, 0.6, 1.5])
    counter = itertools.count()
    active: list[tuple[float, int, str, Undo]] = []
    count = 0
    next_begin = time.monotonic()
    while time.monotonic() < end or active:
        now = time.monotonic()
        while active and (active[0][0] <= now or now >= end):
            _, _, kind, undo = heapq.heappop(active)
            undo()
            log(f"end {kind}")
        if next_begin <= now < end:
            kind = rng.choice(kinds)
            low, high = DURATIONS_S.get(kind, USUAL_DURATION_S)
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
    #: Kinds of faults; drawn if there are none.
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
            callers = [Caller(system, i, random.Random(seed * 1000 + i)) for i in range(CALLERS)]
            for caller in callers:
                caller.start()
            time.sleep(WARM_UP_S)
            drawn = rng.sample(sorted(faults.kinds), rng.randint(2, 6))
            kinds = settings.kinds or drawn
            count = disturb(faults, rng, kinds, time.monotonic() + settings.seconds, log)
            for thread in faults.pending:
                thread.join()
            if faults.errors:
                raise faults.errors[0]
            system.history.recovered = time.monotonic()
            log("recovered")
            time.sleep(CALM_END_S)
        finally:
            system.stop()
        for caller in callers:
            caller.join(SINGLE_LIMIT_MS / 1000 + CALLER_SLACK_S + CONNECT_LIMIT_S * DIRECTORIES)
    history = system.history
    missed, without = checks.missed_breaks(history)
    whole = sum(one.status == 200 and not one.missing for one in history.requests)
    return Outcome(seed, kinds, count, len(history.requests), whole,
                   checks.violations(history), missed, without)


def run_one(seed: int, settings: Settings, keep: Optional[pathlib.Path] = None) -> Outcome:
    """Runs a seed in a folder of its own, which is kept after a violation."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"mimosawall-soak-{seed}-"))
    # An error leaves the folder behind.
    outcome = run_seed(seed, settings, folder)
    if (outcome.violations or outcome.missed) and keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        report = json.dumps(dataclasses.asdict(outcome), indent=1)
        (folder / "outcome.json").write_text(report, encoding="utf-8")
        shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    shutil.rmtree(folder)
    return outcome


def run_process(seed: int, settings: Settings, keep: pathlib.Path) -> tuple[bool, str]:
    """Runs a seed in a process of its own, so that runs do not slow each other."""
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
    parser.add_argument("--fresh", type=int, default=0, help="this many seeds drawn now")
    parser.add_argument("--jobs", type=int, default=1, help="runs at the same time")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS,
                        help="time in which faults begin")
    parser.add_argument("--hosts", type=int, default=DEFAULT_HOSTS)
    parser.add_argument("--kinds", default="", help="kinds of faults in place of drawn ones")
    parser.add_argument("--keep", type=pathlib.Path, default=KEEP,
                        help="folder for logs of runs with a violation")
    options = parser.parse_args()
    settings = Settings(options.seconds, options.hosts,
                        [kind for kind in options.kinds.split(",") if kind])
    seeds = parse_seeds(options.seeds)
    if options.fresh:
        drawn = random.SystemRandom()
        seeds = [drawn.randrange(10**6, 10**9) for _ in range(options.fresh)]
    if len(seeds) == 1:
        outcome = run_one(seeds[0], settings, options.keep)
        print(outcome.line())
        print(f"  without an occasion: {', '.join(outcome.without) or 'none'}")
        return 1 if outcome.violations or outcome.missed else 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = pool.map(lambda seed: run_process(seed, settings, options.keep), seeds)
        kept = 0
        for good, text in results:
            print(text, flush=True)
            kept += good
    print(f"{kept} of {len(seeds)} seeds kept all promises")
    return 0 if kept == len(seeds) else 1


if __name__ == "__main__":
    sys.exit(main())
