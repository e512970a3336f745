"""A searcher that is gone gets requests for longer than drainMs after a cut from the store.

A host is cut off from the store for 5.5 s. 1.7 s after the cut the entry of a searcher is
removed; the searcher goes on to serve for drainMs and a little longer. The host knows of
the removal at once, but treats it as an effect of the cut for longer than drainMs.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from stand_ins import (CONTACT_S, DRAIN_S, TROUBLE, EntryHost, Record, Searcher, Store,  # noqa: E402
                       configuration, finish, request, route)

CUT_S = 5.5
REMOVED_AFTER_S = 1.7
#: A request that was sent to the searcher in time has reached it by then.
ON_THE_WAY_S = 0.05

record = Record(FOLDER / "record.txt")
store = Store(record)
searchers = [Searcher("repartition", f"i-{n}", record, slots=6) for n in range(3)]
for each in searchers:
    store.put("servers/" + each.name, each.entry())
store.put("op/config", configuration(1, [route("outage-sweep", "/sweep/", "repartition",
                                               timeout_ms=1200, target_ms=200)]))
host = EntryHost("front-1", store.address, record)
host.start()
host.wait_ready()
time.sleep(CONTACT_S)

done = threading.Event()


def call(caller: int) -> None:
    number = 0
    while not done.is_set():
        number += 1
        request(host.caller_address, "GET", f"/sweep/{caller}/{number}", record, b"", 1200)
        time.sleep(0.02)


if TROUBLE:
    store.cut_off = True
    record("the host is cut off from the store")
time.sleep(CUT_S)
store.cut_off = False
record("the cut ends")
for caller in range(4):
    threading.Thread(target=call, args=(caller,), daemon=True).start()
time.sleep(REMOVED_AFTER_S)
leaver = searchers[0]
removed_at = time.monotonic()
store.remove("servers/" + leaver.name)
record(f"searcher {leaver.name}: its entry is removed")
time.sleep(DRAIN_S + 3)
done.set()
time.sleep(0.5)
late = [at - removed_at for at, _ in leaver.runs if at > removed_at + DRAIN_S + ON_THE_WAY_S]
finish(record, bool(late), f"{len(late)} requests reached {leaver.name} later than {DRAIN_S:.0f} s "
       f"after the store confirmed that it is gone, the last one after "
       f"{max(late, default=0):.2f} s")
