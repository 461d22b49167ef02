"""Minions crash one after another. Once it is calm again, every task that lasts
must run: there is room for all of them several times over."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import PREFIX, run_case  # noqa: E402

VMS, WORKERS = 3, 8
CAPACITY = {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
JOBS = 8
STEPS = [{"count": 12, "cpu": 300, "mem_mb": 500, "estimate_ms": 400,
          "long_running": True}]
CRASH_INTERVAL_S, DOWN_S, CRASHES = 3.0, 1.0, 12
# RULES.md, LOST: calm for 4 s, and then 3 s, at least 6 s after the last run.
CALM_BEFORE_S, WINDOW_S, AFTER_RUN_S = 4.0, 3.0, 6.0
OBSERVED_S = 20


async def crash_in_turn(deployment):
    """One of the eight minions at a time."""
    for i in range(CRASHES):
        worker = deployment.workers[i % WORKERS]
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
        await asyncio.sleep(CRASHES * CRASH_INTERVAL_S)
    # A job that is shown as failed is another matter (case 6).
    shown = {}
    for job in jobs:
        response = await deployment.call(deployment.vms[0], "GET", PREFIX + job)
        shown[job] = response[1].get("state") if response else None
    calm_since = time.monotonic() - (CRASH_INTERVAL_S - DOWN_S)
    broken = set()
    while time.monotonic() - calm_since < OBSERVED_S:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        for task, since in deployment.not_running_since.items():
            waits_from = max(since + AFTER_RUN_S, calm_since + CALM_BEFORE_S)
            if shown[task.split(".")[0]] != "running":
                continue
            if task not in broken and now - waits_from > WINDOW_S:
                broken.add(task)
                used = sum(deployment.step_of(t)["cpu"] for t in deployment.runs)
                deployment.record.break_rule(
                    f"LOST: {task} lasts and has not run for {now - since:.1f} s; "
                    f"calm for {now - calm_since:.1f} s; {used} of "
                    f"{WORKERS * CAPACITY['cpu']} thousandths of a core in use")


run_case(FOLDER, case, VMS, WORKERS, CAPACITY)
