"""The process that takes the lead is killed, again and again for some seconds.
An entry VM that is in touch all the while must count the accepted jobs that
wait."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import BOUNDS, PREFIX, CannotRun, run_case  # noqa: E402

VMS, WORKERS = 5, 4
CAPACITY = {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
JOBS = 10
STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 2000, "estimate_ms": 800}]
TROUBLE_S, RESTART_AFTER_S = 9.0, 1.0
# How long after its takeover was stored the process is killed.
KILL_AFTER_S = 0.02
# RULES.md, MIXED: accepted over visible_ms + 2 s before.
COUNTED_AFTER_S = BOUNDS["visible_ms"] / 1000 + 2


class LeaderKiller:
    """Kills the process that last wrote to the store under a condition."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.hit = set()
        self.is_over = False

    async def kill(self, vm):
        self.hit.add(vm.name)
        await vm.kill()
        await asyncio.sleep(RESTART_AFTER_S)
        await vm.start()

    async def run(self):
        deployment = self.deployment
        await self.kill_later(deployment.leader())
        epoch = deployment.store.version_of("lease", "lead", "epoch")
        while not self.is_over:
            await asyncio.sleep(0.002)
            now = deployment.store.version_of("lease", "lead", "epoch")
            if now != epoch:
                epoch = now
                await asyncio.sleep(KILL_AFTER_S)
                if not self.is_over:
                    await self.kill_later(deployment.leader())

    async def kill_later(self, vm):
        self.deployment.record.note(f"{vm.name} leads and is killed")
        asyncio.ensure_future(self.kill(vm))


async def case(deployment, has_trouble):
    await asyncio.sleep(4)
    killer = LeaderKiller(deployment)
    begun_at = time.monotonic()
    if has_trouble:
        asyncio.ensure_future(killer.run())
        await asyncio.sleep(0.3)
    accepted = {}
    for i in range(JOBS):
        calm = [vm for vm in deployment.vms if vm.name not in killer.hit]
        job = await deployment.submit(calm[i % len(calm)], STEPS)
        accepted[job] = time.monotonic()
    while time.monotonic() - begun_at < TROUBLE_S:
        await asyncio.sleep(0.3)
        for vm in deployment.vms:
            asked = time.monotonic()
            waiting = [job for job, at in accepted.items()
                       if asked - at > COUNTED_AFTER_S
                       and not deployment.has_begun(job)]
            if vm.name in killer.hit or not waiting:
                continue
            response = await deployment.call(vm, "GET", PREFIX)
            still = [job for job in waiting if not deployment.has_begun(job)]
            if response and response[0] == 200 and vm.name not in killer.hit \
                    and 2 * response[1]["pending"] < len(still):
                deployment.record.break_rule(
                    f"MIXED: {vm.name}, in touch all the while, gives "
                    f"{response[1]['pending']} as pending; {len(still)} jobs "
                    f"were accepted over {COUNTED_AFTER_S} s before and have "
                    f"not begun")
    killer.is_over = True
    await asyncio.sleep(5)
    if not all(deployment.has_begun(job) for job in accepted):
        deployment.record.note("some jobs have not begun 5 s after the trouble")
    if has_trouble and len(killer.hit) == VMS:
        raise CannotRun("no entry VM was left in touch")


run_case(FOLDER, case, VMS, WORKERS, CAPACITY)
