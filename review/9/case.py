"""Two minions crash once and are back at once; a task was starting on one of
them. Its job must go on: one minion has crashed under it, and no run has ended
`failed`."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import PREFIX, run_case  # noqa: E402

VMS, WORKERS = 3, 15
CAPACITY = {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 2000, "estimate_ms": 4000}]
DOWN_S = 0.65


async def next_look_at_the_list(deployment):
    """Waits until the leader reads the list of minions again."""
    name = ("servers", deployment.leader().store_port)
    last = deployment.store.asked_at.get(name)
    while deployment.store.asked_at.get(name) == last:
        await asyncio.sleep(0.002)


async def case(deployment, has_trouble):
    await asyncio.sleep(4)
    await next_look_at_the_list(deployment)
    await asyncio.sleep(0.25)
    job = await deployment.submit(deployment.vms[0], STEPS)
    await deployment.wait_until(lambda: deployment.runs, 5)
    task, worker = next(iter(deployment.runs.items()))
    await next_look_at_the_list(deployment)
    await asyncio.sleep(0.05)
    if has_trouble:
        # The minion of the task, and the first of the others.
        others = [w for w in sorted(deployment.workers, key=lambda w: w.id)
                  if w is not worker]
        for crashing in (worker, others[0]):
            crashing.crash()
        await asyncio.sleep(DOWN_S)
        for crashing in (worker, others[0]):
            await crashing.begin()
    await asyncio.sleep(10)
    crashed_under_it = deployment.lost_runs.get(task, 0)
    for vm in deployment.vms:
        response = await deployment.call(vm, "GET", PREFIX + job)
        if response and response[1].get("state") == "failed":
            deployment.record.break_rule(
                f"LOST: {vm.name} shows job {job} as failed; "
                f"{deployment.failed_ends(job)} runs have ended failed, and "
                f"{crashed_under_it} minion has crashed under its task")


run_case(FOLDER, case, VMS, WORKERS, CAPACITY)
