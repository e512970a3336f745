"""Checks of the history of a soak run against the guarantees of mimosa-entry.

A history holds the events that callers, searchers and the operator observed.
`violations` returns the guarantees that it violates. Guarantees with a time bound
are checked only where neither the host nor the store was disturbed for CALM_S.

`INJECTED_VIOLATIONS` holds changes of a history that violate a guarantee. They show
that the checks of a run are able to find a violation in it.
"""

from __future__ import annotations

import copy
import dataclasses
import signal
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Optional

from platform_stand_in import CONFIG_ACTIVE_LIMIT_S, DRAIN_LIMIT_S, RECOVERY_S, TERMINATION_GRACE_S
from searcher_process import records

#: Further bounds of the platform, in seconds.
CALM_S = RECOVERY_S
EVACUATION_LIMIT_S = 5.0
#: Time after its start in which a process may not have its signal handlers yet.
STARTUP_S = 0.25
ABORT_SLACK_S = 0.2
DOWNGRADE_SLACK_S = 0.25
ABANDON_SLACK_S = 0.5
#: A response may arrive this long after the route's timeout.
RESPONSE_SLACK_S = 0.5
#: A limit is kept from HEED_S after it was first stated: over any LIMIT_WINDOW_S, LIMIT_OVERAGE
#: times what it allows and LIMIT_SLACK requests.
HEED_S = 4.0
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
#: A host has read the answer that states something this long after the run.
HEARD_S = 0.5
#: Abandoned requests that may still begin to run after ABANDON_SLACK_S.
MAX_RUNS_AFTER_ABANDON = 3

MAX_ATTEMPTS = 2
TOP_K = 5
MIN_COVERAGE = 0.74
#: Statuses which state that the request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Scopes of disturbances that affect all hosts.
STORE = "store"
ALL_SEARCHERS = "searchers"


@dataclasses.dataclass
class Request:
    request_id: str
    #: The process that received it: "h1#2" is the second process of h1.
    process: str
    path: str
    request_line: str
    body: bytes
    sent_at: float
    timeout_s: float
    #: "answer", "cut" (connection lost), "no_connection" or "gave_up" (abandoned).
    outcome: str = "no_connection"
    ended_at: float = 0.0
    status: int = 0
    content: bytes = b""
    stamps: list[str] = dataclasses.field(default_factory=list)
    missing_results: int = 0
    retry_after: Optional[float] = None

    @property
    def host(self) -> str:
        return self.process.split("#")[0]

    @property
    def is_gather(self) -> bool:
        return self.path.startswith("/all/")


@dataclasses.dataclass
class Run:
    at: float
    searcher: str
    request_id: str
    request_line: str
    body_length: int


@dataclasses.dataclass
class SearcherInfo:
    service: str
    zone: str
    #: When its entry was set to draining or removed.
    leaves_at: float = float("inf")


@dataclasses.dataclass
class ConfigVersion:
    number: int
    at: float
    single_service: str
    shards: list[str]


@dataclasses.dataclass
class Span:
    begin: float
    end: float
    #: A host, STORE, ALL_SEARCHERS or a zone.
    scope: str
    #: A stop or start that must not lose requests.
    planned: bool = False


@dataclasses.dataclass
class Statement:
    """What a searcher says in all its answers for some time."""
    searcher: str
    begin: float
    end: float = float("inf")
    leaving: bool = False
    #: Requests a second that it accepts from all hosts together.
    limit: Optional[float] = None


@dataclasses.dataclass
class Exit:
    process: str
    at: float
    status: Optional[int]
    #: When SIGTERM was sent, if it was.
    terminated_at: Optional[float] = None
    #: When the process was started.
    started_at: float = 0.0
    #: Whether the soak killed the process.
    killed: bool = False


@dataclasses.dataclass
class History:
    requests: list[Request] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    searchers: dict[str, SearcherInfo] = dataclasses.field(default_factory=dict)
    versions: list[ConfigVersion] = dataclasses.field(default_factory=list)
    disturbances: list[Span] = dataclasses.field(default_factory=list)
    evacuations: list[Span] = dataclasses.field(default_factory=list)
    statements: list[Statement] = dataclasses.field(default_factory=list)
    exits: list[Exit] = dataclasses.field(default_factory=list)
    #: When the soak sent SIGTERM, by process.
    stops: dict[str, float] = dataclasses.field(default_factory=dict)
    #: When all faults had ended.
    recovered_at: float = float("inf")
    #: When the planned stop of the system began.
    ended_at: float = float("inf")

    def is_calm(self, scopes: Iterable[str], begin: float, end: float,
                planned: bool = False, lead_s: float = CALM_S) -> bool:
        """Whether no disturbance overlaps ``begin - lead_s`` to ``end`` in these scopes.

        With ``planned``, planned work is not counted as a disturbance.
        """
        names = set(scopes)
        return not any(span.scope in names and span.begin <= end and span.end >= begin - lead_s
                       and not (planned and span.planned) for span in self.disturbances)

    def only_planned_work(self, request: Request, end: float) -> bool:
        """Whether nothing but planned work can have affected ``request`` before ``end``."""
        return self.is_calm((request.host, STORE, ALL_SEARCHERS), request.sent_at, end,
                            planned=True)

    def host_and_store_calm(self, request: Request, until: float) -> bool:
        """Whether neither its host nor the store was disturbed until ``until``."""
        return self.is_calm((request.host, STORE), request.sent_at, until)

    def by_id(self) -> dict[str, Request]:
        return {request.request_id: request for request in self.requests}

    def runs_by_id(self) -> dict[str, list[Run]]:
        found: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found


Check = Callable[[History], "list[str]"]


def _at_most_once(history: History) -> list[str]:
    requests = history.by_id()
    return [f"{key} ran {len(runs)} times" for key, runs in history.runs_by_id().items()
            if key in requests and not requests[key].is_gather and len(runs) > 1]


def _true_refusals(history: History) -> list[str]:
    """Rejected requests have not run, and the response says when to retry."""
    runs = history.runs_by_id()
    found = []
    for request in history.requests:
        if request.outcome != "answer" or request.status not in NOT_RUN_STATUSES:
            continue
        if not request.is_gather and request.request_id in runs:
            found.append(f"{request.request_id} was rejected with {request.status} although it ran")
        if request.status in (429, 503) and not request.retry_after:
            found.append(f"{request.request_id} was rejected without Retry-After")
    return found


def _attempts(history: History) -> list[str]:
    """Searchers of a service run a request at most MAX_ATTEMPTS times."""
    requests = history.by_id()
    found = []
    for key, runs in history.runs_by_id().items():
        runs_by_service: dict[str, int] = defaultdict(int)
        for run in runs:
            runs_by_service[history.searchers[run.searcher].service] += 1
        if key in requests and max(runs_by_service.values()) > MAX_ATTEMPTS:
            found.append(f"{key} ran at {dict(runs_by_service)}")
    return found


def _as_asked(history: History) -> list[str]:
    """Searchers receive requests as callers sent them."""
    requests = history.by_id()
    found = []
    for run in history.runs:
        request = requests.get(run.request_id)
        if request is None:
            found.append(f"{run.searcher} ran {run.request_id}, which no caller sent")
        elif (run.request_line, run.body_length) != (request.request_line, len(request.body)):
            found.append(f"{run.request_id}: {run.searcher} ran {run.request_line}")
    return found


def _answer_problem(history: History, request: Request, runs: list[Run]) -> str:
    """Returns what is wrong with a successful response, or an empty string."""
    if any(stamp.split(".", 1)[1] != request.request_id for stamp in request.stamps):
        return "a stamp of another request"
    names = [stamp.split(".", 1)[0] for stamp in request.stamps]
    if not names or not set(names) <= {run.searcher for run in runs}:
        return "a stamp of a searcher that did not run it"
    if not request.is_gather:
        return "" if request.content == b"echo:" + request.body else "the body of another response"
    services = [history.searchers[name].service for name in names]
    if len(set(services)) < len(services):
        return "two results of one shard"
    sets = [set(version.shards) for version in history.versions if version.at <= request.ended_at]
    candidates = [shards for shards in sets if set(services) <= shards]
    if not candidates:
        return "shards of two configuration versions"
    if not any(len(services) + request.missing_results == len(shards) for shards in candidates):
        return "a wrong number of missing shard results"
    if len(services) / (len(services) + request.missing_results) < MIN_COVERAGE:
        return "less than the minimum coverage"
    best = sorted((r for service in services for r in records(service)), reverse=True)
    return "" if request.content == b"".join(best[:TOP_K]) else "not the top records"


def _true_answers(history: History) -> list[str]:
    """Successful responses are correct and belong to their request."""
    runs = history.runs_by_id()
    found = []
    for request in history.requests:
        if request.outcome == "answer" and request.status == 200:
            problem = _answer_problem(history, request, runs.get(request.request_id, []))
            if problem:
                found.append(f"{request.request_id}: {problem}")
    return found


def _newest_allowed(history: History, request: Request, runs: list[Run]) -> Optional[int]:
    """Returns the index of the newest version under which the request can have run."""
    if request.is_gather:
        if request.outcome != "answer" or request.status != 200:
            return None
        services = {history.searchers[stamp.split(".", 1)[0]].service for stamp in request.stamps}
        matching = [i for i, v in enumerate(history.versions) if services <= set(v.shards)]
    else:
        services = {history.searchers[run.searcher].service for run in runs}
        matching = [i for i, v in enumerate(history.versions)
                    if services and services <= {v.single_service}]
    return max(matching, default=None)


def _in_force(history: History) -> list[str]:
    """A configuration version is active on all hosts within CONFIG_ACTIVE_LIMIT_S."""
    runs = history.runs_by_id()
    found = []
    for request in history.requests:
        newest = _newest_allowed(history, request, runs.get(request.request_id, []))
        due = max((i for i, v in enumerate(history.versions)
                   if v.at + CONFIG_ACTIVE_LIMIT_S < request.sent_at), default=None)
        if newest is not None and due is not None and newest < due \
                and history.host_and_store_calm(request, request.ended_at):
            found.append(f"{request.request_id} at {request.process}: version {newest} "
                         f"although version {due} must be active")
    return found


def _never_back(history: History) -> list[str]:
    """A process never returns to an older configuration version."""
    runs = history.runs_by_id()
    seen: dict[str, list[tuple[float, int]]] = defaultdict(list)
    found = []
    for request in sorted(history.requests, key=lambda request: request.sent_at):
        own = runs.get(request.request_id, [])
        newest = _newest_allowed(history, request, own)
        if newest is None or request.is_gather:
            continue
        before = [index for at, index in seen[request.process]
                  if at + DOWNGRADE_SLACK_S < request.sent_at]
        if before and newest < max(before) \
                and history.is_calm((request.host,), request.sent_at, request.ended_at):
            found.append(f"{request.request_id} at {request.process}: version {newest} after "
                         f"{max(before)}")
        seen[request.process].append((min(run.at for run in own), newest))
    return found


def _late_runs(history: History) -> Iterable[tuple[Run, Request, SearcherInfo]]:
    requests = history.by_id()
    for run in history.runs:
        request = requests.get(run.request_id)
        if request is not None and history.host_and_store_calm(request, run.at):
            yield run, request, history.searchers[run.searcher]


def _drained(history: History) -> list[str]:
    return [f"{run.searcher} ran {run.request_id} {run.at - info.leaves_at:.2f} s after it left"
            for run, _, info in _late_runs(history) if run.at > info.leaves_at + DRAIN_LIMIT_S]


def _evacuated(history: History) -> list[str]:
    return [f"{run.searcher} ran {run.request_id} {run.at - span.begin:.2f} s after "
            f"{info.zone} was evacuated"
            for run, _, info in _late_runs(history) for span in history.evacuations
            if span.scope == info.zone and span.begin + EVACUATION_LIMIT_S < run.at < span.end]


def _heard_at(history: History, statement: Statement) -> dict[str, float]:
    """Returns when each host process has certainly read the statement."""
    requests = history.by_id()
    heard: dict[str, float] = {}
    for run in history.runs:
        request = requests.get(run.request_id)
        if run.searcher == statement.searcher and run.at > statement.begin \
                and request is not None and request.outcome == "answer" \
                and history.is_calm((request.host, ALL_SEARCHERS), run.at, run.at + HEARD_S):
            heard[request.process] = min(heard.get(request.process, float("inf")),
                                         run.at + HEARD_S)
    return heard


def _runs_of_informed(history: History, statement: Statement) -> Iterable[tuple[Run, Request]]:
    """The runs at its searcher for calm hosts that had read the statement."""
    requests = history.by_id()
    heard = _heard_at(history, statement)
    for run in history.runs:
        request = requests.get(run.request_id)
        if run.searcher == statement.searcher and request is not None \
                and run.at > heard.get(request.process, float("inf")) \
                and history.is_calm((request.host, ALL_SEARCHERS), run.at, run.at):
            yield run, request


def _said_leaving(history: History) -> list[str]:
    """A host sends nothing more to a searcher that says it is leaving."""
    found = []
    for statement in history.statements:
        heard = _heard_at(history, statement) if statement.leaving else {}
        found += [f"{run.searcher} ran {run.request_id} of {request.process}, which had heard "
                  f"that it leaves {request.sent_at - heard[request.process]:.2f} s before"
                  for run, request in (_runs_of_informed(history, statement) if heard else ())
                  if request.sent_at > heard[request.process] + DRAIN_LIMIT_S]
    return found


def _limited(history: History) -> list[str]:
    """All hosts together keep the limits that searchers state."""
    found = []
    for statement in history.statements:
        if statement.limit is None:
            continue
        allowed = LIMIT_OVERAGE * LIMIT_WINDOW_S * statement.limit + LIMIT_SLACK
        times = sorted(run.at for run, _ in _runs_of_informed(history, statement)
                       if statement.begin + HEED_S < run.at < statement.end)
        most = max((sum(a <= b < a + LIMIT_WINDOW_S for b in times) for a in times), default=0)
        if most > allowed:
            found.append(f"{statement.searcher} ran {most} requests in {LIMIT_WINDOW_S} s, "
                         f"allowed are {allowed}")
    return found


def _nothing_cut(history: History) -> list[str]:
    """Planned work aborts no request that was received."""
    runs = history.runs_by_id()
    found = []
    for request in history.requests:
        if request.outcome != "cut" or not history.only_planned_work(request, request.ended_at):
            continue
        if request.request_id in runs or request.ended_at > request.sent_at + ABORT_SLACK_S:
            found.append(f"{request.request_id} at {request.process} was aborted "
                         f"{request.ended_at - request.sent_at:.2f} s after it was sent")
    return found


def _left_alone(history: History) -> list[str]:
    """Abandoned requests no longer begin to run, except for a few."""
    requests = history.by_id()
    late = [run.request_id for run, request, _ in _late_runs(history)
            if requests[run.request_id].outcome == "gave_up"
            and run.at > request.ended_at + ABANDON_SLACK_S]
    return late if len(late) > MAX_RUNS_AFTER_ABANDON else []


def _in_time(history: History) -> list[str]:
    return [f"{request.request_id} at {request.process} has no response after "
            f"{request.ended_at - request.sent_at:.2f} s"
            for request in history.requests
            if request.outcome == "gave_up"
            and request.ended_at > request.sent_at + request.timeout_s + RESPONSE_SLACK_S
            and history.only_planned_work(request, request.ended_at)]


def _exits(history: History) -> list[str]:
    taken = {request.process for request in history.requests if request.outcome == "answer"}
    found = []
    for record in history.exits:
        if record.killed:
            # A paused process cannot handle SIGTERM.
            if record.terminated_at is not None \
                    and record.at > record.terminated_at + TERMINATION_GRACE_S \
                    and history.is_calm([record.process.split("#")[0]], record.terminated_at,
                                        record.at, planned=True, lead_s=0):
                found.append(f"{record.process} did not exit within "
                             f"{TERMINATION_GRACE_S:.0f} s after SIGTERM")
        elif record.terminated_at is None or record.status != 0:
            # SIGTERM ends a process that has not set up its signal handlers.
            early = record.terminated_at is not None \
                and record.terminated_at < record.started_at + STARTUP_S
            if early and record.status == -signal.SIGTERM and record.process not in taken:
                continue
            found.append(f"{record.process} exited with status {record.status}")
    return found


def _recovers(history: History) -> list[str]:
    """After all faults have ended, every request gets a complete answer."""
    return [f"{request.request_id} at {request.process} after all faults: "
            f"{request.outcome} {request.status}, "
            f"{request.missing_results} missing" for request in history.requests
            if history.recovered_at + CALM_S < request.sent_at
            and request.ended_at < history.ended_at
            and not (request.outcome == "gave_up"
                     and request.ended_at < request.sent_at + request.timeout_s)
            and (request.outcome != "answer" or request.status != 200 or request.missing_results)]


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
    "said_leaving": _said_leaving,
    "limited": _limited,
    "nothing_cut": _nothing_cut,
    "left_alone": _left_alone,
    "in_time": _in_time,
    "exits": _exits,
    "recovers": _recovers,
}


def violations(history: History) -> dict[str, list[str]]:
    """Returns the violations of each guarantee by the name of its check."""
    found = {name: check(history) for name, check in CHECKS.items()}
    return {name: problems for name, problems in found.items() if problems}


# The functions below inject a violation into a history. They return False if the
# history has no event to which the violation applies.


def _answered(history: History, is_gather: bool) -> list[Request]:
    return [request for request in history.requests if request.outcome == "answer"
            and request.status == 200 and request.is_gather == is_gather]


def _repeat_run(history: History) -> bool:
    for request in _answered(history, False)[:1]:
        history.runs += history.runs_by_id()[request.request_id]
        return True
    return False


def _reject_executed_request(history: History) -> bool:
    for request in _answered(history, False)[:1]:
        request.status, request.retry_after = 503, 1.0
        return True
    return False


def _exceed_attempts(history: History) -> bool:
    for request in _answered(history, True)[:1]:
        history.runs += history.runs_by_id()[request.request_id][:1] * MAX_ATTEMPTS
        return True
    return False


def _change_request_line(history: History) -> bool:
    for run in history.runs[:1]:
        run.request_line += "x"
        return True
    return False


def _swap_response_bodies(history: History) -> bool:
    answered = _answered(history, False)
    if len(answered) < 2:
        return False
    answered[0].content = answered[1].content
    return True


def _misstate_coverage(history: History) -> bool:
    for request in _answered(history, True)[:1]:
        request.missing_results += 1
        return True
    return False


def _mix_versions(history: History) -> bool:
    for request in _answered(history, True):
        used = {history.searchers[stamp.split(".", 1)[0]].service for stamp in request.stamps}
        others = [name for name, info in history.searchers.items()
                  if info.service.startswith("shard") and info.service not in used
                  and not any(used | {info.service} <= set(v.shards)
                              for v in history.versions)]
        if others:
            request.stamps[0] = f"{others[0]}.{request.request_id}"
            history.runs.append(Run(request.sent_at, others[0], request.request_id,
                                    request.request_line, 0))
            return True
    return False


def _set_searcher(history: History, request: Request, searcher: str, at: float) -> None:
    """Changes the history so that ``searcher`` ran the request."""
    history.runs = [run for run in history.runs if run.request_id != request.request_id]
    history.runs.append(Run(at, searcher, request.request_id, request.request_line,
                            len(request.body)))
    request.stamps = [f"{searcher}.{request.request_id}"]


def _use_outdated_version(history: History) -> bool:
    first = [name for name, info in history.searchers.items()
             if info.service == history.versions[0].single_service]
    for request in _answered(history, False):
        if len(history.versions) > 1 \
                and request.sent_at > history.versions[1].at + CONFIG_ACTIVE_LIMIT_S \
                and history.host_and_store_calm(request, request.ended_at):
            _set_searcher(history, request, first[0], request.sent_at)
            return True
    return False


def _return_to_old_version(history: History) -> bool:
    first = [name for name, info in history.searchers.items()
             if info.service == history.versions[0].single_service]
    runs = history.runs_by_id()
    newer: dict[str, float] = {}
    for request in sorted(_answered(history, False), key=lambda request: request.sent_at):
        own = runs[request.request_id]
        if request.process in newer \
                and newer[request.process] + DOWNGRADE_SLACK_S < request.sent_at \
                and history.is_calm((request.host,), request.sent_at, request.ended_at):
            _set_searcher(history, request, first[0], request.sent_at)
            return True
        if _newest_allowed(history, request, own):
            newer.setdefault(request.process, own[0].at)
    return False


def _run_at_drained_searcher(history: History) -> bool:
    for name, info in history.searchers.items():
        for request in history.requests:
            at = request.sent_at + 0.01
            if at > info.leaves_at + DRAIN_LIMIT_S and history.host_and_store_calm(request, at):
                history.runs.append(Run(at, name, request.request_id, request.request_line,
                                        len(request.body)))
                return True
    return False


def _run_in_evacuated_zone(history: History) -> bool:
    for span in history.evacuations:
        for request in history.requests:
            at = request.sent_at + 0.01
            names = [n for n, info in history.searchers.items() if info.zone == span.scope]
            if span.begin + EVACUATION_LIMIT_S < at < span.end \
                    and history.host_and_store_calm(request, at):
                history.runs.append(Run(at, names[0], request.request_id, request.request_line,
                                        len(request.body)))
                return True
    return False


def _run_where_leaving_was_said(history: History) -> bool:
    for statement in history.statements:
        heard = _heard_at(history, statement) if statement.leaving else {}
        for request in history.requests:
            at = request.sent_at + 0.01
            if at > heard.get(request.process, float("inf")) + DRAIN_LIMIT_S + 0.1 \
                    and history.is_calm((request.host, ALL_SEARCHERS), at, at):
                history.runs.append(Run(at, statement.searcher, request.request_id,
                                        request.request_line, len(request.body)))
                return True
    return False


def _exceed_limit(history: History) -> bool:
    for statement in history.statements:
        if statement.limit is None:
            continue
        for run, _ in _runs_of_informed(history, statement):
            if statement.begin + HEED_S < run.at < statement.end:
                allowed = LIMIT_OVERAGE * LIMIT_WINDOW_S * statement.limit + LIMIT_SLACK
                history.runs += [run] * (int(allowed) + 1)
                return True
    return False


def _abort_at_stop(history: History) -> bool:
    for request in history.requests:
        stop = history.stops.get(request.process)
        if request.outcome == "answer" and stop is not None and request.ended_at > stop \
                and history.only_planned_work(request, request.ended_at + ABORT_SLACK_S * 2):
            request.outcome, request.ended_at = "cut", request.ended_at + ABORT_SLACK_S * 2
            return True
    return False


def _run_after_abandon(history: History) -> bool:
    abandoned = 0
    for run, request, _ in list(_late_runs(history)):
        if abandoned <= MAX_RUNS_AFTER_ABANDON:
            request.outcome, request.ended_at = "gave_up", run.at - ABANDON_SLACK_S - 0.1
            abandoned += 1
    return abandoned > MAX_RUNS_AFTER_ABANDON


def _delay_response(history: History) -> bool:
    for request in history.requests:
        end = request.sent_at + request.timeout_s + RESPONSE_SLACK_S + 0.1
        if history.only_planned_work(request, end):
            request.outcome, request.ended_at = "gave_up", end
            return True
    return False


def _exit_unexpectedly(history: History) -> bool:
    history.exits.append(Exit("h1#9", history.recovered_at, -6))
    return True


def _fail_after_recovery(history: History) -> bool:
    for request in history.requests:
        # Callers may abandon a request at any time.
        if (history.recovered_at + CALM_S < request.sent_at
                and request.ended_at < history.ended_at and request.outcome == "answer"):
            request.status = 503
            request.retry_after = 1.0
            return True
    return False


#: The check that must find each violation, and the function that injects it.
INJECTED_VIOLATIONS: dict[str, tuple[str, Callable[[History], bool]]] = {
    "a request runs twice": ("at_most_once", _repeat_run),
    "a refused request has run": ("true_refusals", _reject_executed_request),
    "a part is tried too often": ("attempts", _exceed_attempts),
    "a request is changed": ("as_asked", _change_request_line),
    "answers are crossed": ("true_answers", _swap_response_bodies),
    "coverage is misstated": ("true_answers", _misstate_coverage),
    "an answer mixes versions": ("true_answers", _mix_versions),
    "a version is not in force": ("in_force", _use_outdated_version),
    "a host goes back to a version": ("never_back", _return_to_old_version),
    "a drained searcher gets work": ("drained", _run_at_drained_searcher),
    "an evacuated searcher gets work": ("evacuated", _run_in_evacuated_zone),
    "a planned stop cuts a request": ("nothing_cut", _abort_at_stop),
    "work goes on for callers who left": ("left_alone", _run_after_abandon),
    "an answer is held back": ("in_time", _delay_response),
    "a host ends by itself": ("exits", _exit_unexpectedly),
    "hosts do not recover": ("recovers", _fail_after_recovery),
}

#: The same for histories with statements.
STATEMENT_VIOLATIONS: dict[str, tuple[str, Callable[[History], bool]]] = {
    "a searcher that says it leaves gets work": ("said_leaving", _run_where_leaving_was_said),
    "a stated limit is passed": ("limited", _exceed_limit),
}


def unfound_violations(history: History) -> tuple[list[str], list[str]]:
    """Returns the injected violations that their check did not find, and those that
    do not apply to this history."""
    missed, without = [], []
    injected = {**INJECTED_VIOLATIONS, **(STATEMENT_VIOLATIONS if history.statements else {})}
    for name, (check, change) in injected.items():
        broken = copy.deepcopy(history)
        if not change(broken):
            without.append(name)
        elif not set(CHECKS[check](broken)) - set(CHECKS[check](history)):
            missed.append(name)
    return missed, without
