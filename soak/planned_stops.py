"""Planned stops in a row, closer together than a worker's lease, beside workers
that are lost before, between and after them."""

import asyncio
import signal

from entry_vm import GRACE_S

LEAD_S = 2.0
# From a loss until the platform's rule on long-running tasks has decided.
DECIDED_AFTER_S = 11.0
RESTART_WITHIN_S = 0.8
MIN_RUNNING = 2


class PlannedStops:
    def __init__(self, rng, vms, store, losses, record):
        self.rng, self.vms, self.store = rng, vms, store
        self.losses, self.record = losses, record
        self.count = 0
        self.restarts = []

    async def run_round(self):
        """Workers are lost at some of the three times; the stops go on until
        the rule has decided on the tasks of the last worker lost by then."""
        times = self.rng.choice([("before",), ("between",), ("after",),
                                 ("before", "between"),
                                 ("before", "between", "after")])
        await asyncio.sleep(self.rng.uniform(0.0, LEAD_S))
        pending = []
        if "before" in times:
            pending.append(self.start_loss())
            await asyncio.sleep(self.rng.uniform(0.0, LEAD_S))
        stops = asyncio.ensure_future(self.stop_in_a_row())
        if "between" in times:
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))
            pending.append(self.start_loss())
        await asyncio.gather(*pending)
        await asyncio.sleep(DECIDED_AFTER_S)
        stops.cancel()
        if "after" in times:
            await asyncio.sleep(self.rng.uniform(0.0, LEAD_S))
            await self.start_loss()
            await asyncio.sleep(DECIDED_AFTER_S)

    def start_loss(self):
        return asyncio.ensure_future(self.losses.lose())

    async def stop_in_a_row(self):
        interval = self.rng.choice([1.5, 2.5, 4.0])
        leader_share = self.rng.choice([1.0, 0.7])
        while True:
            self.stop_some(leader_share)
            if self.rng.random() < 0.3:
                self.rng.choice(self.vms).send(signal.SIGHUP)
            await asyncio.sleep(interval * self.rng.uniform(0.8, 1.2))

    def stop_some(self, leader_share):
        """Mostly the leading VM, at times another one, at times both."""
        leader = next((vm for vm in self.vms if not vm.is_ending
                       and vm.store == self.store.last_writer.get("lease")),
                      None)
        other = self.rng.choice(self.vms)
        choice = self.rng.random()
        chosen = {leader} if choice < leader_share else (
            {other} if choice < 0.85 else {leader, other})
        for vm in self.vms:
            running = sum(not v.is_ending for v in self.vms)
            if vm in chosen and not vm.is_ending and running > MIN_RUNNING:
                self.count += 1
                self.record.note(f"SIGTERM of {vm.name}"
                                 f"{', which leads' if vm is leader else ''}")
                vm.send(signal.SIGTERM)
                self.restarts.append(asyncio.ensure_future(self.restart(vm)))

    async def wait_until_started(self):
        await asyncio.gather(*self.restarts)

    async def restart(self, vm):
        try:
            await asyncio.wait_for(vm.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.record.record_violation(
                f"{vm.name} runs {GRACE_S} s after SIGTERM")
            await vm.kill()
        await asyncio.sleep(self.rng.uniform(0.0, RESTART_WITHIN_S))
        await vm.start()
        self.record.note(f"{vm.name} started")
