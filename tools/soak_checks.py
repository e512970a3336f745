"""What must hold of a soak's history, and deliberate breaks of it.

A history is what callers, searchers and the operator saw. `violations` names
each promise that it breaks. Promises with a time bound are checked for calm
hosts only: those that, like the store, were not disturbed for CALM_S.

`BREAKS` holds for each promise a change of a history that breaks it, so that a
run can show that its checks had something to check.
"""

from __future__ import annotations

import copy
import dataclasses
import signal
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Optional

from platform_stand_in import DRAIN_S, GRACE_S, IN_FORCE_S, STABLE_S
from searcher_process import records

#: Further bounds of the platform, in seconds.
CALM_S = STABLE_S
EVACUATION_S = 5.0
#: A process has set up its signal handlers after this time.
START_S = 0.25
LOSS_SLACK_S = 0.2
DOWNGRADE_SLACK_S = 0.25
GIVE_UP_SLACK_S = 0.5
#: An answer may come this long after the route's time limit.
LATE_SLACK_S = 0.5
#: Requests that may reach a searcher late after their caller has left.
LATE_AFTER_GIVE_UP = 3

MAX_ATTEMPTS = 2
TOP_K = 5
MIN_COVERAGE = 0.74
#: Statuses which state that the request has not run and will not.
NOT_RUN = (408, 421, 429, 503)
#: Scope of a disturbance that concerns all hosts.
STORE = "store"
ALL_SEARCHERS = "searchers"


@dataclasses.dataclass
class Request:
    request_id: str
    #: The process that took it: "h1#2" is the second one of h1.
    process: str
    path: str
    line: str
    body: bytes
    sent: float
    limit_s: float
    #: "answer", "cut", "no_connection" or "gave_up".
    outcome: str = "no_connection"
    done: float = 0.0
    status: int = 0
    content: bytes = b""
    stamps: list[str] = dataclasses.field(default_factory=list)
    missing: int = 0
    retry_after: Optional[float] = None

    @property
    def host(self) -> str:
        return self.process.split("#")[0]

    @property
    def gathers(self) -> bool:
        return self.path.startswith("/all/")


@dataclasses.dataclass
class Run:
    at: float
    searcher: str
    request_id: str
    line: str
    body_length: int


@dataclasses.dataclass
class SearcherInfo:
    service: str
    zone: str
    #: The platform stated that it leaves; never if it did not.
    leaves: float = float("inf")


@dataclasses.dataclass
class Version:
    number: int
    at: float
    single: str
    shards: list[str]


@dataclasses.dataclass
class Span:
    begin: float
    end: float
    #: A host, STORE, ALL_SEARCHERS or a zone.
    scope: str
    #: A stop or start that loses nothing if the host does its duty.
    planned: bool = False


@dataclasses.dataclass
class Exit:
    process: str
    at: float
    status: Optional[int]
    #: When SIGTERM was sent, if it was.
    stopped: Optional[float] = None
    #: When the process was started.
    started: float = 0.0
    #: The soak killed it.
    killed: bool = False


@dataclasses.dataclass
class History:
    requests: list[Request] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    searchers: dict[str, SearcherInfo] = dataclasses.field(default_factory=dict)
    versions: list[Version] = dataclasses.field(default_factory=list)
    disturbances: list[Span] = dataclasses.field(default_factory=list)
    evacuations: list[Span] = dataclasses.field(default_factory=list)
    exits: list[Exit] = dataclasses.field(default_factory=list)
    #: Times at which the soak stopped processes, by process.
    stops: dict[str, float] = dataclasses.field(default_factory=dict)
    #: All faults had ended, and the planned end of the run began, at these times.
    recovered: float = float("inf")
    ended: float = float("inf")

    def calm(self, scopes: Iterable[str], begin: float, end: float,
             planned: bool = False, lead: float = CALM_S) -> bool:
        """Nothing disturbed these from ``lead`` before ``begin`` to ``end``; with
        ``planned`` nothing but planned work did."""
        names = set(scopes)
        return not any(span.scope in names and span.begin <= end and span.end >= begin - lead
                       and not (planned and span.planned) for span in self.disturbances)

    def undisturbed(self, request: Request, end: float) -> bool:
        """Only planned work can have ended ``request`` before ``end``."""
        return self.calm((request.host, STORE, ALL_SEARCHERS), request.sent, end, planned=True)

    def in_touch(self, request: Request, until: float) -> bool:
        return self.calm((request.host, STORE), request.sent, until)

    def by_id(self) -> dict[str, Request]:
        return {one.request_id: one for one in self.requests}

    def runs_by_id(self) -> dict[str, list[Run]]:
        found: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found


Check = Callable[[History], "list[str]"]


def _at_most_once(history: History) -> list[str]:
    requests = history.by_id()
    return [f"{key} ran {len(runs)} times" for key, runs in history.runs_by_id().items()
            if key in requests and not requests[key].gathers and len(runs) > 1]


def _true_refusals(history: History) -> list[str]:
    runs = history.runs_by_id()
    found = []
    for one in history.requests:
        if one.outcome != "answer" or one.status not in NOT_RUN:
            continue
        if not one.gathers and one.request_id in runs:
            found.append(f"{one.request_id} was answered {one.status} and ran")
        if one.status in (429, 503) and not one.retry_after:
            found.append(f"{one.request_id} was refused without a time to come back")
    return found


def _attempts(history: History) -> list[str]:
    requests = history.by_id()
    found = []
    for key, runs in history.runs_by_id().items():
        tries: dict[str, int] = defaultdict(int)
        for run in runs:
            tries[history.searchers[run.searcher].service] += 1
        if key in requests and max(tries.values()) > MAX_ATTEMPTS:
            found.append(f"{key} ran at {dict(tries)}")
    return found


def _as_asked(history: History) -> list[str]:
    requests = history.by_id()
    found = []
    for run in history.runs:
        asked = requests.get(run.request_id)
        if asked is None:
            found.append(f"{run.searcher} ran {run.request_id}, which nobody sent")
        elif (run.line, run.body_length) != (asked.line, len(asked.body)):
            found.append(f"{run.request_id}: {run.searcher} ran {run.line}")
    return found


def _answer_problem(history: History, one: Request, runs: list[Run]) -> str:
    """What is wrong with a success; nothing if it is right."""
    if any(stamp.split(".", 1)[1] != one.request_id for stamp in one.stamps):
        return "a signature of another request"
    names = [stamp.split(".", 1)[0] for stamp in one.stamps]
    if not names or not set(names) <= {run.searcher for run in runs}:
        return "a signature of a searcher that did not run it"
    if not one.gathers:
        return "" if one.content == b"echo:" + one.body else "the body of another answer"
    services = [history.searchers[name].service for name in names]
    if len(set(services)) < len(services):
        return "two parts of one shard"
    sets = [set(version.shards) for version in history.versions if version.at <= one.done]
    named = [shards for shards in sets if set(services) <= shards]
    if not named:
        return "parts of two versions"
    if not any(len(services) + one.missing == len(shards) for shards in named):
        return "a wrong number of missing parts"
    if len(services) / (len(services) + one.missing) < MIN_COVERAGE:
        return "less than the least coverage"
    best = sorted((r for service in services for r in records(service)), reverse=True)
    return "" if one.content == b"".join(best[:TOP_K]) else "not the greatest records"


def _true_answers(history: History) -> list[str]:
    runs = history.runs_by_id()
    found = []
    for one in history.requests:
        if one.outcome == "answer" and one.status == 200:
            problem = _answer_problem(history, one, runs.get(one.request_id, []))
            if problem:
                found.append(f"{one.request_id}: {problem}")
    return found


def _newest_allowed(history: History, one: Request, runs: list[Run]) -> Optional[int]:
    """Index of the newest version that explains how ``one`` was handled."""
    if one.gathers:
        if one.outcome != "answer" or one.status != 200:
            return None
        services = {history.searchers[stamp.split(".", 1)[0]].service for stamp in one.stamps}
        fits = [i for i, v in enumerate(history.versions) if services <= set(v.shards)]
    else:
        services = {history.searchers[run.searcher].service for run in runs}
        fits = [i for i, v in enumerate(history.versions) if services and services <= {v.single}]
    return max(fits, default=None)


def _in_force(history: History) -> list[str]:
    runs = history.runs_by_id()
    found = []
    for one in history.requests:
        newest = _newest_allowed(history, one, runs.get(one.request_id, []))
        due = max((i for i, v in enumerate(history.versions)
                   if v.at + IN_FORCE_S < one.sent), default=None)
        if newest is not None and due is not None and newest < due \
                and history.in_touch(one, one.done):
            found.append(f"{one.request_id} at {one.process}: version {newest} "
                         f"in place of {due}")
    return found


def _never_back(history: History) -> list[str]:
    runs = history.runs_by_id()
    seen: dict[str, list[tuple[float, int]]] = defaultdict(list)
    found = []
    for one in sorted(history.requests, key=lambda request: request.sent):
        own = runs.get(one.request_id, [])
        newest = _newest_allowed(history, one, own)
        if newest is None or one.gathers:
            continue
        before = [index for at, index in seen[one.process]
                  if at + DOWNGRADE_SLACK_S < one.sent]
        if before and newest < max(before) and history.calm((one.host,), one.sent, one.done):
            found.append(f"{one.request_id} at {one.process}: version {newest} after "
                         f"{max(before)}")
        seen[one.process].append((min(run.at for run in own), newest))
    return found


def _late_runs(history: History) -> Iterable[tuple[Run, Request, SearcherInfo]]:
    requests = history.by_id()
    for run in history.runs:
        one = requests.get(run.request_id)
        if one is not None and history.in_touch(one, run.at):
            yield run, one, history.searchers[run.searcher]


def _drained(history: History) -> list[str]:
    return [f"{run.searcher} ran {run.request_id} {run.at - info.leaves:.2f} s after it left"
            for run, _, info in _late_runs(history) if run.at > info.leaves + DRAIN_S]


def _evacuated(history: History) -> list[str]:
    return [f"{run.searcher} ran {run.request_id} {run.at - span.begin:.2f} s after "
            f"{info.zone} was taken out"
            for run, _, info in _late_runs(history) for span in history.evacuations
            if span.scope == info.zone and span.begin + EVACUATION_S < run.at < span.end]


def _nothing_cut(history: History) -> list[str]:
    runs = history.runs_by_id()
    found = []
    for one in history.requests:
        if one.outcome != "cut" or not history.undisturbed(one, one.done):
            continue
        if one.request_id in runs or one.done > one.sent + LOSS_SLACK_S:
            found.append(f"{one.request_id} at {one.process} was cut "
                         f"{one.done - one.sent:.2f} s after it was sent")
    return found


def _left_alone(history: History) -> list[str]:
    requests = history.by_id()
    late = [run.request_id for run, one, _ in _late_runs(history)
            if requests[run.request_id].outcome == "gave_up"
            and run.at > one.done + GIVE_UP_SLACK_S]
    return late if len(late) > LATE_AFTER_GIVE_UP else []


def _in_time(history: History) -> list[str]:
    return [f"{one.request_id} at {one.process} has no answer after {one.done - one.sent:.2f} s"
            for one in history.requests
            if one.outcome == "gave_up" and one.done > one.sent + one.limit_s + LATE_SLACK_S
            and history.undisturbed(one, one.done)]


def _exits(history: History) -> list[str]:
    taken = {one.process for one in history.requests if one.outcome == "answer"}
    found = []
    for one in history.exits:
        if one.killed:
            # A host that is paused cannot end.
            if one.stopped is not None and one.at > one.stopped + GRACE_S and history.calm(
                    [one.process.split("#")[0]], one.stopped, one.at, planned=True, lead=0):
                found.append(f"{one.process} did not end within its grace time")
        elif one.stopped is None or one.status != 0:
            # No program can catch a signal that comes before it has started.
            early = one.stopped is not None and one.stopped < one.started + START_S
            if early and one.status == -signal.SIGTERM and one.process not in taken:
                continue
            found.append(f"{one.process} ended with status {one.status}")
    return found


def _recovers(history: History) -> list[str]:
    return [f"{one.request_id} at {one.process} after all faults: {one.outcome} {one.status}, "
            f"{one.missing} missing" for one in history.requests
            if history.recovered + CALM_S < one.sent and one.done < history.ended
            and not (one.outcome == "gave_up" and one.done < one.sent + one.limit_s)
            and (one.outcome != "answer" or one.status != 200 or one.missing)]


CHECKS: dict[str, Check] = {
    "at_most_once": _at_most_once,
    "true_refusals": _true_refusals,
    "attempts": _attempts,
    "as_asked": _as_asked,
    "true_answers": _true_answers,
    "in_force": _in_force,
    "never_back": _never_back,
    "drained": _drained,
    "evacuated": _evacuated,
    "nothing_cut": _nothing_cut,
    "left_alone": _left_alone,
    "in_time": _in_time,
    "exits": _exits,
    "recovers": _recovers,
}


def violations(history: History) -> dict[str, list[str]]:
    """What breaks each promise, by the name of its check."""
    found = {name: check(history) for name, check in CHECKS.items()}
    return {name: problems for name, problems in found.items() if problems}


# Breaks. Each changes a history in place and returns whether it found an
# occasion for it.


def _answered(history: History, gathers: bool) -> list[Request]:
    return [one for one in history.requests if one.outcome == "answer"
            and one.status == 200 and one.gathers == gathers]


def _run_twice(history: History) -> bool:
    for one in _answered(history, False)[:1]:
        history.runs += history.runs_by_id()[one.request_id]
        return True
    return False


def _refuse_what_ran(history: History) -> bool:
    for one in _answered(history, False)[:1]:
        one.status, one.retry_after = 503, 1.0
        return True
    return False


def _try_too_often(history: History) -> bool:
    for one in _answered(history, True)[:1]:
        history.runs += history.runs_by_id()[one.request_id][:1] * MAX_ATTEMPTS
        return True
    return False


def _change_line(history: History) -> bool:
    for run in history.runs[:1]:
        run.line += "x"
        return True
    return False


def _cross_answers(history: History) -> bool:
    answered = _answered(history, False)
    if len(answered) < 2:
        return False
    answered[0].content = answered[1].content
    return True


def _hide_a_part(history: History) -> bool:
    for one in _answered(history, True)[:1]:
        one.missing += 1
        return True
    return False


def _mix_versions(history: History) -> bool:
    for one in _answered(history, True):
        used = {history.searchers[stamp.split(".", 1)[0]].service for stamp in one.stamps}
        others = [name for name, info in history.searchers.items()
                  if info.service.startswith("shard") and info.service not in used
                  and not any(used | {info.service} <= set(v.shards)
                              for v in history.versions)]
        if others:
            one.stamps[0] = f"{others[0]}.{one.request_id}"
            history.runs.append(Run(one.sent, others[0], one.request_id, one.line, 0))
            return True
    return False


def _run_by(history: History, one: Request, searcher: str, at: float) -> None:
    """Makes ``searcher`` the one that ran ``one``."""
    history.runs = [run for run in history.runs if run.request_id != one.request_id]
    history.runs.append(Run(at, searcher, one.request_id, one.line, len(one.body)))
    one.stamps = [f"{searcher}.{one.request_id}"]


def _keep_old_version(history: History) -> bool:
    first = [name for name, info in history.searchers.items()
             if info.service == history.versions[0].single]
    for one in _answered(history, False):
        if len(history.versions) > 1 and one.sent > history.versions[1].at + IN_FORCE_S \
                and history.in_touch(one, one.done):
            _run_by(history, one, first[0], one.sent)
            return True
    return False


def _go_back(history: History) -> bool:
    first = [name for name, info in history.searchers.items()
             if info.service == history.versions[0].single]
    runs = history.runs_by_id()
    newer: dict[str, float] = {}
    for one in sorted(_answered(history, False), key=lambda request: request.sent):
        own = runs[one.request_id]
        if one.process in newer and newer[one.process] + DOWNGRADE_SLACK_S < one.sent \
                and history.calm((one.host,), one.sent, one.done):
            _run_by(history, one, first[0], one.sent)
            return True
        if _newest_allowed(history, one, own):
            newer.setdefault(one.process, own[0].at)
    return False


def _use_what_left(history: History) -> bool:
    for name, info in history.searchers.items():
        for one in history.requests:
            at = one.sent + 0.01
            if at > info.leaves + DRAIN_S and history.in_touch(one, at):
                history.runs.append(Run(at, name, one.request_id, one.line, len(one.body)))
                return True
    return False


def _use_what_is_taken_out(history: History) -> bool:
    for span in history.evacuations:
        for one in history.requests:
            at = one.sent + 0.01
            names = [n for n, info in history.searchers.items() if info.zone == span.scope]
            if span.begin + EVACUATION_S < at < span.end and history.in_touch(one, at):
                history.runs.append(Run(at, names[0], one.request_id, one.line, len(one.body)))
                return True
    return False


def _cut_at_stop(history: History) -> bool:
    for one in history.requests:
        stop = history.stops.get(one.process)
        if one.outcome == "answer" and stop is not None and one.done > stop \
                and history.undisturbed(one, one.done + LOSS_SLACK_S * 2):
            one.outcome, one.done = "cut", one.done + LOSS_SLACK_S * 2
            return True
    return False


def _work_for_nobody(history: History) -> bool:
    made = 0
    for run, one, _ in list(_late_runs(history)):
        if made <= LATE_AFTER_GIVE_UP:
            one.outcome, one.done = "gave_up", run.at - GIVE_UP_SLACK_S - 0.1
            made += 1
    return made > LATE_AFTER_GIVE_UP


def _hold_an_answer(history: History) -> bool:
    for one in history.requests:
        end = one.sent + one.limit_s + LATE_SLACK_S + 0.1
        if history.undisturbed(one, end):
            one.outcome, one.done = "gave_up", end
            return True
    return False


def _end_by_itself(history: History) -> bool:
    history.exits.append(Exit("h1#9", history.recovered, -6))
    return True


def _stay_away(history: History) -> bool:
    for one in history.requests:
        if history.recovered + CALM_S < one.sent and one.done < history.ended:
            one.status = 503
            one.retry_after = 1.0
            return True
    return False


#: By a name: the check that must find it, and the change.
BREAKS: dict[str, tuple[str, Callable[[History], bool]]] = {
    "a request runs twice": ("at_most_once", _run_twice),
    "a refused request has run": ("true_refusals", _refuse_what_ran),
    "a part is tried too often": ("attempts", _try_too_often),
    "a request is changed": ("as_asked", _change_line),
    "answers are crossed": ("true_answers", _cross_answers),
    "coverage is misstated": ("true_answers", _hide_a_part),
    "an answer mixes versions": ("true_answers", _mix_versions),
    "a version is not in force": ("in_force", _keep_old_version),
    "a host goes back to a version": ("never_back", _go_back),
    "a drained searcher gets work": ("drained", _use_what_left),
    "an evacuated searcher gets work": ("evacuated", _use_what_is_taken_out),
    "a planned stop cuts a request": ("nothing_cut", _cut_at_stop),
    "work goes on for callers who left": ("left_alone", _work_for_nobody),
    "an answer is held back": ("in_time", _hold_an_answer),
    "a host ends by itself": ("exits", _end_by_itself),
    "hosts do not recover": ("recovers", _stay_away),
}


def missed_breaks(history: History) -> tuple[list[str], list[str]]:
    """Breaks of this history that its check did not find, and those for which
    the history had no occasion."""
    missed, without = [], []
    for name, (check, change) in BREAKS.items():
        broken = copy.deepcopy(history)
        if not change(broken):
            without.append(name)
        elif not set(CHECKS[check](broken)) - set(CHECKS[check](history)):
            missed.append(name)
    return missed, without
