#!/usr/bin/env python3
"""How long a takeover lasts when the successor's link is slow: it carries the
rows of all jobs, the list of workers and the reports of all workers.

Usage: soak/slow_takeover.py [--rate BYTES] [--workers N] [--jobs N] [--roll]
"""

import argparse
import asyncio
import json
import os
import random
import signal
import time

from caller import call
from command_line import add_common_options, run_and_exit
from configuration import CONFIGURATION, PREFIX, ZONES
from entry_vm import EntryVm
from http_standin import Link
from run_record import Record
from store_standin import Store
from worker_standin import Worker

RUNNING_WORKERS = 8
SPEC_BYTES = 4000
ROLL_INTERVAL_S = 1.5
POLL_INTERVAL_S = 0.05


class DrainingWorker(Worker):
    """A worker that is listed and polled, but gets no task."""

    def entry(self):
        return json.dumps({**json.loads(super().entry()),
                           "state": "draining",
                           "remaining_ms": 3_600_000}).encode()


class World:
    """A VM near the store that leads first, a far one that takes over, and
    their workers."""

    def __init__(self, options, folder):
        base = 21000 + os.getpid() % 3000
        self.options = options
        self.record, self.store = Record(), Store()
        self.near, self.far = [
            EntryVm(i, base + 3 * i, options.program, folder) for i in (0, 1)]
        rng = random.Random(options.seed)
        self.workers = [
            (Worker if i < RUNNING_WORKERS else DrainingWorker)(
                f"w{i:04}", 0, ZONES[i % 2], self.store, self.record, rng)
            for i in range(options.workers)]

    async def start(self):
        self.store.put("op", "", "config",
                       json.dumps(CONFIGURATION).encode())
        for daemon in (self.near, self.far):
            await self.store.listen(daemon.store)
        for worker in self.workers:
            worker.port = await worker.server.listen(0)
            worker.write_entry()
        for worker in self.workers[:RUNNING_WORKERS]:
            asyncio.ensure_future(worker.run_tasks())
        await self.near.start()
        await asyncio.sleep(3.0)
        await self.far.start()

    async def submit(self, daemon, job, occurs_in_s=0):
        """Returns whether the job was accepted."""
        body = {"spec": "x" * SPEC_BYTES,
                "steps": [{"count": 1, "cpu": 1000, "mem_mb": 500,
                           "estimate_ms": 600}]}
        if occurs_in_s:
            body.update(repeat_count=1, interval_ms=1000,
                        first_run_ms=int((time.time() + occurs_in_s) * 1000))
        self.record.jobs[job] = body
        response = await call(daemon.callers, "POST", PREFIX + job,
                                   body)
        return response is not None and response[0] == 200

    async def submit_until_accepted(self, daemon, job, **kwargs):
        while not await self.submit(daemon, job, **kwargs):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def roll(self):
        """Rewrites all entries of workers again and again, as in a roll."""
        while True:
            for worker in self.workers:
                worker.write_entry()
            await asyncio.sleep(ROLL_INTERVAL_S)

    def limit_paths(self):
        """All that the far VM receives shares one link."""
        link = Link(lambda: self.options.rate)
        self.store.servers[self.far.store].link = link
        for worker in self.workers:
            worker.server.link = link

    def report(self, ran_after, submitted_after):
        bound = self.options.bound_s
        late = ran_after is None or ran_after > bound
        ran = "never" if ran_after is None else f"{ran_after:.2f} s"
        print(f"rate {self.options.rate}, {self.options.workers} workers, "
              f"{self.options.jobs} jobs, roll {self.options.roll}: the first "
              f"new job was accepted {submitted_after:.2f} s after the loss of "
              f"the leader and ran after {ran} (bound {bound} s); "
              f"{len(self.record.violations)} guarantees violated")
        for text in self.record.violations[:5]:
            print("  " + text)
        return 1 if late or self.record.violations else 0


async def run(options, folder):
    world = World(options, folder)
    await world.start()
    await world.submit_until_accepted(world.near, f"{1:016x}")
    for i in range(options.jobs):
        await world.submit_until_accepted(world.near, f"{i + 1000:016x}",
                                          occurs_in_s=3600)
    if options.roll:
        asyncio.ensure_future(world.roll())
    world.limit_paths()
    await world.near.kill()
    began = time.monotonic()
    job = f"{2:016x}"
    await world.submit_until_accepted(world.far, job)
    submitted_after = time.monotonic() - began
    task = f"{job}.0.0.0"
    ran_after = None
    while ran_after is None and time.monotonic() - began < options.watch_s:
        await asyncio.sleep(POLL_INTERVAL_S)
        if task in world.record.running or task in world.record.done:
            ran_after = time.monotonic() - began
    world.far.send(signal.SIGTERM)
    await asyncio.wait_for(world.far.process.wait(), 8)
    return world.report(ran_after, submitted_after)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--rate", type=float, default=1.25e6,
                        help="of the successor's link, bytes/s")
    parser.add_argument("--workers", type=int, default=350)
    parser.add_argument("--jobs", type=int, default=300)
    parser.add_argument("--roll", action="store_true",
                        help="all entries of workers change meanwhile")
    parser.add_argument("--bound-s", type=float, default=15.0)
    parser.add_argument("--watch-s", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1)
    add_common_options(parser)
    options = parser.parse_args()
    if options.workers < RUNNING_WORKERS:
        parser.error(f"at least {RUNNING_WORKERS} workers")
    run_and_exit(options, lambda logs: run(options, logs))


if __name__ == "__main__":
    main()
