"""Starts and stops stand-ins and daemons on loopback and reads their figures."""

import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
LOGS = ROOT / "build" / "experiment"
TICKS = os.sysconf("SC_CLK_TCK")
# Below the range from which the kernel takes ports of outgoing connections.
FIRST_PORT, LAST_PORT = 11000, 31000


def free_ports(count):
    """The first of `count` consecutive free ports."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        if all(_is_free(first + i) for i in range(count)):
            return first


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def call(address, method, path, body=None, timeout=5):
    """One HTTP exchange: (status, parsed JSON or text)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data)
        reply = connection.getresponse()
        text = reply.read().decode()
        try:
            return reply.status, json.loads(text)
        except ValueError:
            return reply.status, text
    finally:
        connection.close()


class Process:
    """A started program; it logs to a file under build/experiment."""

    def __init__(self, name, program, arguments):
        LOGS.mkdir(parents=True, exist_ok=True)
        self.log = LOGS / f"{name}.log"
        self.command = [BUILD / program, *map(str, arguments)]
        self.log.write_text("")
        self.start()

    def start(self):
        """Starts the program; after end(), starts it once more."""
        with open(self.log, "a") as out:
            self.child = subprocess.Popen(self.command, stdout=out, stderr=out)

    def processor_seconds(self):
        """User and system time so far."""
        fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text()
        fields = fields.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def resident_mb(self):
        """Resident memory in MB (10^6 bytes)."""
        text = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) * 1024 / 1e6

    def running(self):
        return self.child.poll() is None

    def end(self, how=signal.SIGKILL, wait=30):
        """Signals the process and waits for its end; its exit status."""
        if self.running():
            self.child.send_signal(how)
        return self.child.wait(wait)


class Daemon(Process):
    """A mimosad."""

    def __init__(self, name, zone, region, caller, peer, store, seeds, extra):
        self.zone, self.caller, self.peer = zone, caller, peer
        super().__init__(name, "mimosad", [
            "--caller-address", caller, "--peer-address", peer, "--zone", zone,
            "--region", region, "--store-address", store, "--seeds",
            ",".join(seeds), *extra])

    def status(self):
        return call(self.caller, "GET", "/v1/status")[1]

    def metrics(self):
        """Values by series name with labels, as in the Prometheus text."""
        text = call(self.caller, "GET", "/metrics")[1]
        out = {}
        for line in str(text).splitlines():
            if line and not line.startswith("#"):
                series, value = line.rsplit(" ", 1)
                out[series] = float(value)
        return out


def total(metrics, name, *labels):
    """Sum of the series `name` whose labels contain all of `labels`."""
    return sum(value for series, value in metrics.items()
               if series.split("{")[0] == name
               and all(label in series for label in labels))


class Cluster:
    """One key-value service, backend servers and daemons; use with `with`."""

    def __init__(self, seed, zones=("z1", "z2", "z3")):
        self.seed, self.zones = seed, list(zones)
        self.zone_state = {zone: "in" for zone in zones}
        self.daemons, self.backends, self.services = [], [], {}
        self.revision = 0
        self.store_address = f"127.0.0.1:{free_ports(1)}"
        self.store = Process("kv", "mimosa-kv", ["--listen", self.store_address])
        self.addresses = {}  # backend server name -> address
        self.zone_of = {}
        wait_until(lambda: reachable(self.store_address), 10)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in [*self.daemons, *self.backends, self.store]:
            if process.running():
                process.child.kill()
        for process in [*self.daemons, *self.backends, self.store]:
            process.child.wait()

    def add_service(self, name, count, rows, slots=6, connections=45,
                    total_shards=64, processes=1, **settings):
        """Starts `count` backend servers; `rows` neighbours hold all shards.

        The replicas of a row lie in different availability zones."""
        assert count % processes == 0
        each = count // processes
        servers = []
        for part in range(processes):
            first = self._start_backends(f"{name}-{part}", each, part * each,
                                         rows, slots, connections, total_shards)
            for i in range(each):
                index = part * each + i
                zone = self.zones[(index % rows + index // rows)
                                  % len(self.zones)]
                servers.append(self._server(name, index, first + i, zone, slots,
                                            connections))
        self.services[name] = {"name": name, "backend_servers": servers,
                               **settings}

    def add_small_services(self, count, servers_each=3, slots=6,
                           connections=45):
        """Services whose backend servers hold all shards; one process serves
        them all, which keeps the number of processes low."""
        first = self._start_backends("small", count * servers_each, 0, 1, slots,
                                     connections, 4)
        for number in range(count):
            name = f"s{number}"
            port = first + number * servers_each
            self.services[name] = {"name": name, "backend_servers": [
                self._server(name, i, port + i, self.zones[i % len(self.zones)],
                             slots, connections) for i in range(servers_each)]}

    def _start_backends(self, name, count, first_index, rows, slots,
                        connections, total_shards):
        """One process with `count` backend servers; the first port."""
        first = free_ports(count)
        self.backends.append(Process(
            f"backend-{name}", "mimosa-backend",
            ["--first-port", first, "--count", count, "--first-index",
             first_index, "--rows", rows, "--total-shards", total_shards,
             "--slots", slots, "--connections", connections]))
        last = f"127.0.0.1:{first + count - 1}"
        wait_until(lambda: reachable(last), 15)
        return first

    def _server(self, service, index, port, zone, slots, connections):
        name, address = f"{service}-{index}", f"127.0.0.1:{port}"
        self.addresses[name] = address
        self.zone_of[name] = zone
        return {"name": name, "address": address, "zone": zone, "slots": slots,
                "connections": connections}

    def add_daemons(self, count, extra=()):
        """Starts `count` more daemons, spread over the availability zones."""
        first = free_ports(2 * count)
        start = len(self.daemons)
        new_peers = [f"127.0.0.1:{first + 2 * i + 1}" for i in range(count)]
        seeds = [d.peer for d in self.daemons[:3]] + new_peers[:3]
        for i in range(count):
            self.daemons.append(Daemon(
                f"daemon-{start + i}", self.zones[(start + i) % len(self.zones)],
                "r1", f"127.0.0.1:{first + 2 * i}", new_peers[i],
                self.store_address, [s for s in seeds if s != new_peers[i]],
                ["--random-seed", self.seed * 1000 + start + i + 1, *extra]))
        wait_until(lambda: all(reachable(d.caller) for d in self.daemons), 30)
        wait_until(lambda: all(total(d.metrics(), "mimosa_members")
                               == len(self.daemons)
                               for d in self.daemons), 120)

    def document(self):
        return {"regions": [{"name": "r1", "zones": [
            {"name": zone, "state": state}
            for zone, state in self.zone_state.items()]}],
            "services": list(self.services.values())}

    def apply(self):
        """Applies the document through the first daemon; tried until the
        deadline because a starting daemon may not have read the store yet."""
        deadline = time.monotonic() + 20
        while True:
            status, reply = call(
                self.daemons[0].caller, "POST", "/v1/config",
                {"expected_revision": self.revision,
                 "change_id": f"experiment/{self.seed}-{self.revision + 1}",
                 "config": self.document()}, timeout=15)
            if status == 200:
                self.revision = reply["revision"]
                return
            if time.monotonic() > deadline:
                raise RuntimeError(f"configuration refused: {status} {reply}")
            time.sleep(0.2)

    def usable_everywhere(self, daemons=None, missing=()):
        """Whether each daemon of a host set sees all backend servers usable."""
        for daemon in daemons or self.daemons:
            for name, service in daemon.status()["services"].items():
                if not service["served_here"]:
                    continue
                servers = service["backend_servers"]
                if len(servers) != len(self.services[name]["backend_servers"]):
                    return False
                if not all(s["usable"] for s in servers
                           if s["name"] not in missing):
                    return False
        return True

    def start_up(self, timeout=60):
        """Applies the configuration and waits until all servers are usable."""
        self.apply()
        wait_until(lambda: all(d.status()["revision"] == self.revision
                               for d in self.daemons), timeout)
        wait_until(self.usable_everywhere, timeout)

    def fault(self, server, **fault):
        """Sets a fault at one backend server."""
        status, reply = call(self.addresses[server], "POST", "/fault", fault)
        if status != 200:
            raise RuntimeError(f"fault refused by {server}: {reply}")

    def fault_all(self, **fault):
        for server in self.addresses:
            self.fault(server, **fault)

    def backend_stats(self):
        """Counters of each backend server by name; one that has crashed is
        read after its restart."""
        for address in self.addresses.values():
            wait_until(lambda a=address: reachable(a), 10)
        return {server: call(address, "GET", "/stats")[1]
                for server, address in self.addresses.items()}

    def daemon_sum(self, name, *labels):
        """Sum of a metric over all running daemons."""
        return sum(total(d.metrics(), name, *labels)
                   for d in self.daemons if d.running())

    def load(self, service, rate, seconds, seed=None, daemons=None, **flags):
        """Starts a load generator; finish() gives its figures."""
        asked = ",".join(d.caller for d in daemons or self.daemons)
        arguments = ["--daemons", asked, "--service", service, "--rate", rate,
                     "--seconds", seconds, "--seed",
                     self.seed if seed is None else seed]
        for flag, value in flags.items():
            arguments.append("--" + flag.replace("_", "-"))
            if value is not True:
                arguments.append(value)
        return Load(arguments)


class Load:
    """A running load generator."""

    def __init__(self, arguments):
        self.child = subprocess.Popen(
            [BUILD / "mimosaload", *map(str, arguments)],
            stdout=subprocess.PIPE, text=True)

    def running(self):
        return self.child.poll() is None

    def finish(self, timeout=120):
        out, _ = self.child.communicate(timeout=timeout)
        return json.loads(out)


def reachable(address):
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), 1).close()
    except OSError:
        return False
    return True


def wait_until(check, timeout, poll=0.1):
    """Waits until `check()` is true; the time that it took."""
    start = time.monotonic()
    while not check():
        if time.monotonic() - start > timeout:
            raise TimeoutError(f"condition not met within {timeout} s")
        time.sleep(poll)
    return time.monotonic() - start
