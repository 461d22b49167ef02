"""Stand-in for the users' platform: its row store and its workers, over HTTP on
loopback, with fault injection and a record of the runs."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

MAX_LEASE_MS = 6000
HEARTBEAT_INTERVAL_S = 0.5
STOP_DELAY_S = 0.05
# Time for a changed entry to reach the leader, also after a take-over.
ENTRY_NOTICE_S = 6.0


def now_ms():
    return int(time.monotonic() * 1000)


async def read_request(reader):
    """Returns method, target and body. Raises IncompleteReadError when the
    connection is closed."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    length = 0
    for line in lines[1:]:
        if line.lower().startswith("content-length:"):
            length = int(line.split(":")[1])
    return method, target, await reader.readexactly(length)


def encode_response(status, body):
    data = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n").encode() + data


class Link:
    """Bounds the rate of the bytes that all its users send together. `rate()` is
    the current one in bytes a second; None has no bound."""

    STEP_S = 0.01

    def __init__(self, rate):
        self.rate = rate
        self.free_at = 0.0

    async def send(self, writer, data):
        while data:
            rate = self.rate()
            if rate is None:
                writer.write(data)
                break
            size = min(len(data), max(1, int(rate * self.STEP_S)))
            self.free_at = max(self.free_at, time.monotonic()) + size / rate
            writer.write(data[:size])
            data = data[size:]
            await writer.drain()
            if writer.is_closing():
                raise ConnectionError("closed by the receiver")
            await asyncio.sleep(max(0.0, self.free_at - time.monotonic()))
        await writer.drain()


class Server:
    """Responds with the result of `handle(method, target, body)`: a pair of
    status and body, or None to send no response and keep the connection
    open. Each connection has a link of the server's `rate`, unless all share
    `link`."""

    def __init__(self, handle):
        self.handle = handle
        self.rate = None
        self.link = None
        self.server = None
        self.writers = set()

    async def listen(self, port):
        """Returns the port, which is a free one if 0 is given."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, target, body = await read_request(reader)
                response = await self.handle(method, target, body)
                if response is None:
                    await asyncio.sleep(3600)
                link = self.link or Link(lambda: self.rate)
                await link.send(writer, encode_response(*response))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """Linearizable rows. Each VM uses a port of its own, so that faults can be
    limited to one VM."""

    def __init__(self):
        self.rows = {}
        self.removed = {}
        self.version = 1
        self.oldest = 1
        self.changed = asyncio.Event()
        # Port to fault mode: ok, busy (503), silent (no response), lost (the
        # transaction takes effect, the response is lost) or slow (0.4 s delay).
        self.faults = {}
        self.servers = {}
        self.page_limit = 500

    async def listen(self, port):
        self.faults[port] = "ok"
        server = Server(lambda *call: self.handle(port, *call))
        await server.listen(port)
        self.servers[port] = server

    def put(self, table, part, key, value):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        self.removed.pop((table, part, key), None)
        self.notify()

    def remove(self, table, part, key):
        if (table, part, key) in self.rows:
            self.version += 1
            del self.rows[(table, part, key)]
            self.removed[(table, part, key)] = self.version
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def to_json(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2],
                "value": base64.b64encode(value).decode(), "ver": version}

    async def handle(self, port, method, target, body):
        fault = self.faults[port]
        if fault == "busy":
            return 503, {}
        if fault == "silent":
            return None
        if fault == "slow":
            await asyncio.sleep(0.4)
        url = urlsplit(target)
        query = {k: unquote(v[0]) for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-tx":
            response = self.transact(json.loads(body))
            return None if fault == "lost" else response
        if url.path == "/rows-get":
            return self.read(query)
        if url.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, call):
        names = [(e["table"], e["part"], e["key"]) for e in call["expect"]]
        for name, entry in zip(names, call["expect"]):
            if self.rows.get(name, (None, 0))[1] != entry["ver"]:
                return 412, {"rows": [self.to_json(n) for n in names
                                      if n in self.rows],
                             "ver": self.version, "now_ms": now_ms()}
        self.version += 1
        for entry in call["writes"]:
            name = (entry["table"], entry["part"], entry["key"])
            self.rows[name] = (base64.b64decode(entry["value"]), self.version)
            self.removed.pop(name, None)
        for entry in call["deletes"]:
            name = (entry["table"], entry["part"], entry["key"])
            if self.rows.pop(name, None):
                self.removed[name] = self.version
        self.notify()
        return 200, {"ver": self.version, "now_ms": now_ms()}

    def read(self, query):
        limit = min(int(query.get("limit", 500)), self.page_limit)
        names = sorted(n for n in self.rows
                       if n[0] == query["table"] and n[1] == query["part"]
                       and n[2] >= query.get("from", "")
                       and (not query.get("to") or n[2] < query["to"]))
        return 200, {"rows": [self.to_json(n) for n in names[:limit]],
                     "more_pages": len(names) > limit, "ver": self.version,
                     "now_ms": now_ms()}

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            rows = [self.to_json(n) for n, r in self.rows.items()
                    if n[0] == query["table"] and r[1] > after]
            rows += [{"table": n[0], "part": n[1], "key": n[2], "ver": v,
                      "removed": True} for n, v in self.removed.items()
                     if n[0] == query["table"] and v > after]
            remaining = end - time.monotonic()
            if rows or remaining <= 0:
                rows.sort(key=lambda row: row["ver"])
                return 200, {"rows": rows, "ver": self.version,
                             "now_ms": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass


def nested(levels):
    return b"[" * levels + b"]" * levels


def malformed_entries(good):
    """Entries of another writer in the worker list, each malformed in one part. None
    of them names a worker to use. `good` is a valid entry."""
    def with_value(name, value):
        return json.dumps({**good, name: value}).encode()

    def with_capacity(name, value):
        return with_value("capacity", {**good["capacity"], name: value})

    text = json.dumps(good).encode()
    return ([with_value("address", value) for value in (
                "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:-1", "somewhere",
                "somewhere:80", "", "127.0.0.1", 80, None)] +
            [with_value("state", value) for value in ("gone", "", 5, None)] +
            [with_value("service", value) for value in (5, None)] +
            [with_capacity(name, value) for name in ("cpu", "mem_mb")
             for value in (-5, 10**15, 2**53, 2**70, "many", None)] +
            [json.dumps({k: v for k, v in good.items() if k != name}).encode()
             for name in ("service", "address", "zone", "state", "capacity")] +
            [text.replace(b'"cpu": 8000', b'"cpu": 1e400'), text[:-9], b"", b"\x00\xff\xfe",
             text.replace(b"r1", b"\xc3\x28"), b"null", b"[]", b"5",
             text[:-1] + b',"x":' + nested(33) + b"}", nested(10000)])


class Record:
    """The runs of the workers and the violated guarantees."""

    def __init__(self):
        self.jobs = {}
        self.running = {}
        self.done = {}
        self.violations = []
        self.starts = 0
        # Number of workers that crashed under each task.
        self.crashes = {}

    def record_violation(self, text):
        self.violations.append(text)

    def on_crash(self, task):
        self.running.pop(task, None)
        self.crashes[task] = self.crashes.get(task, 0) + 1

    def may_be_given_up(self, job):
        """A job may end as failed once two workers crashed under one of its
        tasks."""
        return any(count >= 2 for task, count in self.crashes.items()
                   if task.split(".")[0] == job)

    def on_start(self, task, worker):
        self.starts += 1
        job, occurrence, step, _ = task.split(".")
        if task in self.running:
            self.record_violation(
                f"{task} runs on {self.running[task]} and {worker}")
        if self.done.get(task) == "acknowledged":
            self.record_violation(
                f"{task} starts after its end was acknowledged")
        if job not in self.jobs:
            self.record_violation(
                f"{task} starts but its job was never submitted")
            return
        steps = self.jobs[job]["steps"]
        for predecessor in steps[int(step)].get("after", []):
            for index in range(steps[predecessor]["count"]):
                if f"{job}.{occurrence}.{predecessor}.{index}" not in self.done:
                    self.record_violation(f"{task} starts before step "
                                          f"{predecessor} is done")
        self.running[task] = worker


class Worker:
    """Runs tasks under leases by its own clock, as the platform's documentation
    specifies."""

    def __init__(self, name, port, zone, store, record, rng):
        self.name, self.port, self.zone = name, port, zone
        self.store, self.record, self.rng = store, record, rng
        self.server = Server(self.handle)
        self.is_up = True
        self.late_fraction = 0.0
        # Written in place of the entry while it is set.
        self.malformed_entry = None
        # From then on, no task may be started on the worker.
        self.closed_at = None
        self.restart()

    def write_entry(self):
        self.store.put("servers", "", self.name,
                       self.entry() if self.malformed_entry is None else self.malformed_entry)

    def set_malformed_entry(self, entry):
        """Replaces the entry by one that names no worker; None ends this."""
        self.malformed_entry = entry
        self.closed_at = (None if entry is None
                          else time.monotonic() + ENTRY_NOTICE_S)
        self.write_entry()

    def restart(self):
        for task in getattr(self, "running", {}):
            self.record.on_crash(task)
        self.incarnation = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.running, self.ended, self.highest_ended_run = {}, [], {}
        self.fence, self.number, self.lease = 0, 0, None
        self.event = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def entry(self):
        return json.dumps({
            "service": "s", "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "cold_left_ms": 0, "labels": ["a", "r1"], "born": self.incarnation,
            "capacity": {"cpu": 8000, "mem_mb": 16000, "gpu": 0},
            "clock_ms": self.clock(), "seq": self.clock()}).encode()

    def end(self, task, state):
        run, _ = self.running.pop(task)
        self.record.running.pop(task, None)
        if state == "done":
            self.record.done.setdefault(task, "listed")
        self.highest_ended_run[task] = max(
            self.highest_ended_run.get(task, 0), run)
        self.number += 1
        self.ended.append([self.number, task, run, state, ""])
        self.event.set()
        self.event = asyncio.Event()

    async def run_tasks(self):
        while True:
            await asyncio.sleep(0.02)
            if not self.is_up:
                continue
            if self.lease is not None and self.clock() > self.lease:
                for task in list(self.running):
                    self.end(task, "lapsed")
                self.lease = None
            for task, (_, until) in list(self.running.items()):
                if time.monotonic() >= until:
                    self.end(task, "done")

    async def send_heartbeats(self):
        while True:
            if self.is_up:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def handle(self, method, target, body):
        if not self.is_up:
            return None
        call = json.loads(body)
        if target == "/run-start" and self.closed_at is not None \
                and time.monotonic() > self.closed_at:
            self.record.record_violation(
                f"{call['task']} is started on {self.name}, whose entry is "
                f"{self.malformed_entry[:200]}")
        if target == "/run-start" and self.rng.random() < self.late_fraction:
            incarnation = self.incarnation
            await asyncio.sleep(self.rng.uniform(2, 6))
            if incarnation == self.incarnation and self.is_up:
                self.start(call)
            return None
        if call.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = call.get("fencing_token", 0)
        if target == "/run-start":
            return self.start(call)
        if target == "/run-stop":
            return await self.stop(call)
        if target == "/hold":
            return await self.poll(call)
        return 200, {"clock_ms": self.clock()}

    def extend_lease(self, deadline):
        until = min(deadline, self.clock() + MAX_LEASE_MS)
        self.lease = max(self.lease or 0, until)

    def start(self, call):
        task, run = call["task"], call["run"]
        if call["fencing_token"] < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        if task in self.running and self.running[task][0] == run:
            return 200, {"clock_ms": self.clock()}
        if task in self.running or run <= self.highest_ended_run.get(task, 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if call["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend_lease(call["deadline_ms"])
        self.record.on_start(task, self.name)
        self.running[task] = (run, time.monotonic() + self.rng.uniform(0.2, 0.9))
        return 200, {"clock_ms": self.clock()}

    async def stop(self, call):
        task, run = call["task"], call["run"]
        self.highest_ended_run[task] = max(
            self.highest_ended_run.get(task, 0), run)
        if task in self.running and self.running[task][0] <= run:
            await asyncio.sleep(STOP_DELAY_S)
            if task in self.running:
                self.end(task, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def poll(self, call):
        for entry in self.ended:
            if entry[0] <= call["seen_upto"] and entry[3] == "done":
                self.record.done[entry[1]] = "acknowledged"
        self.ended = [e for e in self.ended if e[0] > call["seen_upto"]]
        if "deadline_ms" in call:
            self.extend_lease(call["deadline_ms"])
        if not self.ended and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.event.wait(), call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[t, r, "", 50, -1] for t, (r, _) in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.incarnation,
                     "running": running, "ended": self.ended}
