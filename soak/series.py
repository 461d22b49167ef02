"""The part of a soak with planned stops in a row and crowds of clients, beside
long-running tasks and ordinary callers."""

import asyncio
import random

from caller import PersistentCaller
from calm import Calm
from crowds import Crowds
from lasting_tasks import LastingTasks
from planned_stops import PlannedStops
from process_watch import ProcessWatch
from restarts import Restarts
from worker_losses import WorkerLosses

CALLERS_OF_A_VM = 2
# The limit in the settings is below that of a machine, so that a small crowd
# shows what grows with a large one.
MEMORY_MB = 96
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": 1200}


class Series:
    """Its parts have generators of their own, so that the faults of a seed stay
    the same."""

    def __init__(self, soak):
        self.soak, self.options = soak, soak.options
        seeds = random.Random(self.options.seed + 2)
        self.rng, lasting, losses, stops, crowds, restarts = (
            random.Random(seeds.getrandbits(64)) for _ in range(6))
        vms, record, calm = soak.vms, soak.record, Calm()
        self.calm = calm
        self.watch = ProcessWatch(vms, record, calm, MEMORY_MB)
        self.lasting = LastingTasks(lasting, vms, soak.workers, record, calm)
        self.losses = WorkerLosses(losses, soak.workers, record, calm,
                                   soak.add_worker)
        self.stops = PlannedStops(stops, vms, soak.store, self.losses, record)
        self.crowds = Crowds(crowds, vms, record, calm)
        self.restarts = Restarts(restarts, vms, soak.workers, soak.store, record,
                                 calm)
        self.callers = [PersistentCaller(vm.callers) for vm in vms
                        for _ in range(CALLERS_OF_A_VM)]

    async def run(self):
        await self.lasting.submit()
        background = [asyncio.ensure_future(task) for task in (
            self.watch.run(), self.lasting.check(), self.change_configuration(),
            *(caller.run() for caller in self.callers))]
        is_over = asyncio.Event()
        load = asyncio.ensure_future(self.soak.load(is_over.is_set))
        for _ in range(self.options.planned_stops):
            await self.stops.run_round()
        for _ in range(self.options.restarts):
            await self.restarts.run_round()
        for _ in range(self.options.accounts):
            await self.soak.accounts.run_round(self.calm)
        for _ in range(self.options.crowds):
            await self.send_crowd()
        is_over.set()
        await load
        await self.stops.wait_until_started()
        await self.lasting.cancel()
        for task in background:
            task.cancel()

    async def send_crowd(self):
        """At times beside planned stops."""
        if not self.options.planned_stops or self.rng.random() < 0.5:
            await self.crowds.run_one("")
            return
        stops = asyncio.ensure_future(self.stops.stop_in_a_row())
        await self.crowds.run_one(" beside planned stops")
        stops.cancel()

    async def change_configuration(self):
        while True:
            await asyncio.sleep(self.rng.uniform(3.0, 12.0))
            self.soak.grow_configuration()

    def summary(self):
        return (f"{self.stops.count} planned stops, {self.losses.count} workers "
                f"lost, {self.restarts.count} restarted, long-running tasks away for "
                f"{self.lasting.longest_away_s:.1f} s at most, "
                f"{self.watch.peak_mb:.0f} MB at most, "
                f"crowds: {', '.join(self.crowds.sent) or 'none'}, "
                f"{sum(c.answered for c in self.callers)} calls answered, "
                f"slowed {self.lasting.slowed} times")
