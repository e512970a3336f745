"""Late second copies of declines, beside requests of kind `unsafe`."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from client import PROMISES, Client, Record, run  # noqa: E402
from searcher import Searcher  # noqa: E402
from small_deployment import Deployment  # noqa: E402

from platform_stand_in import Store, configuration  # noqa: E402

#: The largest dose of saules-recherche that fits: garble, how = "extra late across",
#: share 0.5, x = 0.04, 5 s (trouble-1). Half of the searchers are troubled.
DOUBLE_SHARE = 0.04
DOUBLE_S = 5.0
EPISODES = 6
PAUSE_S = 3.0
#: 6 machines in 3 zones, as on the site. One caller is connected to each.
ZONES = ["z1", "z1", "z1", "z2", "z2", "z3"]


async def play(trouble: bool, record: Record) -> bool:
    store = Store()
    troubled = Searcher("orders", "i-orders", record, slots=1, queue=1, work_s=0.01)
    servers = [troubled, Searcher("stock", "i-stock", record, slots=1, queue=1, work_s=0.01)]
    deployment = Deployment(store.address, ZONES)
    attempts: dict[str, int] = {}
    try:
        for server in servers:
            await server.start()
            store.put(f"servers/{server.name}", server.entry())
        routes = [{"name": f"r-{service}", "host": "shop.example", "prefix": f"/{service}/",
                   "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 1,
                   "service": service, "maxAttempts": 2}
                  for service, kind in [("orders", "unsafe"), ("stock", "safe")]]
        store.put("op/config", configuration(1, routes, ["orders", "stock"]))
        await asyncio.to_thread(deployment.start)
        stopped = asyncio.Event()

        async def caller(address: str) -> None:
            client = Client(record, [address])
            while not stopped.is_set():
                attempt, status, _ = await client.request(
                    "POST", "/orders/new", "shop.example", b"one order", 4000)
                attempts[attempt] = status
                await asyncio.sleep(0.005)
            client.close()

        callers = [asyncio.create_task(caller(host.front)) for host in deployment.hosts]
        await asyncio.sleep(3)
        for _ in range(EPISODES):
            troubled.double_share = DOUBLE_SHARE if trouble else 0.0
            await asyncio.sleep(DOUBLE_S)
            troubled.double_share = 0.0
            await asyncio.sleep(PAUSE_S)
        stopped.set()
        await asyncio.gather(*callers)
        await asyncio.sleep(0.5)
    finally:
        await asyncio.to_thread(deployment.end)
    runs: dict[str, int] = {}
    for server in servers:
        for attempt, count in server.runs.items():
            runs[attempt] = runs.get(attempt, 0) + count
    twice = [a for a, count in runs.items() if count > 1]
    refused = [a for a, status in attempts.items() if status in PROMISES and a in runs]
    statuses = {s: list(attempts.values()).count(s) for s in sorted(set(attempts.values()))}
    record("summary", requests=len(attempts), statuses=statuses, ran=len(runs),
           declined=sum(s.declined for s in servers), doubled=sum(s.doubled for s in servers))
    for attempt in twice:
        record("TWICE", attempt=attempt, runs=runs[attempt])
    for attempt in refused:
        record("REFUSED", attempt=attempt, status=attempts[attempt])
    if not runs:
        raise RuntimeError("no request has run")
    return bool(twice or refused)


if __name__ == "__main__":
    run(play)
