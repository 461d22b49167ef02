"""Runs the built programs on loopback for the demo and for tests with real
processes: one platform stand-in, several daemons and the command-line tool."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "bin")
TOKEN = "test-token-0123456789"


def free_ports(count):
    """Returns unused ports below the range of ephemeral ports (32768 and up):
    an outgoing connection could take one of those between this check and the
    start of the daemon."""
    ports = []
    candidates = random.SystemRandom().sample(range(10000, 32000), 20 * count)
    while len(ports) < count:
        port = candidates.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def http(method, url, body=None, headers=None, timeout=10.0):
    """Returns (status, headers, body text); status 0 if none came."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(
                response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()
    except (OSError, urllib.error.URLError) as error:
        return 0, {}, str(error)


class Daemon:
    """One hemlockdeald process and its addresses."""

    def __init__(self, number, zone, region):
        self.id = f"entry-{number}"
        self.zone = zone
        self.region = region
        self.process = None
        self.log = None

    def caller_url(self, path):
        return f"http://127.0.0.1:{self.callers}{path}"

    def operator(self, method, path, body=None, timeout=10.0):
        status, _, text = http(
            method, f"http://127.0.0.1:{self.operators}{path}",
            json.dumps(body) if body is not None else None,
            {"Authorization": f"Bearer {TOKEN}"}, timeout)
        try:
            return status, json.loads(text)
        except ValueError:
            return status, text


class Testbed:
    """Runs the processes in a temporary directory; terminates them on exit."""

    def __init__(self, zones, daemons_per_zone=1, workers_per_zone=4,
                 endpoints_per_zone=4, service="orders", slots=8,
                 worker_cores=16, worker_memory_mb=64000, accelerators=0,
                 standin_arguments=()):
        self.directory = tempfile.mkdtemp(prefix="hemlockdeal-")
        self.zones = zones  # list of (zone, region)
        self.service = service
        self.slots = slots
        self.daemons = []
        for zone, region in zones:
            for _ in range(daemons_per_zone):
                self.daemons.append(
                    Daemon(len(self.daemons) + 1, zone, region))
        self.workers_per_zone = workers_per_zone
        self.endpoints_per_zone = endpoints_per_zone
        self.worker_size = (worker_cores * 1000, worker_memory_mb,
                            accelerators)
        self.standin_arguments = list(standin_arguments)
        self.standin = None
        ports = free_ports(3 * len(self.daemons) + 1)
        self.platform_port = ports.pop()
        for daemon in self.daemons:
            daemon.callers, daemon.operators, daemon.peers = (
                ports.pop(), ports.pop(), ports.pop())
            daemon.public_key, daemon.secret_key = self.generate_keys()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    @property
    def platform(self):
        return f"http://127.0.0.1:{self.platform_port}"

    def generate_keys(self):
        text = subprocess.run(
            [os.path.join(BIN, "hemlockdeald"), "--generate-keys"],
            check=True, capture_output=True, text=True).stdout
        return (re.search(r'public_key = "(.*)"', text).group(1),
                re.search(r'secret_key = "(.*)"', text).group(1))

    def topology(self, without=()):
        vms = []
        for daemon in self.daemons:
            vms.append({"id": daemon.id, "kind": "entry", "zone": daemon.zone,
                        "region": daemon.region, "rack": "entry",
                        "address": f"127.0.0.1:{daemon.peers}",
                        "state": "live"})
        processors, memory, accelerators = self.worker_size
        for zone, region in self.zones:
            for i in range(self.workers_per_zone):
                vms.append({"id": f"{zone}-worker-{i + 1}", "kind": "worker",
                            "zone": zone, "region": region,
                            "rack": f"{zone}-rack-{i // 8 + 1}",
                            "state": "live", "processors_milli": processors,
                            "memory_mb": memory,
                            "accelerators": accelerators})
            for i in range(self.endpoints_per_zone):
                vms.append({"id": f"{zone}-{self.service}-{i + 1}",
                            "kind": "endpoint", "zone": zone,
                            "region": region,
                            "rack": f"{zone}-rack-{i // 8 + 1}",
                            "state": "live", "service": self.service,
                            "slots": self.slots,
                            "connections": 8 * self.slots})
        return {"vms": [vm for vm in vms if vm["id"] not in without]}

    def settings(self, daemon):
        known = ",\n".join(
            f'    {{ id = "{o.id}", address = "127.0.0.1:{o.peers}", '
            f'operators = "127.0.0.1:{o.operators}", '
            f'public_key = "{o.public_key}" }}'
            for o in self.daemons if o is not daemon)
        return f"""[vm]
id = "{daemon.id}"
availability_zone = "{daemon.zone}"
region = "{daemon.region}"

[callers]
listen = "127.0.0.1:{daemon.callers}"

[operators]
listen = "127.0.0.1:{daemon.operators}"
token = "{TOKEN}"

[peers]
listen = "127.0.0.1:{daemon.peers}"
public_key = "{daemon.public_key}"
secret_key = "{daemon.secret_key}"
known = [
{known}
]

[platform]
table = "{self.platform}"
membership = "{self.platform}"

[shards]
per_zone = 2
"""

    def start_platform(self):
        log = open(os.path.join(self.directory, "standin.log"), "w")
        self.standin = subprocess.Popen(
            [os.path.join(BIN, "hemlockdeal-standin"), "--port",
             str(self.platform_port), *self.standin_arguments],
            stdout=log, stderr=log)
        self.wait_for(lambda: http("GET", self.platform + "/membership")[0],
                      10, "the stand-in")
        self.post("/membership", self.topology())

    def post(self, path, body):
        status, _, text = http("POST", self.platform + path, json.dumps(body))
        if status != 200:
            raise RuntimeError(f"POST {path}: {status} {text}")
        return text

    def record(self, keys=()):
        """Returns the record of the stand-in; "requests" holds the number of
        runs for each of the given idempotency keys."""
        record = json.loads(http("GET", self.platform + "/record")[2])
        record["requests"] = json.loads(
            self.post("/record", {"keys": list(keys)}))["keys"]
        return record

    def fault(self, target, mode, **options):
        self.post("/faults", {"target": target, "mode": mode, **options})

    def start_daemon(self, daemon):
        path = os.path.join(self.directory, daemon.id + ".toml")
        with open(path, "w") as file:
            file.write(self.settings(daemon))
        daemon.log = os.path.join(self.directory, daemon.id + ".log")
        log = open(daemon.log, "a")
        daemon.process = subprocess.Popen(
            [os.path.join(BIN, "hemlockdeald"), "--config", path],
            stdout=log, stderr=log)

    def start(self):
        self.start_platform()
        for daemon in self.daemons:
            self.start_daemon(daemon)
        for daemon in self.daemons:
            self.wait_for(lambda d=daemon: self.healthy(d), 15, daemon.id)

    def healthy(self, daemon):
        if daemon.process.poll() is not None:
            with open(daemon.log) as log:
                raise RuntimeError(f"{daemon.id} ended: {log.read()[-2000:]}")
        return http("GET", daemon.caller_url("/healthz"))[0] == 200

    def wait_for(self, condition, seconds, description):
        """Polls the condition and returns its value once it is true."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if value:
                return value
            time.sleep(0.05)
        raise RuntimeError(f"{description}: not reached within {seconds} s")

    def ctl(self, *arguments, daemon=None, check=True, timeout=60):
        target = daemon or self.daemons[0]
        command = [os.path.join(BIN, "hemlockdealctl"), arguments[0],
                   "--daemon", f"127.0.0.1:{target.operators}",
                   *arguments[1:]]
        result = subprocess.run(
            command, capture_output=True, text=True, timeout=timeout,
            env={**os.environ, "HEMLOCKDEAL_TOKEN": TOKEN})
        if check and result.returncode != 0:
            raise RuntimeError(
                f"{' '.join(arguments)}: exit {result.returncode}\n"
                f"{result.stdout}{result.stderr}")
        return result

    def kill(self, daemon):
        daemon.process.send_signal(signal.SIGKILL)
        daemon.process.wait()

    def stop_all(self):
        running = [d.process for d in self.daemons if d.process]
        for process in running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in running + ([self.standin] if self.standin else []):
            if process is self.standin and process.poll() is None:
                process.terminate()
            try:
                process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
