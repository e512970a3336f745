"""Searchers that decline requests for some seconds, and the service afterwards."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from client import Client, Record, run  # noqa: E402
from searcher import Searcher  # noqa: E402
from small_deployment import Deployment  # noqa: E402

from platform_stand_in import Store, configuration  # noqa: E402

#: The largest dose of the site file: srv_grey, how = "shed", x = 0.6, 9 s (trouble and scale
#: days of saules-recherche); `all` is a variant that `fleetbench kinds` lists.
SHED_SHARE = 0.6
SHED_S = 9.0
EPISODES = 2
PAUSE_S = 4.0
CONTACT_S = 4.0
STEADY_S = 20.0
REQUESTS_PER_S = 200.0
TIMEOUT_MS = 4000
FIRST, ADDED = "stock", "orders"


async def play(trouble: bool, record: Record) -> bool:
    store = Store()
    servers = [Searcher(FIRST, f"i-{FIRST}-{n}", record, slots=3, queue=12, work_s=0.005)
               for n in range(3)]
    servers.append(Searcher(ADDED, f"i-{ADDED}", record, slots=3, queue=12, work_s=0.005))
    deployment = Deployment(store.address, ["z1", "z2", "z3"])
    begin = time.monotonic()
    #: Route, time of the first attempt and whether the request was served.
    outcomes: list[tuple[str, float, bool]] = []

    async def send(service: str) -> None:
        """One request, with one retry at a random host, as the requesters of the site do."""
        sent_at = time.monotonic()
        for _ in range(2):
            left_ms = TIMEOUT_MS - int((time.monotonic() - sent_at) * 1000)
            if left_ms < 50:
                break
            client = Client(record, [host.front for host in deployment.hosts])
            _, status, _ = await client.request("GET", f"/{service}/1", "shop.example", b"",
                                                left_ms)
            client.close()
            if status == 200:
                break
        outcomes.append((service, sent_at, status == 200))

    try:
        for server in servers:
            await server.start()
            store.put(f"servers/{server.name}", server.entry())
        routes = [{"name": f"r-{service}", "host": "shop.example", "prefix": f"/{service}/",
                   "kind": "safe", "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 600,
                   "priority": 1, "service": service, "maxAttempts": 2}
                  for service in (FIRST, ADDED)]
        store.put("op/config", configuration(1, routes[:1], [FIRST]))
        await asyncio.to_thread(deployment.start)
        store.put("op/config", configuration(2, routes, [FIRST, ADDED]))
        await asyncio.sleep(4)
        begin = time.monotonic()
        calm_from = begin + 3 + EPISODES * (SHED_S + PAUSE_S)
        requests = []
        while (now := time.monotonic()) < calm_from + CONTACT_S + STEADY_S:
            episode, at = divmod(now - begin - 3, SHED_S + PAUSE_S)
            sheds = trouble and 0 <= episode < EPISODES and at < SHED_S
            if (servers[-1].shed_share > 0) != sheds:
                record("sheds" if sheds else "sheds_no_more", server=servers[-1].name)
            servers[-1].shed_share = SHED_SHARE if sheds else 0.0
            service = ADDED if random.random() < 0.8 else FIRST
            requests.append(asyncio.create_task(send(service)))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*requests)
    finally:
        await asyncio.to_thread(deployment.end)
    shares = {}
    for service in (FIRST, ADDED):
        for name, since in [("all", begin), ("steady", calm_from + CONTACT_S)]:
            served = [ok for s, at, ok in outcomes if s == service and at >= since]
            shares[service, name] = sum(served) / len(served)
            record("summary", route=f"r-{service}", time=name, requests=len(served),
                   served=f"{shares[service, name]:.3f}")
    broken = shares[ADDED, "steady"] < shares[FIRST, "steady"] / 4
    record("BROKEN" if broken else "held", rule="CONFIG")
    return broken


if __name__ == "__main__":
    run(play)
