"""Each minion crashes once, one after the other, and is back a second later. A
job whose tasks are sound, and of which no run has ended `failed`, must not be
shown as `failed`."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import PREFIX, run_case  # noqa: E402

VMS, WORKERS = 3, 8
CAPACITY = {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
JOBS = 8
STEPS = [{"count": 12, "cpu": 300, "mem_mb": 500, "estimate_ms": 400,
          "long_running": True}]
CRASH_INTERVAL_S, DOWN_S = 3.0, 1.0


async def crash_in_turn(deployment):
    """One of the eight minions at a time, and each of them once."""
    for worker in deployment.workers:
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.begin()
        await asyncio.sleep(CRASH_INTERVAL_S - DOWN_S)


async def case(deployment, has_trouble):
    jobs = [await deployment.submit(deployment.vms[i % VMS], STEPS)
            for i in range(JOBS)]
    await deployment.wait_until(
        lambda: len(deployment.runs) == JOBS * STEPS[0]["count"], 15)
    await asyncio.sleep(4)
    if has_trouble:
        await crash_in_turn(deployment)
    else:
        await asyncio.sleep(WORKERS * CRASH_INTERVAL_S)
    await asyncio.sleep(8)
    for job in jobs:
        for vm in deployment.vms:
            response = await deployment.call(vm, "GET", PREFIX + job)
            if response and response[1].get("state") in ("failed", "cancelled"):
                deployment.record.break_rule(
                    f"LOST: {vm.name} shows job {job} as "
                    f"{response[1]['state']}; nobody cancelled it, and "
                    f"{deployment.failed_ends(job)} runs of its tasks have ended "
                    f"failed")


run_case(FOLDER, case, VMS, WORKERS, CAPACITY)
