"""Group 3: service while hosts, availability zones or the store fail."""

import signal
import time

from experiments.cluster import Cluster, call, wait_until

DAEMONS = 8
SERVERS, ROWS, SHARDS = 24, 8, 16  # 8 groups of 2 shards, 3 replicas each
SERVICE_TIME_US = 5000
SLOTS = 6
# A query takes one slot in each group; 3 replicas with 6 slots each serve
# 3 x 6 / 5 ms = 3,600 queries per second.
CAPACITY_PER_S = 3 * SLOTS * 1000000 // SERVICE_TIME_US
RATE_PER_S = 150


def start_service(seed, service_us=SERVICE_TIME_US, servers=SERVERS, rows=ROWS,
                  total_shards=SHARDS, zones=("z1", "z2", "z3"),
                  daemons=DAEMONS, warm_up=True, **settings):
    """Starts a cluster with one service; if `warm_up`, runs load on it."""
    cluster = Cluster(seed, zones)
    try:
        cluster.add_service("s", servers, rows, total_shards=total_shards,
                            slots=SLOTS, processes=2 if servers % 2 == 0 else 1,
                            **settings)
        cluster.add_daemons(daemons)
        cluster.set_fault_everywhere(service_us=service_us)
        cluster.start_up()
        if warm_up:
            cluster.load("s", RATE_PER_S, 4, seed + 100).finish()
    except BaseException:
        cluster.__exit__()
        raise
    return cluster


def failed_requests(figures):
    """Number of requests without a complete answer."""
    return figures["sent"] - figures["whole"]


OWNER_CRASH_BOUND_S = 5


def owner_crash(seed, seconds=14):
    """A daemon that owns partitions is killed with SIGKILL under load: time
    until its backend servers are usable at the other daemons again, and number
    of failed requests."""
    with start_service(seed) as cluster:
        killed_daemon, owned = _largest_owner(cluster)
        others = [d for d in cluster.daemons if d is not killed_daemon]
        load = cluster.load("s", RATE_PER_S, seconds, expected_shards=SHARDS,
                            daemons=others)
        time.sleep(4)
        killed_daemon.end(signal.SIGKILL)
        killed_at = time.monotonic()
        lost_after, usable_after = _watch_failover(
            cluster, others, killed_daemon, owned, killed_at)
        figures = load.finish()
    return {"owned": len(owned), "lost_after_s": lost_after,
            "usable_after_s": usable_after, "bound_s": OWNER_CRASH_BOUND_S,
            "failed": failed_requests(figures),
            "failed_per_s_of_absence": failed_requests(figures) / usable_after
            if usable_after else None,
            "rate": RATE_PER_S, "load": figures,
            "pass": usable_after is not None
            and usable_after <= OWNER_CRASH_BOUND_S}


def _largest_owner(cluster):
    """The daemon that owns the most backend servers, and the names of these
    servers."""
    owned = {}
    for daemon in cluster.daemons:
        service = daemon.status()["services"].get("s")
        if service and service["served_here"]:
            for server in service["backend_servers"]:
                owned.setdefault(server["owner"], set()).add(server["name"])
    peer = max((p for p in owned if p), key=lambda p: len(owned[p]))
    return next(d for d in cluster.daemons
                if d.peer_address == peer), owned[peer]


def _watch_failover(cluster, others, killed_daemon, owned, killed_at,
                    timeout_s=20):
    """Seconds from the kill until one of the owned servers was first seen as
    not usable, and until all were usable under another owner at every host of
    the host set; None for what was not seen."""
    lost_after = None
    while time.monotonic() < killed_at + timeout_s:
        views = [d.status()["services"]["s"] for d in others]
        views = [v for v in views if v["served_here"]]
        servers = [s for v in views for s in v["backend_servers"]
                   if s["name"] in owned]
        now = time.monotonic() - killed_at
        if lost_after is None and any(not s["usable"] for s in servers):
            lost_after = now
        if servers and all(s["usable"]
                           and s["owner"] not in
                           ("", killed_daemon.peer_address)
                           for s in servers):
            return lost_after, now
        time.sleep(0.02)
    return lost_after, None


def rolling(seed):
    """All 8 daemons are restarted one after the other with SIGTERM under load:
    no request fails."""
    with start_service(seed) as cluster:
        # Each shutdown takes the address lifetime (5 s) and its jitter (1.5 s).
        load = cluster.load("s", RATE_PER_S, 75, expected_shards=SHARDS)
        time.sleep(2)
        steps = []
        for daemon in cluster.daemons:
            start = time.monotonic()
            status = daemon.end(signal.SIGTERM, timeout=40)
            stop_seconds = time.monotonic() - start
            daemon.start()
            wait_until(lambda d=daemon: _is_ready(cluster, d), 30)
            steps.append({"exit": status, "stopped_s": round(stop_seconds, 2),
                          "serving_s": round(time.monotonic() - start, 2)})
        covered = load.running()
        figures = load.finish()
    return {"failed": failed_requests(figures), "bound": 0, "steps": steps,
            "load_covered_all_restarts": covered, "load": figures,
            "pass": failed_requests(figures) == 0 and covered}


def _is_ready(cluster, daemon):
    try:
        return (len(daemon.status()["hosts"]) >= len(cluster.daemons)
                and daemon.status()["revision"] == cluster.revision
                and cluster.all_servers_usable())
    except OSError:
        return False


ZONE_OUT_BOUND_S = 3
P99_RATIO_BOUND = 1.5
ZONE_LOAD = 0.6


def zone(seed):
    """An availability zone is evacuated and put back at 60% load: requests
    that reach it later than 3 s after the evacuation, p99 ratio, failed
    requests."""
    service_us = 60000
    # 60% of the capacity of the two remaining availability zones.
    rate = int(ZONE_LOAD * 2 * SLOTS * 1000000 / service_us)
    with start_service(seed, service_us) as cluster:
        before = cluster.load("s", rate, 8, expected_shards=SHARDS).finish()
        load = cluster.load("s", rate, 20, seed + 1, expected_shards=SHARDS)
        time.sleep(2)
        out_at = _set_zone(cluster, "z1", "out")
        searches, answers = _late_searches(cluster, "z1", out_at, 9)
        in_at = _set_zone(cluster, "z1", "in")
        returned_after = _time_until_searches(cluster, "z1", in_at)
        figures = load.finish()
    ratio = figures["p99_ms"] / before["p99_ms"]
    failed = failed_requests(figures)
    return {"rate": rate, "new_work_after_3_s": searches,
            "addresses_of_zone_after_3_s": answers,
            "work_back_after_s": returned_after,
            "p99_before_ms": before["p99_ms"], "p99_ms": figures["p99_ms"],
            "p99_ratio": ratio, "ratio_bound": P99_RATIO_BOUND, "failed": failed,
            "failed_bound": 0, "before": before, "load": figures,
            "pass": searches == 0 and answers == 0 and failed == 0
            and ratio <= P99_RATIO_BOUND}


def _set_zone(cluster, name, state):
    """Changes the state of an availability zone; returns the start time."""
    cluster.zone_states[name] = state
    start = time.monotonic()
    cluster.apply()
    return start


def _count_searches(cluster, name):
    return sum(call(cluster.addresses[server], "GET", "/stats")[1]["searches"]
               for server, zone_name in cluster.zone_of.items()
               if zone_name == name)


def _late_searches(cluster, name, changed_at, seconds):
    """Number of searches that reach the availability zone between 3 s and
    `seconds` after the change, and number of address lists that still contain
    one of its hosts after 3 s."""
    time.sleep(max(0, changed_at + ZONE_OUT_BOUND_S - time.monotonic()))
    before = _count_searches(cluster, name)
    hosts = {d.caller_address for d in cluster.daemons if d.zone == name}
    answers = 0
    for daemon in cluster.daemons:
        reply = call(daemon.caller_address, "GET", "/v1/addresses?service=s")[1]
        answers += any(a["address"] in hosts for a in reply["addresses"])
    time.sleep(max(0, changed_at + seconds - time.monotonic()))
    return _count_searches(cluster, name) - before, answers


def _time_until_searches(cluster, name, changed_at, timeout_s=15):
    """Seconds from the change until the availability zone is searched again;
    None if it is not searched in time."""
    before = _count_searches(cluster, name)
    while time.monotonic() < changed_at + timeout_s:
        if _count_searches(cluster, name) > before:
            return time.monotonic() - changed_at
        time.sleep(0.1)
    return None


def outage(seed, seconds=8):
    """The key-value service is down: queries are served as before,
    non-idempotent requests are refused with not_run and a configuration change
    is refused."""
    with start_service(seed) as cluster:
        before = cluster.load("s", RATE_PER_S, seconds,
                              expected_shards=SHARDS).finish()
        call(cluster.store_address, "POST", "/fault", {"down": True})
        time.sleep(1)
        during = cluster.load("s", RATE_PER_S, seconds, seed + 1,
                              expected_shards=SHARDS).finish()
        writes = cluster.load("s", 40, 4, seed + 2,
                              non_idempotent=True).finish()
        start = time.monotonic()
        status = call(cluster.daemons[0].caller_address, "POST", "/v1/config",
                      {"expected_revision": cluster.revision, "change_id": "x/1",
                       "config": cluster.document()}, timeout=20)[0]
        refused_after = time.monotonic() - start
        call(cluster.store_address, "POST", "/fault", {"down": False})
        store_failures = cluster.sum_over_daemons("mimosa_store_failures_total")
    refusals = writes["by_execution"].get("not_run", 0)
    ratio = during["p99_ms"] / before["p99_ms"]
    return {"failed_before": failed_requests(before),
            "failed_during": failed_requests(during),
            "p99_ratio": ratio, "ratio_bound": P99_RATIO_BOUND,
            "non_idempotent_sent": writes["sent"],
            "non_idempotent_not_run": refusals, "config_status": status,
            "config_refused_after_s": refused_after,
            "store_failures": store_failures, "before": before,
            "during": during, "writes": writes,
            "pass": failed_requests(during) == 0
            and refusals == writes["sent"] and status == 503
            and ratio <= P99_RATIO_BOUND}


GOODPUT_SHARE_BOUND = 0.9
REFUSAL_P99_BOUND_MS = 10


def overload(seed, seconds=6):
    """A service of the size of storm dispatch (3 backend servers with 6 slots
    and 45 connections each) under 3 times its capacity: goodput relative to
    the best goodput at lower loads, and p99 latency of refusals."""
    service_us = 20000
    capacity = 3 * SLOTS * 1000000 // service_us
    steps = {}
    with start_service(seed, service_us, servers=3, rows=1, total_shards=4,
                       warm_up=False) as cluster:
        cluster.load("s", capacity // 2, 5, seed + 100).finish()
        for factor in (0.7, 0.9, 1.0, 3.0):
            load = cluster.load("s", int(capacity * factor), seconds,
                                expected_shards=4, deadline_ms=160).finish()
            steps[factor] = {"goodput": load["whole"] / seconds, "load": load}
        over_limit = sum(s["over_limit"]
                         for s in cluster.backend_stats().values())
    best_goodput = max(step["goodput"] for step in steps.values())
    share = steps[3.0]["goodput"] / best_goodput
    refusal_p99_ms = steps[3.0]["load"]["refusal_p99_ms"]
    return {"capacity": capacity, "goodput_share": share,
            "goodput_bound": GOODPUT_SHARE_BOUND,
            "refusal_p99_ms": refusal_p99_ms,
            "refusal_bound_ms": REFUSAL_P99_BOUND_MS, "over_limit": over_limit,
            "steps": steps,
            "pass": share >= GOODPUT_SHARE_BOUND
            and refusal_p99_ms <= REFUSAL_P99_BOUND_MS and over_limit == 0}
