"""Workers that restart under their ids while orders to them are late, beside a
frozen leader."""

import asyncio
import signal

LATE_SHARE = 0.5
LATE_WORKERS_SHARE = 0.6
RESTARTS_OF_A_ROUND = 4
DOWN_S = 0.5
# Late orders are executed by then.
LATE_FOR_S = 6.0


class Restarts:
    def __init__(self, rng, vms, workers, store, record, calm):
        self.rng, self.vms, self.workers = rng, vms, workers
        self.store, self.record, self.calm = store, record, calm
        self.count = 0

    async def run_round(self):
        with self.calm.disruption():
            await self.restart_while_orders_are_late()

    async def restart_while_orders_are_late(self):
        late = [worker for worker in self.workers
                if self.rng.random() < LATE_WORKERS_SHARE]
        for worker in late:
            worker.late_fraction = LATE_SHARE
            worker.executes_orders_to_former_processes = True
        for number in range(RESTARTS_OF_A_ROUND):
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            if number == RESTARTS_OF_A_ROUND // 2 and self.rng.random() < 0.5:
                await self.freeze_leader()
            await self.restart_some()
        for worker in late:
            worker.late_fraction = 0.0
        await asyncio.sleep(LATE_FOR_S)
        for worker in late:
            worker.executes_orders_to_former_processes = False

    async def restart_some(self):
        chosen = [worker for worker in self.workers
                  if worker.is_up and self.rng.random() < 0.4]
        self.record.note(f"restart of {[worker.name for worker in chosen]}")
        for worker in chosen:
            self.count += 1
            worker.is_up = False
        await asyncio.sleep(DOWN_S)
        for worker in chosen:
            worker.restart()
            worker.is_up = True

    async def freeze_leader(self):
        leader = next((vm for vm in self.vms if not vm.is_ending
                       and vm.store == self.store.last_writer.get("lease")),
                      None)
        if leader is None:
            return
        self.record.note(f"{leader.name}, which leads, is frozen")
        leader.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        leader.send(signal.SIGCONT)
