"""A request that crashes the searchers which run it, beside one rolling restart."""

import asyncio
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from client import Client, Record, run  # noqa: E402
from searcher import Searcher  # noqa: E402
from small_deployment import Deployment  # noqa: E402

from platform_stand_in import Store, configuration  # noqa: E402

CONTACT_S = 4.0
GRACE_S = 6.0
#: A crashed searcher is back after this time.
BACK_S = 3.0
#: The request comes again this often, at any machine.
REPEAT_S = 1.8
#: Each host is stopped this long after the one before it was started again.
GAP_S = 9.0
#: Its requester keeps the directory's answer for ttl_max_s, and so does not know a host
#: that was started later.
ADDRESSES_S = 5.0
DEADLINE_MS = 2000


async def play(trouble: bool, record: Record) -> bool:
    store = Store()
    servers = [Searcher("orders", f"i-{n}", record, slots=3, queue=12, work_s=0.05)
               for n in range(6)]
    deployment = Deployment(store.address, ["z1", "z1", "z1", "z2", "z2", "z3"])
    hosts = {host.front: host for host in deployment.hosts}
    #: Times since which a host has not been stopped or started.
    calm_since: dict[str, float] = {}
    crashes: list[float] = []
    #: Attempts that reached a searcher: when they were sent, and by which host.
    reached: list[tuple[float, str, bool]] = []
    ordinary = {"sent": 0, "served": 0, "lost": 0}
    stopping: set[str] = set()
    stopped = asyncio.Event()

    async def bring_back(server: Searcher) -> None:
        await asyncio.sleep(BACK_S)
        server.born += int(BACK_S * 1000)
        server.sequence = 0
        await server.start()
        store.put(f"servers/{server.name}", server.entry())

    def crashed(server: Searcher) -> None:
        crashes.append(time.monotonic())
        record("crashed", server=server.name)
        tasks.append(asyncio.create_task(bring_back(server)))

    async def poison() -> None:
        while not stopped.is_set():
            sent_at = time.monotonic()
            client = Client(record, [a for a in hosts if a not in stopping
                                     and sent_at - calm_since[a] >= ADDRESSES_S])
            attempt, status, _ = await client.request(
                "GET", "/orders/poison", "shop.example", b"", DEADLINE_MS)
            client.close()
            if any(attempt in server.runs for server in servers):
                in_touch = (client.host not in stopping
                            and sent_at - calm_since[client.host] >= CONTACT_S)
                reached.append((sent_at, client.host, in_touch))
                record("reached", attempt=attempt, host=client.host, in_touch=in_touch,
                       crashes=len(crashes))
            await asyncio.sleep(REPEAT_S)

    async def others() -> None:
        while not stopped.is_set():
            client = Client(record, [a for a in hosts if a not in stopping])
            ordinary["sent"] += 1
            attempt, status, _ = await client.request(
                "POST", f"/orders/new/{ordinary['sent']}", "shop.example", b"", DEADLINE_MS)
            ordinary["served"] += status == 200
            # It began to run, and may not be sent again.
            ordinary["lost"] += status != 200 and any(attempt in s.runs for s in servers)
            client.close()
            await asyncio.sleep(random.uniform(0.02, 0.08))

    async def restart(address: str) -> None:
        host = hosts[address]
        stopping.add(address)
        record("stop", host=address)
        host.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_S
        while not host.ended() and time.monotonic() < end:
            await asyncio.sleep(0.05)
        await asyncio.to_thread(host.kill)
        host.start()
        calm_since[address] = time.monotonic()
        await asyncio.to_thread(host.wait_ready)
        stopping.discard(address)
        record("started", host=address)

    tasks: list[asyncio.Task[None]] = []
    try:
        for server in servers:
            server.crash_word, server.crashed = "/orders/poison", crashed
            await server.start()
            store.put(f"servers/{server.name}", server.entry())
        routes = [{"name": f"r-{kind}", "host": "shop.example", "prefix": prefix, "kind": kind,
                   "timeoutMs": DEADLINE_MS, "targetLatencyMs": 300, "priority": 1,
                   "service": "orders", "maxAttempts": 2}
                  for prefix, kind in [("/orders/", "safe"), ("/orders/new/", "unsafe")]]
        store.put("op/config", configuration(1, routes, ["orders"]))
        await asyncio.to_thread(deployment.start)
        for address in hosts:
            calm_since[address] = time.monotonic()
        await asyncio.sleep(CONTACT_S + 1)
        callers = [asyncio.create_task(poison()), *(asyncio.create_task(others()) for _ in range(6))]
        await asyncio.sleep(6)
        for address in hosts:
            if trouble:
                await restart(address)
            else:
                await asyncio.sleep(4)
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(14)
        stopped.set()
        await asyncio.gather(*callers)
        for task in tasks:
            task.cancel()
    finally:
        await asyncio.to_thread(deployment.end)
    if len(crashes) < 3:
        raise RuntimeError("the request crashed fewer than three searchers")
    late = [each for each in reached if each[2] and each[0] > crashes[2] + CONTACT_S]
    record("summary", crashes=len(crashes), reached=len(reached), late_retries=len(late),
           ordinary=ordinary)
    record("BROKEN" if len(late) > 3 else "held", rule="BUDGET", late_retries=len(late))
    return len(late) > 3


if __name__ == "__main__":
    run(play)
