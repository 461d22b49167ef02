#!/usr/bin/env python3
"""Randomized soak test: entry VMs as real processes against the platform
stand-in, with injected faults. Checks the guarantees from the view of callers
and workers.

Usage: soak/soak.py --seed N --seconds S [--planned-stops ROUNDS]
    [--crowds N] [--restarts ROUNDS] [--accounts ROUNDS] [--daemons D]
    [--program PATH]
"""

import argparse
import asyncio
import itertools
import json
import os
import random
import signal
import socket
import time

from accounts import HOT, Accounts
from caller import call
from command_line import add_common_options, run_and_exit
from configuration import (APPLY_WITHIN_S, PREFIX, ZONES, large_configuration,
                           last_added_prefix)
from entry_vm import EntryVm
from malformed_entries import malformed_entries
from run_record import Record
from series import LIMITS, Series
from store_standin import Store
from worker_standin import Worker

COMPLETION_TIMEOUT_S = 25
# Keys of malformed entries among those of the workers, some of which go on with a
# byte that sorts before all that keys of the platform consist of.
MALFORMED_KEYS = ["", "a", "w0 malformed", "w1\x01", "w1!", "w2-", "w3\u00e9", "x" * 5000]
# The share of the time for a change that its transfer may take (docs/design.md).
TRANSFER_SHARE = 0.45
# With planned stops, room is left on the workers while some are lost.
WORKERS, WORKERS_BESIDE_STOPS = 4, 8
# Fewest and most workers of a drawn fleet.
DRAWN_WORKERS = 3, 8
# A soak's ports lie within as many numbers.
PORTS_OF_A_SOAK = 200


def is_free(port):
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


def free_ports(first):
    """The first of a range of ports that no other soak beside this one uses."""
    return next(base for base in itertools.count(first, PORTS_OF_A_SOAK)
                if all(map(is_free, range(base, base + PORTS_OF_A_SOAK))))


def fleet_size(options):
    if options.draw_fleet:
        # A generator of its own, so that the faults of a seed stay the same.
        return random.Random(options.seed + 4).randint(*DRAWN_WORKERS)
    return WORKERS_BESIDE_STOPS if options.planned_stops else WORKERS


class Soak:
    def __init__(self, options, folder):
        self.rng = random.Random(options.seed)
        # Paths have a generator of their own, so that the faults of a seed stay
        # the same.
        self.path_rng = random.Random(options.seed + 1)
        self.version = 1
        self.options, self.folder = options, folder
        base = free_ports(11000 + (os.getpid() * 37 + options.seed) % 7000)
        self.record, self.store = Record(), Store()
        has_series = (options.planned_stops or options.crowds
                      or options.restarts or options.accounts)
        self.vms = [EntryVm(i, base + 3 * i, options.program, folder,
                            limits=LIMITS if has_series else None)
                    for i in range(options.daemons)]
        self.workers = [Worker(f"w{i}", base + 100 + i, ZONES[i % 2],
                               self.store, self.record, self.rng)
                        for i in range(fleet_size(options))]
        self.workers_added = 0
        # Malformed entries with a usable address lead here.
        self.decoy = Worker("decoy", base + 110, ZONES[0], self.store,
                            self.record, self.rng)
        self.store.page_limit = self.rng.choice([2, 5, 500])
        self.responses = {}
        self.has_faults = True
        self.fault_count = 0
        # Jobs that ended as failed after two crashes of workers.
        self.given_up = 0
        self.accounts = (Accounts(random.Random(options.seed + 3), self)
                         if options.accounts else None)
        self.series = Series(self) if has_series else None

    async def start(self):
        for daemon in self.vms:
            await self.store.listen(daemon.store)
        self.write_configuration()
        for worker in self.workers:
            await self.start_worker(worker)
        await self.decoy.server.listen(self.decoy.port)
        self.decoy.malformed_entry = b"each of the malformed ones"
        self.decoy.closed_at = time.monotonic()
        for key in MALFORMED_KEYS:
            self.write_malformed_entry(key)
        for daemon in self.vms:
            await daemon.start()

    @staticmethod
    async def start_worker(worker):
        worker.port = await worker.server.listen(worker.port)
        asyncio.ensure_future(worker.run_tasks())
        asyncio.ensure_future(worker.send_heartbeats())

    async def add_worker(self):
        self.workers_added += 1
        number = self.workers_added
        worker = Worker(f"added-{number}", 0, ZONES[number % 2], self.store,
                        self.record, self.rng)
        self.workers.append(worker)
        await self.start_worker(worker)

    def malformed_entry(self, worker):
        return self.rng.choice(malformed_entries(json.loads(worker.entry())))

    def write_malformed_entry(self, key):
        self.store.put("servers", "", key, self.malformed_entry(self.decoy))

    async def rewrite_malformed_entries(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            key = self.rng.choice(MALFORMED_KEYS)
            if self.rng.random() < 0.2:
                self.store.remove("servers", "", key)
            else:
                self.write_malformed_entry(key)

    async def submit(self, number):
        job = f"{self.rng.getrandbits(64):016x}"
        steps = [{"count": self.rng.randint(1, 4), "cpu": 1000, "mem_mb": 500,
                  "estimate_ms": 600}]
        if self.rng.random() < 0.5:
            steps.append(dict(steps[0], after=[0]))
        body = {"spec": str(number), "steps": steps}
        self.record.jobs[job] = body
        self.responses[job] = []
        for _ in range(4):
            daemon = self.rng.choice(self.vms)
            response = await call(daemon.callers, "POST", PREFIX + job, body)
            self.responses[job].append(response and response[0])
            if response and response[0] == 200:
                return
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))

    async def load(self, is_over):
        tasks, number = [], 0
        while not is_over():
            number += 1
            tasks.append(asyncio.ensure_future(self.submit(number)))
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        await asyncio.gather(*tasks)

    async def inject_fault(self):
        """Injects a random fault and ends it."""
        self.fault_count += 1
        daemon, worker = self.rng.choice(self.vms), self.rng.choice(self.workers)
        duration = self.rng.uniform(0.3, 6.0)
        kind = self.rng.choice(["kill", "pause", "stop", "store", "cut", "reset",
                                "crash", "dark", "late", "history", "malformed"])
        if kind == "kill":
            await daemon.kill()
            await asyncio.sleep(duration / 3)
            await daemon.start()
        elif kind == "pause":
            daemon.send(signal.SIGSTOP)
            await asyncio.sleep(duration)
            daemon.send(signal.SIGCONT)
        elif kind == "stop":
            daemon.send(signal.SIGTERM)
            await asyncio.wait_for(daemon.process.wait(), 8)
            await daemon.start()
        elif kind in ("store", "cut"):
            fault = self.rng.choice(["busy", "silent", "lost", "slow"])
            ports = [d.store for d in self.vms] if kind == "store" else [daemon.store]
            for port in ports:
                self.store.faults[port] = fault
            await asyncio.sleep(duration)
            for port in ports:
                self.store.faults[port] = "ok"
        elif kind == "reset":
            self.store.servers[daemon.store].reset()
            worker.server.reset()
        elif kind == "crash":
            worker.restart()
            worker.server.reset()
        elif kind == "dark":
            worker.is_up = False
            await asyncio.sleep(duration)
            worker.restart()
            worker.is_up = True
        elif kind == "late":
            worker.late_fraction = 0.5
            await asyncio.sleep(duration)
            worker.late_fraction = 0.0
        elif kind == "malformed":
            worker.set_malformed_entry(self.malformed_entry(worker))
            await asyncio.sleep(2 * duration)
            worker.set_malformed_entry(None)
        else:
            self.store.oldest = self.store.version

    async def inject_faults(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            await self.inject_fault()
            if self.record.violations:
                return

    async def slow_paths(self, seconds):
        """Limits the rate of paths to the store while the configuration grows."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            server = self.store.servers[self.path_rng.choice(self.vms).store]
            server.rate = self.path_rng.uniform(60e3, 400e3)
            self.grow_configuration()
            await asyncio.sleep(self.path_rng.uniform(0.5, 3.0))
            server.rate = None

    def grow_configuration(self):
        self.version += 1
        self.write_configuration()

    def write_configuration(self):
        self.store.put("op", "", "config", self.configuration(self.version))

    def configuration(self, version):
        content = large_configuration(version)
        if self.accounts:
            content = self.accounts.extend(content)
        return json.dumps(content).encode()

    async def check_configuration(self):
        """Checks that a change is in force in time when its transfer takes its
        share of the time, also while an earlier change is in transfer."""
        encoded = self.configuration(self.version + 1)
        bytes_in_response = len(encoded) * 4 / 3
        for daemon in self.vms:
            self.store.servers[daemon.store].rate = (
                bytes_in_response / (APPLY_WITHIN_S * TRANSFER_SHARE))
        self.grow_configuration()
        began = time.monotonic()
        await asyncio.gather(*[self.check_route(d, began) for d in self.vms])
        for daemon in self.vms:
            self.store.servers[daemon.store].rate = None

    async def check_route(self, daemon, began):
        """Checks when the newest route is served."""
        prefix = last_added_prefix(self.version)
        while True:
            asked_at = time.monotonic()
            response = await call(daemon.callers, "GET", prefix)
            if response and response[0] == 200:
                return
            if asked_at - began > APPLY_WITHIN_S:
                self.record.record_violation(
                    f"version {self.version} of the configuration is not in "
                    f"force on {daemon.name} after {APPLY_WITHIN_S} s")
                return
            await asyncio.sleep(0.05)

    async def job_state(self, job):
        for daemon in self.vms:
            response = await call(daemon.callers, "GET", PREFIX + job)
            if response:
                return response
        return None

    async def check_completion(self):
        """Checks that accepted jobs complete and rejected ones never ran."""
        accepted = [j for j, responses in self.responses.items()
                    if 200 in responses]
        rejected = [j for j, responses in self.responses.items()
                    if responses and all(a in (429, 503) for a in responses)]
        end = time.monotonic() + COMPLETION_TIMEOUT_S
        pending = set(accepted)
        while pending and time.monotonic() < end:
            for job in list(pending):
                response = await self.job_state(job)
                if response and response[0] == 410:
                    self.record.record_violation(
                        f"accepted job {job} is unknown (status 410)")
                    pending.discard(job)
                elif response and response[1].get("state") == "completed":
                    pending.discard(job)
                elif response and response[1].get("state") == "failed" and \
                        self.record.may_be_given_up(job):
                    self.given_up += 1
                    pending.discard(job)
            await asyncio.sleep(0.3)
        for job in pending:
            self.record.record_violation(
                f"accepted job {job} did not complete: "
                f"{await self.job_state(job)}")
        for job in rejected:
            if any(t.startswith(job) for t in self.record.done):
                self.record.record_violation(f"rejected job {job} ran")
        return len(accepted), len(rejected)

    async def run(self):
        await self.start()
        asyncio.ensure_future(self.rewrite_malformed_entries())
        await asyncio.sleep(2.5)
        end = time.monotonic() + self.options.seconds

        def is_over():
            return time.monotonic() >= end

        hot = [self.accounts.send(HOT, is_over)] if self.accounts else []
        await asyncio.gather(self.load(is_over), *hot,
                             self.inject_faults(self.options.seconds),
                             self.slow_paths(self.options.seconds))
        await self.check_configuration()
        if self.series:
            await self.series.run()
        accepted, rejected = await self.check_completion()
        for vm in self.vms:
            vm.send(signal.SIGTERM)
        for vm in self.vms:
            await asyncio.wait_for(vm.process.wait(), 8)
        if self.accounts:
            self.accounts.check_secrecy()
        self.report(accepted, rejected)
        return 1 if self.record.violations or accepted == 0 else 0

    async def run_and_clean_up(self):
        try:
            return await self.run()
        finally:
            for vm in self.vms:
                if vm.process and vm.process.returncode is None:
                    await vm.kill()

    def report(self, accepted, rejected):
        print(f"seed {self.options.seed}: {len(self.responses)} jobs, "
              f"{accepted} accepted, {rejected} rejected, {self.given_up} "
              f"given up after crashes, "
              f"{self.record.starts} starts, {self.fault_count} faults, "
              f"{len(self.record.violations)} guarantees violated")
        if self.series:
            print("  " + self.series.summary())
        if self.accounts:
            print("  " + self.accounts.summary())
        with open(os.path.join(self.folder, "events.log"), "w",
                  encoding="utf-8") as events:
            events.writelines(self.record.events)
        for text in self.record.violations[:5]:
            print("  " + text)
        if accepted == 0:
            print("  no job was accepted, so the run checked nothing")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--planned-stops", type=int, default=0, metavar="ROUNDS",
                        help="rounds of planned stops in a row, beside workers "
                        "that are lost and long-running tasks")
    parser.add_argument("--crowds", type=int, default=0, metavar="N",
                        help="crowds of clients outside the limits")
    parser.add_argument("--restarts", type=int, default=0, metavar="ROUNDS",
                        help="rounds of workers that restart under their ids "
                        "while orders to them are late")
    parser.add_argument("--accounts", type=int, default=0, metavar="ROUNDS",
                        help="rounds of client accounts whose keys and caps "
                        "change beside a killed leading VM")
    parser.add_argument("--draw-fleet", action="store_true",
                        help="the seed draws a fleet of "
                        f"{DRAWN_WORKERS[0]} to {DRAWN_WORKERS[1]} workers")
    parser.add_argument("--daemons", type=int, default=3)
    add_common_options(parser)
    options = parser.parse_args()
    run_and_exit(options, lambda logs: Soak(options, logs).run_and_clean_up())


if __name__ == "__main__":
    main()
