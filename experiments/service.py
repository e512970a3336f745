"""Group 3: service while hosts, availability zones or the store are lost."""

import signal
import time

from experiments.cluster import Cluster, call, wait_until

DAEMONS = 8
SERVERS, ROWS, SHARDS = 24, 8, 16  # 8 groups of shards, 3 replicas of each
SERVICE_US = 5000
SLOTS = 6
# Each query takes one slot of each group; 3 replicas with 6 slots serve
# 3 x 6 / 5 ms = 3,600 queries a second.
CAPACITY = 3 * SLOTS * 1000000 // SERVICE_US
RATE = 150


def start_service(seed, service_us=SERVICE_US, servers=SERVERS, rows=ROWS,
                  total_shards=SHARDS, zones=("z1", "z2", "z3"),
                  daemons=DAEMONS, warm=True, **settings):
    """A cluster of 8 daemons and one service, warmed up by load."""
    cluster = Cluster(seed, zones)
    try:
        cluster.add_service("s", servers, rows, total_shards=total_shards,
                            slots=SLOTS, processes=2 if servers % 2 == 0 else 1,
                            **settings)
        cluster.add_daemons(daemons)
        cluster.fault_all(service_us=service_us)
        cluster.start_up()
        if warm:
            cluster.load("s", RATE, 4, seed + 100).finish()
    except BaseException:
        cluster.__exit__()
        raise
    return cluster


def failures(figures):
    """Requests without a whole answer."""
    return figures["sent"] - figures["whole"]


OWNER_CRASH_BOUND_S = 5


def owner_crash(seed, seconds=14):
    """kill -9 of a daemon that owns partitions, under load: how long its backend
    servers are not usable at the others, and how many queries suffer."""
    with start_service(seed) as cluster:
        victim, owned = _largest_owner(cluster)
        others = [d for d in cluster.daemons if d is not victim]
        load = cluster.load("s", RATE, seconds, expected_shards=SHARDS,
                            daemons=others)
        time.sleep(4)
        victim.end(signal.SIGKILL)
        killed = time.monotonic()
        lost, back = _absence(cluster, others, victim, owned, killed)
        figures = load.finish()
    return {"owned": len(owned), "lost_after_s": lost, "usable_after_s": back,
            "bound_s": OWNER_CRASH_BOUND_S, "failed": failures(figures),
            "failed_per_s_of_absence": failures(figures) / back if back else None,
            "rate": RATE, "load": figures,
            "pass": back is not None and back <= OWNER_CRASH_BOUND_S}


def _largest_owner(cluster):
    """The daemon that owns most backend servers and their names."""
    owned = {}
    for daemon in cluster.daemons:
        service = daemon.status()["services"].get("s")
        if service and service["served_here"]:
            for server in service["backend_servers"]:
                owned.setdefault(server["owner"], set()).add(server["name"])
    peer = max((p for p in owned if p), key=lambda p: len(owned[p]))
    return next(d for d in cluster.daemons if d.peer == peer), owned[peer]


def _absence(cluster, others, victim, owned, killed, limit=20):
    """When the servers were first seen lost and when all were usable under
    another owner at every host of the set, in seconds after the kill."""
    lost = None
    while time.monotonic() < killed + limit:
        views = [d.status()["services"]["s"] for d in others]
        views = [v for v in views if v["served_here"]]
        servers = [s for v in views for s in v["backend_servers"]
                   if s["name"] in owned]
        now = time.monotonic() - killed
        if lost is None and any(not s["usable"] for s in servers):
            lost = now
        if servers and all(s["usable"] and s["owner"] not in ("", victim.peer)
                           for s in servers):
            return lost, now
        time.sleep(0.02)
    return lost, None


def rolling(seed):
    """All 8 daemons are restarted one after the other under load by SIGTERM: no
    request fails."""
    with start_service(seed) as cluster:
        # A shutdown takes the address lifetime (5 s) and its spread (1.5 s).
        load = cluster.load("s", RATE, 75, expected_shards=SHARDS)
        time.sleep(2)
        steps = []
        for daemon in cluster.daemons:
            start = time.monotonic()
            status = daemon.end(signal.SIGTERM, wait=40)
            stopped = time.monotonic() - start
            daemon.start()
            wait_until(lambda d=daemon: _serves(cluster, d), 30)
            steps.append({"exit": status, "stopped_s": round(stopped, 2),
                          "serving_s": round(time.monotonic() - start, 2)})
        covered = load.running()
        figures = load.finish()
    return {"failed": failures(figures), "bound": 0, "steps": steps,
            "load_covered_all_restarts": covered, "load": figures,
            "pass": failures(figures) == 0 and covered}


def _serves(cluster, daemon):
    try:
        return (len(daemon.status()["hosts"]) >= len(cluster.daemons)
                and daemon.status()["revision"] == cluster.revision
                and cluster.usable_everywhere())
    except OSError:
        return False


ZONE_OUT_BOUND_S = 3
P99_RATIO_BOUND = 1.5
ZONE_LOAD = 0.6


def zone(seed):
    """An availability zone goes out and back at 60% load: new work there later
    than 3 s after the change, p99 ratio, failed requests."""
    service_us = 60000
    # At 60% of what the two remaining availability zones bear.
    rate = int(ZONE_LOAD * 2 * SLOTS * 1000000 / service_us)
    with start_service(seed, service_us) as cluster:
        before = cluster.load("s", rate, 8, expected_shards=SHARDS).finish()
        load = cluster.load("s", rate, 20, seed + 1, expected_shards=SHARDS)
        time.sleep(2)
        out = _set_zone(cluster, "z1", "out")
        late, answers = _late_work(cluster, "z1", out, 9)
        back = _set_zone(cluster, "z1", "in")
        returned = _work_returns(cluster, "z1", back)
        figures = load.finish()
    ratio = figures["p99_ms"] / before["p99_ms"]
    failed = failures(figures)
    return {"rate": rate, "new_work_after_3_s": late,
            "addresses_of_zone_after_3_s": answers, "work_back_after_s": returned,
            "p99_before_ms": before["p99_ms"], "p99_ms": figures["p99_ms"],
            "p99_ratio": ratio, "ratio_bound": P99_RATIO_BOUND, "failed": failed,
            "failed_bound": 0, "before": before, "load": figures,
            "pass": late == 0 and answers == 0 and failed == 0
            and ratio <= P99_RATIO_BOUND}


def _set_zone(cluster, name, state):
    cluster.zone_state[name] = state
    start = time.monotonic()
    cluster.apply()
    return start


def _searches(cluster, name):
    return sum(call(cluster.addresses[server], "GET", "/stats")[1]["searches"]
               for server, where in cluster.zone_of.items() if where == name)


def _late_work(cluster, name, changed, watch):
    """Searches in the availability zone from 3 s after the change on, and
    address answers that still name one of its hosts."""
    time.sleep(max(0, changed + ZONE_OUT_BOUND_S - time.monotonic()))
    before = _searches(cluster, name)
    hosts = {d.caller for d in cluster.daemons if d.zone == name}
    answers = 0
    for daemon in cluster.daemons:
        reply = call(daemon.caller, "GET", "/v1/addresses?service=s")[1]
        answers += any(a["address"] in hosts for a in reply["addresses"])
    time.sleep(max(0, changed + watch - time.monotonic()))
    return _searches(cluster, name) - before, answers


def _work_returns(cluster, name, changed, limit=15):
    before = _searches(cluster, name)
    while time.monotonic() < changed + limit:
        if _searches(cluster, name) > before:
            return time.monotonic() - changed
        time.sleep(0.1)
    return None


def outage(seed, seconds=8):
    """The key-value service is down: queries as before, non-idempotent requests
    refused with not_run, a change of configuration refused."""
    with start_service(seed) as cluster:
        before = cluster.load("s", RATE, seconds,
                              expected_shards=SHARDS).finish()
        call(cluster.store_address, "POST", "/fault", {"down": True})
        time.sleep(1)
        during = cluster.load("s", RATE, seconds, seed + 1,
                              expected_shards=SHARDS).finish()
        writes = cluster.load("s", 40, 4, seed + 2,
                              non_idempotent=True).finish()
        start = time.monotonic()
        status = call(cluster.daemons[0].caller, "POST", "/v1/config",
                      {"expected_revision": cluster.revision, "change_id": "x/1",
                       "config": cluster.document()}, timeout=20)[0]
        refused_after = time.monotonic() - start
        call(cluster.store_address, "POST", "/fault", {"down": False})
        failures_counted = cluster.daemon_sum("mimosa_store_failures_total")
    refused = writes["by_execution"].get("not_run", 0)
    ratio = during["p99_ms"] / before["p99_ms"]
    return {"failed_before": failures(before), "failed_during": failures(during),
            "p99_ratio": ratio, "ratio_bound": P99_RATIO_BOUND,
            "non_idempotent_sent": writes["sent"],
            "non_idempotent_not_run": refused, "config_status": status,
            "config_refused_after_s": refused_after,
            "store_failures": failures_counted, "before": before,
            "during": during, "writes": writes,
            "pass": failures(during) == 0 and refused == writes["sent"]
            and status == 503 and ratio <= P99_RATIO_BOUND}


GOODPUT_BOUND = 0.9
REFUSAL_BOUND_MS = 10


def overload(seed, seconds=6):
    """Storm dispatch (3 backend servers, 6 slots, 45 connections) under 3 times
    what its slots serve: goodput against the best of lower loads, and the time
    until a refusal arrives."""
    service_us = 20000
    capacity = 3 * SLOTS * 1000000 // service_us
    steps = {}
    with start_service(seed, service_us, servers=3, rows=1, total_shards=4,
                       warm=False) as cluster:
        cluster.load("s", capacity // 2, 5, seed + 100).finish()
        for factor in (0.7, 0.9, 1.0, 3.0):
            load = cluster.load("s", int(capacity * factor), seconds,
                                expected_shards=4, deadline_ms=160).finish()
            steps[factor] = {"goodput": load["whole"] / seconds, "load": load}
        over = sum(s["over_limit"] for s in cluster.backend_stats().values())
    best = max(step["goodput"] for step in steps.values())
    share = steps[3.0]["goodput"] / best
    refusal = steps[3.0]["load"]["refusal_p99_ms"]
    return {"capacity": capacity, "goodput_share": share,
            "goodput_bound": GOODPUT_BOUND, "refusal_p99_ms": refusal,
            "refusal_bound_ms": REFUSAL_BOUND_MS, "over_limit": over,
            "steps": steps,
            "pass": share >= GOODPUT_BOUND and refusal <= REFUSAL_BOUND_MS
            and over == 0}
