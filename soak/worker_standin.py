"""Stand-in for a worker of the platform, over HTTP on loopback, with faults."""

import asyncio
import json
import time

from http_standin import Server

MAX_LEASE_MS = 6000
HEARTBEAT_INTERVAL_S = 0.5
CAPACITY = {"cpu": 8000, "mem_mb": 16000}
MEAN_LASTING_RUN_S = 60.0
STOP_DELAY_S = 0.05
# Time for a changed entry to reach the leader, also after a take-over.
ENTRY_NOTICE_S = 6.0


class Worker:
    """Runs tasks under leases by its own clock, as the platform's documentation
    specifies."""

    def __init__(self, name, port, zone, store, record, rng):
        self.name, self.port, self.zone = name, port, zone
        self.store, self.record, self.rng = store, record, rng
        self.server = Server(self.handle)
        self.is_up = True
        # Whether the network connects the worker with the others.
        self.is_reachable = True
        self.late_fraction = 0.0
        # Late orders are executed also after a restart, polls among them.
        self.executes_orders_to_former_processes = False
        # Written in place of the entry while it is set.
        self.malformed_entry = None
        # From then on, no task may be started on the worker.
        self.closed_at = None
        self.restart()

    def write_entry(self):
        self.store.put("servers", "", self.name,
                       self.entry() if self.malformed_entry is None
                       else self.malformed_entry)

    def remove_entry(self):
        self.store.remove("servers", "", self.name)

    def end_for_good(self, refuses):
        """The worker's VM is lost. New connections are refused, or nothing
        answers."""
        self.is_up = self.is_reachable = False
        self.restart()
        if refuses:
            self.server.close()

    def has_room(self, step, factor):
        """Whether `factor` times the demand of a task of the step is free."""
        if not (self.is_up and self.is_reachable
                and self.malformed_entry is None):
            return False
        steps = [self.record.step(task) for task in self.running
                 if self.record.step(task)]
        return all(capacity - sum(s[name] for s in steps)
                   >= factor * step[name] for name, capacity in CAPACITY.items())

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
            "capacity": {**CAPACITY, "gpu": 0},
            "clock_ms": self.clock(), "seq": self.clock()}).encode()

    def end(self, task, state):
        run, _ = self.running.pop(task)
        self.record.on_end(task)
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
                    self.end(task, "failed" if self.lasts(task) else "done")

    async def send_heartbeats(self):
        while True:
            if self.is_up and self.is_reachable:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def handle(self, method, target, body):
        """Nothing is received or sent by a worker that cannot be reached."""
        if not (self.is_up and self.is_reachable):
            return None
        response = await self.execute(target, body)
        return response if self.is_up and self.is_reachable else None

    async def execute(self, target, body):
        call = json.loads(body)
        if target == "/run-start" and self.closed_at is not None \
                and time.monotonic() > self.closed_at:
            self.record.record_violation(
                f"{call['task']} is started on {self.name}, whose entry is "
                f"{self.malformed_entry[:200]}")
        if target == "/run-start" and self.is_order_late():
            await self.execute_late(self.start, call)
            return None
        if target == "/hold" and self.executes_orders_to_former_processes \
                and self.is_order_late():
            await self.execute_late(self.take_poll, call)
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

    def is_order_late(self):
        return self.rng.random() < self.late_fraction

    async def execute_late(self, execute, call):
        incarnation = self.incarnation
        await asyncio.sleep(self.rng.uniform(2, 6))
        is_receiver = (incarnation == self.incarnation
                       or self.executes_orders_to_former_processes)
        if is_receiver and self.is_up and call["fencing_token"] >= self.fence:
            execute(call)

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
        self.running[task] = (run, time.monotonic() + self.run_time(task))
        return 200, {"clock_ms": self.clock()}

    def lasts(self, task):
        step = self.record.step(task)
        return step is not None and step.get("long_running", False)

    def run_time(self, task):
        """A long-running task fails at some time."""
        if self.lasts(task):
            return self.rng.expovariate(1 / MEAN_LASTING_RUN_S)
        return self.rng.uniform(0.2, 0.9)

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
        self.take_poll(call)
        if not self.ended and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.event.wait(), call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[t, r, "", 100 if self.lasts(t) else 50, -1]
                   for t, (r, _) in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.incarnation,
                     "running": running, "ended": self.ended}

    def take_poll(self, call):
        """Forgets acknowledged ends and extends the leases."""
        for entry in self.ended:
            if entry[0] <= call["seen_upto"] and entry[3] == "done":
                self.record.done[entry[1]] = "acknowledged"
        self.ended = [e for e in self.ended if e[0] > call["seen_upto"]]
        if "deadline_ms" in call:
            self.extend_lease(call["deadline_ms"])
