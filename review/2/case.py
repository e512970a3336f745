"""A change between two pages of a listing is lost until the next change of its key.

The store holds 700 searchers, so that a listing has two pages. While a host starts,
the store is slow. Between the two pages the operator confirms version 2, and then a
searcher of the second page reports that it is draining. The host lists the report, and
takes its revision for that up to which it knows all changes.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from stand_ins import (STORE_ANSWER_S, TROUBLE, EntryHost, Record, Searcher, Store,  # noqa: E402
                       cannot_run, configuration, finish, request, route)

SEARCHERS = 700
#: 60 times the usual time of an answer.
SLOW_ANSWER_S = 60 * STORE_ANSWER_S
#: The longest bounds of the installations: contactMs and configApplyMs of the large one.
CONTACT_S = 6.0
CONFIG_APPLY_S = 6.0
REQUESTS = 20

record = Record(FOLDER / "record.txt")
store = Store(record)
searcher = Searcher("facturation", "i-0000", record)
store.put("servers/i-0000", searcher.entry())


def other_entry(number: int, **changes: object) -> dict[str, object]:
    return {"service": f"repartition-{number % 230}", "address": "127.0.0.1:9",
            "zone": "poste-nord", "version": "v1", "slots": 7, "state": "ready", "coldLeftMs": 0,
            "sequence": 1, "born": searcher.born, **changes}


for n in range(1, SEARCHERS):
    store.put(f"servers/i-{n:04d}", other_entry(n))
first = [route("meter-history", "/meter/", "facturation")]
store.put("op/config", configuration(1, first))

changed = threading.Event()


def change_later() -> None:
    time.sleep(0.05)
    revision = store.put("op/config", configuration(
        2, first + [route("tariff", "/tariff/", "facturation")]))
    record(f"operator: version 2 is confirmed with revision {revision}")
    last = SEARCHERS - 1
    revision = store.put(f"servers/i-{last:04d}", other_entry(last, state="draining", sequence=2))
    record(f"searcher i-{last:04d}: reports draining, revision {revision}")
    changed.set()


def after_page(first_item: int) -> None:
    if first_item == 0 and not changed.is_set():
        store.after_page = lambda _: None
        threading.Thread(target=change_later).start()


store.after_page = after_page
if TROUBLE:
    store.answer_s = SLOW_ANSWER_S
    record(f"store: each call takes {SLOW_ANSWER_S:.3f} s")
host = EntryHost("front-1", store.address, record)
host.start()
host.wait_ready()
if not changed.wait(5):
    cannot_run("the host has not listed the store")
store.answer_s = STORE_ANSWER_S
record("store: as fast as usual")
time.sleep(CONTACT_S + CONFIG_APPLY_S + 1)

old, new = [], []
for n in range(REQUESTS):
    old.append(request(host.caller_address, "GET", f"/meter/{n}", record).status)
    new.append(request(host.caller_address, "GET", f"/tariff/{n}", record).status)
    time.sleep(0.2)
record(f"statuses on the route of version 1: {old}, on the route of version 2: {new}")
if any(status != 200 for status in old):
    cannot_run("the host does not serve")
finish(record, 404 in new, f"{new.count(404)} of {REQUESTS} requests on the route of version 2 "
       f"are refused with 404, from {CONTACT_S + CONFIG_APPLY_S + 1:.0f} s after its confirmation")
