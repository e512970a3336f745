"""Runs daemons and stand-ins on loopback and reads their metrics."""

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
BUILD_DIR = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
LOG_DIR = ROOT / "build" / "experiment"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Below the kernel's ephemeral ports, which outgoing connections use.
FIRST_PORT, LAST_PORT = 11000, 31000


def free_ports(count):
    """Finds `count` consecutive free ports and returns the first."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        if all(_is_free(first + i) for i in range(count)):
            return first


def _is_free(port):
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def call(address, method, path, body=None, timeout=5):
    """Sends an HTTP request; returns the status and the body.

    The body is parsed if it is JSON, else it is returned as text."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        request_body = None if body is None else json.dumps(body)
        connection.request(method, path, request_body)
        response = connection.getresponse()
        text = response.read().decode()
        try:
            return response.status, json.loads(text)
        except ValueError:
            return response.status, text
    finally:
        connection.close()


class Process:
    """A program that is started when the object is created.

    Its output goes to a file in LOG_DIR."""

    def __init__(self, name, program, arguments):
        LOG_DIR.mkdir(parents=True, exist_ok=True)
        self.log_path = LOG_DIR / f"{name}.log"
        self.command = [BUILD_DIR / program, *map(str, arguments)]
        self.log_path.write_text("")
        self.start()

    def start(self):
        """Starts the program, also again after end()."""
        with open(self.log_path, "a") as output:
            self.popen = subprocess.Popen(self.command, stdout=output,
                                          stderr=output)

    def cpu_seconds(self):
        """User and system CPU time since the start of the process."""
        fields = pathlib.Path(f"/proc/{self.popen.pid}/stat").read_text()
        fields = fields.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident_mb(self):
        """Resident memory in MB (10^6 bytes)."""
        text = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) * 1024 / 1e6

    def running(self):
        return self.popen.poll() is None

    def end(self, signal_number=signal.SIGKILL, timeout=30):
        """Sends a signal, waits until the process has ended and returns its
        exit status."""
        if self.running():
            self.popen.send_signal(signal_number)
        return self.popen.wait(timeout)


class Daemon(Process):
    """A mimosad process."""

    def __init__(self, name, zone, region, caller, peer, store, seeds, flags):
        self.zone, self.caller_address, self.peer_address = zone, caller, peer
        super().__init__(name, "mimosad", [
            "--caller-address", caller, "--peer-address", peer, "--zone", zone,
            "--region", region, "--store-address", store, "--seeds",
            ",".join(seeds), *flags])

    def status(self):
        return call(self.caller_address, "GET", "/v1/status")[1]

    def metrics(self):
        """Values by series, written as in the Prometheus text format."""
        text = call(self.caller_address, "GET", "/metrics")[1]
        values = {}
        for line in str(text).splitlines():
            if line and not line.startswith("#"):
                series, value = line.rsplit(" ", 1)
                values[series] = float(value)
        return values


def sum_series(metrics, name, *labels):
    """Sums the series of metric `name` that have all of `labels`."""
    return sum(value for series, value in metrics.items()
               if series.split("{")[0] == name
               and all(label in series for label in labels))


class Cluster:
    """A key-value service, backend servers and daemons on loopback.

    A context manager: all processes are killed at the end of the `with`
    block."""

    def __init__(self, seed, zones=("z1", "z2", "z3")):
        self.seed, self.zones = seed, list(zones)
        self.zone_states = {zone: "in" for zone in zones}
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
                process.popen.kill()
        for process in [*self.daemons, *self.backends, self.store]:
            process.popen.wait()

    def add_service(self, name, count, rows, slots=6, connections=45,
                    total_shards=64, processes=1, **settings):
        """Adds a service and starts its `count` backend servers.

        `rows` consecutive servers hold all shards; the following `rows`
        servers are the next replicas. The replicas of a shard are in different
        availability zones."""
        assert count % processes == 0
        per_process = count // processes
        servers = []
        for process in range(processes):
            first = self._start_backends(
                f"{name}-{process}", per_process, process * per_process, rows,
                slots, connections, total_shards)
            for i in range(per_process):
                index = process * per_process + i
                zone = self.zones[(index % rows + index // rows)
                                  % len(self.zones)]
                servers.append(self._server(name, index, first + i, zone, slots,
                                            connections))
        self.services[name] = {"name": name, "backend_servers": servers,
                               **settings}

    def add_small_services(self, count, servers_each=3, slots=6,
                           connections=45):
        """Adds `count` services whose backend servers each hold all shards.

        One process runs all these servers to keep the number of processes
        low."""
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
        """Starts one process with `count` backend servers; returns the first
        of their consecutive ports."""
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

    def add_daemons(self, count, flags=()):
        """Starts `count` daemons, spread over the availability zones.

        Waits until each daemon lists all daemons as members."""
        first = free_ports(2 * count)
        start = len(self.daemons)
        new_peers = [f"127.0.0.1:{first + 2 * i + 1}" for i in range(count)]
        seeds = [d.peer_address for d in self.daemons[:3]] + new_peers[:3]
        for i in range(count):
            self.daemons.append(Daemon(
                f"daemon-{start + i}", self.zones[(start + i) % len(self.zones)],
                "r1", f"127.0.0.1:{first + 2 * i}", new_peers[i],
                self.store_address, [s for s in seeds if s != new_peers[i]],
                ["--random-seed", self.seed * 1000 + start + i + 1, *flags]))
        wait_until(lambda: all(reachable(d.caller_address)
                               for d in self.daemons), 30)
        wait_until(lambda: all(sum_series(d.metrics(), "mimosa_members")
                               == len(self.daemons)
                               for d in self.daemons), 120)

    def document(self):
        return {"regions": [{"name": "r1", "zones": [
            {"name": zone, "state": state}
            for zone, state in self.zone_states.items()]}],
            "services": list(self.services.values())}

    def apply(self):
        """Applies the document through the first daemon.

        Retries for 20 s: a daemon refuses changes until it has read the
        store."""
        deadline = time.monotonic() + 20
        while True:
            status, response = call(
                self.daemons[0].caller_address, "POST", "/v1/config",
                {"expected_revision": self.revision,
                 "change_id": f"experiment/{self.seed}-{self.revision + 1}",
                 "config": self.document()}, timeout=15)
            if status == 200:
                self.revision = response["revision"]
                return
            if time.monotonic() > deadline:
                raise RuntimeError("the daemon refused the configuration: "
                                   f"status {status}, {response}")
            time.sleep(0.2)

    def all_servers_usable(self, daemons=None, ignored=()):
        """Whether all backend servers are usable at each daemon of the host
        set of their service, except the servers named in `ignored`."""
        for daemon in daemons or self.daemons:
            for name, service in daemon.status()["services"].items():
                if not service["served_here"]:
                    continue
                servers = service["backend_servers"]
                if len(servers) != len(self.services[name]["backend_servers"]):
                    return False
                if not all(s["usable"] for s in servers
                           if s["name"] not in ignored):
                    return False
        return True

    def start_up(self, timeout=60):
        """Applies the configuration and waits until it is active and all
        backend servers are usable."""
        self.apply()
        wait_until(lambda: all(d.status()["revision"] == self.revision
                               for d in self.daemons), timeout)
        wait_until(self.all_servers_usable, timeout)

    def set_fault(self, server, **fault):
        """Sets a fault of one backend server stand-in."""
        status, response = call(self.addresses[server], "POST", "/fault",
                                fault)
        if status != 200:
            raise RuntimeError(
                f"{server} refused the fault {fault}: {response}")

    def set_fault_everywhere(self, **fault):
        for server in self.addresses:
            self.set_fault(server, **fault)

    def backend_stats(self):
        """Counters of each backend server by name.

        Waits for the restart of servers that have crashed."""
        for address in self.addresses.values():
            wait_until(lambda a=address: reachable(a), 10)
        return {server: call(address, "GET", "/stats")[1]
                for server, address in self.addresses.items()}

    def sum_over_daemons(self, name, *labels):
        """Sums a metric over all running daemons."""
        return sum(sum_series(d.metrics(), name, *labels)
                   for d in self.daemons if d.running())

    def load(self, service, rate, seconds, seed=None, daemons=None, **flags):
        """Starts a load generator.

        `flags` are further command line options of mimosaload."""
        callers = ",".join(d.caller_address for d in daemons or self.daemons)
        arguments = ["--daemons", callers, "--service", service, "--rate", rate,
                     "--seconds", seconds, "--seed",
                     self.seed if seed is None else seed]
        for flag, value in flags.items():
            arguments.append("--" + flag.replace("_", "-"))
            if value is not True:
                arguments.append(value)
        return LoadGenerator(arguments)


class LoadGenerator:
    """A mimosaload process; finish() returns its figures."""

    def __init__(self, arguments):
        self.popen = subprocess.Popen(
            [BUILD_DIR / "mimosaload", *map(str, arguments)],
            stdout=subprocess.PIPE, text=True)

    def running(self):
        return self.popen.poll() is None

    def finish(self, timeout=120):
        output, _ = self.popen.communicate(timeout=timeout)
        return json.loads(output)


def reachable(address):
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), 1).close()
    except OSError:
        return False
    return True


def wait_until(condition, timeout, interval=0.1):
    """Waits until `condition()` is true and returns the seconds waited.

    Raises TimeoutError if it is still false after `timeout` seconds."""
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout:
            raise TimeoutError(f"condition still false after {timeout} s")
        time.sleep(interval)
    return time.monotonic() - start
