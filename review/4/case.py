"""One unreadable entry in the store ends the processes of all hosts, again and again.

Another writer puts an entry under servers/ whose field "service" is of another type: a
list of lists. Each host ends with a fault of its memory when it reads it. The platform
starts the processes again, and they end again when they list the store.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from stand_ins import (CONTACT_S, TROUBLE, EntryHost, KeptCaller, Record,  # noqa: E402
                       Searcher, Store, configuration, finish, passed_on, route)

HOSTS = 2
#: Requests without an answer that the rule allows.
MAX_LOST = 3
#: The script ends after as many ends of each process.
MAX_ENDS = 3
#: Work of a request at a searcher, as long as that of meter-history.
WORK_S = 0.22
KEPT_CALLERS = 6
RUN_S = 20.0
RESTART_DELAY_S = 0.5
DEPTH = 100_000
#: The limit of a value in the store (platform.maxValueBytes).
MAX_VALUE_BYTES = 1_048_576

record = Record(FOLDER / "record.txt")
store = Store(record)
searchers = [Searcher("facturation", f"i-{n}", record) for n in range(4)]
for each in searchers:
    each.work_s = WORK_S
    store.put("servers/" + each.name, each.entry())
store.put("op/config", configuration(1, [route("meter-history", "/meter/", "facturation",
                                               "unsafe")]))
hosts = [EntryHost(f"front-{n}", store.address, record) for n in range(HOSTS)]
ends = {host.name: 0 for host in hosts}
codes = {host.name: [] for host in hosts}
for host in hosts:
    host.start()
for host in hosts:
    host.wait_ready()
time.sleep(CONTACT_S)

done = threading.Event()


def keep_running(host: EntryHost) -> None:
    """Does what the platform does with a process that has ended."""
    while not done.is_set():
        if not host.running():
            ends[host.name] += 1
            codes[host.name].append(host.process.returncode)
            record(f"host {host.name}: ended by itself, status {host.process.returncode}")
            time.sleep(RESTART_DELAY_S)
            if not done.is_set():
                host.start()
        time.sleep(0.02)


for host in hosts:
    threading.Thread(target=keep_running, args=(host,), daemon=True).start()
kept = [KeptCaller(host.caller_address, "/meter/2f", record, done)
        for host in hosts for _ in range(KEPT_CALLERS)]
for caller in kept:
    caller.start()
time.sleep(2 * WORK_S + 0.5)
if TROUBLE:
    entry = b'{"service":' + b"[" * DEPTH + b"]" * DEPTH + b',"sequence":1}'
    assert len(entry) < MAX_VALUE_BYTES
    revision = store.put("servers/i-other", entry)
    record(f"another writer: puts servers/i-other, {len(entry)} bytes, revision {revision}")
end = time.monotonic() + RUN_S
while time.monotonic() < end and min(ends.values()) < MAX_ENDS:
    time.sleep(0.1)
done.set()
time.sleep(WORK_S + 0.3)
lost = passed_on(kept, searchers)
finish(record, lost > MAX_LOST,
       f"{lost} requests that sound searchers were running on kept connections got no answer, "
       f"{sum(caller.answered for caller in kept)} were answered; ends of the processes by "
       f"themselves: {ends}, with status {codes}")
