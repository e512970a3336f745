"""One searcher that sends bytes without end takes the memory of the hosts.

One of three searchers of a service begins its answers as usual, with a body in chunks,
and then sends bytes that are no chunk until its caller closes the connection. The
platform ends a process that uses more memory than its machine has, and starts it again.
"""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from stand_ins import (CONTACT_S, MEMORY_MB, TROUBLE, EntryHost, Handler, KeptCaller,  # noqa: E402
                       Record, Searcher, Store, configuration, finish, passed_on, request, route)

HOSTS = 2
#: Requests without an answer that the rule allows.
MAX_LOST = 3
#: The script ends after as many ends of each process.
MAX_ENDS = 3
RUN_S = 40.0
#: Work of a request at a sound searcher, as long as that of meter-history.
WORK_S = 0.22
KEPT_CALLERS = 6
RESTART_DELAY_S = 0.5
#: 1,000 Mbit/s, the link of a machine, for all connections of the searcher together.
BLOCK = b"a" * 125_000
BLOCK_S = 0.001


class EndlessSearcher(Searcher):
    endless = False
    _next_block_at = 0.0
    _lock = threading.Lock()

    def _await_link(self) -> None:
        with self._lock:
            at = max(self._next_block_at, time.monotonic())
            self._next_block_at = at + BLOCK_S
        time.sleep(max(0.0, at - time.monotonic()))

    def answer(self, request: Handler, attempt_id: str, body: bytes) -> None:
        if not self.endless:
            return super().answer(request, attempt_id, body)
        self.begin_run(attempt_id, request)
        request.wfile.write((f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.stamp(attempt_id)}\r\n"
                             f"Attempt-Id: {attempt_id}\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "5\r\nhello\r\n").encode())
        begin = time.monotonic()
        blocks = 0
        try:
            while True:
                self._await_link()
                request.wfile.write(BLOCK)
                blocks += 1
        except OSError:
            self.record(f"searcher {self.name}: its caller closes after "
                        f"{blocks * len(BLOCK) / 1e6:.0f} MB, {time.monotonic() - begin:.2f} s")
        request.close_connection = True
        return None


record = Record(FOLDER / "record.txt")
store = Store(record)
faulty = EndlessSearcher("facturation", "i-0", record)
sound = [Searcher("facturation", f"i-{n}", record) for n in (1, 2)]
sound += [Searcher("guichet", f"i-{n}", record) for n in (3, 4, 5)]
for each in sound:
    each.work_s = WORK_S
for each in [faulty, *sound]:
    store.put("servers/" + each.name, each.entry())
store.put("op/config", configuration(1, [
    route("meter-history", "/meter/", "facturation", "unsafe"),
    route("accounts", "/accounts/", "guichet", "unsafe")]))
hosts = [EntryHost(f"front-{n}", store.address, record) for n in range(HOSTS)]
ends = {host.name: 0 for host in hosts}
peaks = {host.name: 0.0 for host in hosts}
for host in hosts:
    host.start()
for host in hosts:
    host.wait_ready()
time.sleep(CONTACT_S)

done = threading.Event()


def watch_memory(host: EntryHost) -> None:
    """Does what the platform does with a process of a machine."""
    while not done.is_set():
        used_mb = host.resident_mb()
        peaks[host.name] = max(peaks[host.name], used_mb)
        if used_mb > MEMORY_MB:
            host.process.send_signal(signal.SIGKILL)
            host.process.wait()
        if not host.running() and not done.is_set():
            ends[host.name] += 1
            record(f"host {host.name}: ended, used {used_mb:.0f} MB of {MEMORY_MB} MB")
            time.sleep(RESTART_DELAY_S)
            host.start()
        time.sleep(0.01)


def call(host: EntryHost, caller: int) -> None:
    number = 0
    while not done.is_set():
        number += 1
        request(host.caller_address, "POST", f"/meter/{caller}/{number}", record, b"x")
        time.sleep(0.1)


kept = [KeptCaller(host.caller_address, "/accounts/2f", record, done)
        for host in hosts for _ in range(KEPT_CALLERS)]
for caller in kept:
    caller.start()
time.sleep(2 * WORK_S + 0.5)
faulty.endless = TROUBLE
for host in hosts:
    threading.Thread(target=watch_memory, args=(host,), daemon=True).start()
    for caller_number in range(2):
        threading.Thread(target=call, args=(host, caller_number), daemon=True).start()
end = time.monotonic() + RUN_S
while time.monotonic() < end and min(ends.values()) < MAX_ENDS:
    time.sleep(0.1)
done.set()
time.sleep(WORK_S + 0.3)
lost = passed_on(kept, sound)
finish(record, lost > MAX_LOST,
       f"{lost} requests that sound searchers were running on kept connections got no answer, "
       f"{sum(caller.answered for caller in kept)} were answered; ends of the processes by "
       f"themselves: {ends}; most memory used, MB: "
       f"{ {name: round(mb) for name, mb in peaks.items()} }")
