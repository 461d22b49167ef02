"""Workers that end for good or are silent for a while."""

import asyncio

# An entry is removed after three heartbeat intervals of silence.
ENTRY_EXPIRES_S = 1.5


class WorkerLosses:
    def __init__(self, rng, workers, record, calm, add_worker):
        self.rng, self.workers, self.calm = rng, workers, calm
        self.record, self.add_worker = record, add_worker
        self.count = 0

    async def lose(self):
        """Loses one or two workers at once, which run long-running tasks."""
        candidates = [w for w in self.workers if w.is_reachable
                      and any(w.lasts(task) for task in w.running)]
        lost = self.rng.sample(candidates, min(len(candidates),
                                               self.rng.choice([1, 1, 2])))
        self.count += len(lost)
        await asyncio.gather(*[self.lose_one(w) for w in lost])

    async def lose_one(self, worker):
        if self.rng.random() < 0.3:
            await self.silence(worker, self.rng.uniform(1.0, 9.0))
        else:
            await self.end(worker, refuses=self.rng.random() < 0.5)

    async def silence(self, worker, duration):
        """The worker goes on, but nothing reaches it and nothing leaves it."""
        with self.calm.disruption():
            self.record.note(f"{worker.name} is silent for {duration:.1f} s, "
                             f"{len(worker.running)} tasks")
            worker.is_reachable = False
            expired = max(0.0, duration - ENTRY_EXPIRES_S)
            await asyncio.sleep(duration - expired)
            if expired > 0:
                worker.remove_entry()
                await asyncio.sleep(expired)
            worker.is_reachable = True
            worker.server.reset()

    async def end(self, worker, refuses):
        with self.calm.disruption():
            self.record.note(f"{worker.name} ends for good, "
                             f"{len(worker.running)} tasks")
            worker.end_for_good(refuses)
            self.workers.remove(worker)
        await asyncio.sleep(ENTRY_EXPIRES_S)
        worker.remove_entry()
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        await self.add_worker()
