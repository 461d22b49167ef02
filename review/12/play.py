"""Minions crash one after the other and are back. Then all is calm, and tasks that
last don't run, with room for them: the minions are kept for trials of other tasks.
Only tasks under which one minion at most has crashed are counted."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from platform_3 import CAPACITY, new_id, run  # noqa: E402

# One of eight minions at a time, within srv_crash's share of .14 and 4.5 s.
MINIONS, ROUNDS, GAP_S, DOWN_S = 8, 2, 2.5, 2.4
# As the users' `pickup-watch`: six tasks that last, 3.2 cores each.
JOBS, TASKS, CPU, MEMORY = 4, 6, 3200, 6400
# The rule: from 6 s after its last run, for 3 s, with these 3 s and the 4 s before
# them calm.
AFTER_RUN_S, IDLE_S, CALM_S = 6.0, 3.0, 4.0
WATCH_S = 25.0


def plan(task):
    return None, "failed"


async def play(world):
    jobs = [new_id() for _ in range(JOBS)]
    body = {"spec": "roster", "steps": [{
        "count": TASKS, "cpu": CPU, "mem_mb": MEMORY, "estimate_ms": 400,
        "long_running": True, "image": "watch-1", "target_ms": 18}]}
    for job in jobs:
        answer = await world.call(world.vms[0], "POST", "watch", job, body)
        if answer is None or answer[0] != 200:
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(4.0)
    if len(world.at_work) != JOBS * TASKS:
        raise RuntimeError("not all tasks run")
    for number in range(MINIONS * ROUNDS):
        if world.is_troubled:
            minion = world.minions[number % MINIONS]
            minion.crash()
            await asyncio.sleep(DOWN_S)
            await minion.begin()
        await asyncio.sleep(GAP_S - DOWN_S if world.is_troubled else GAP_S)
    # One more job; the minion that begins with most of its tasks crashes at once.
    late_job = new_id()
    await world.call(world.vms[0], "POST", "watch", late_job, body)
    jobs.append(late_job)

    def own_tasks(minion):
        return sum(1 for t in minion.running if t.startswith(late_job))

    for _ in range(400):
        await asyncio.sleep(0.02)
        if any(t.startswith(late_job) for t in world.at_work):
            break
    if world.is_troubled:
        await asyncio.sleep(0.1)
        minion = max(world.minions, key=own_tasks)
        minion.crash()
        await asyncio.sleep(DOWN_S)
        await minion.begin()
    calm_at = world.record.now()
    world.record.note("the last minion is back; calm from now on")

    def last_run(task):
        return max((at for at, t, _, _ in world.ends if t == task), default=0.0)

    def free_places():
        places = 0
        for minion in world.minions:
            used = [world.size_of(t) for t in minion.running]
            places += min((CAPACITY["cpu"] - sum(u["cpu"] for u in used)) // CPU,
                          (CAPACITY["mem_mb"] - sum(u["mem_mb"] for u in used)) // MEMORY)
        return places

    def crashes(task):
        return sum(1 for _, t, _, how in world.ends if t == task and how == "crash")

    # A task under which two minions have crashed may be given up and isn't missed.
    tasks = [f"{job}.0.0.{i}" for job in jobs for i in range(TASKS)]
    tasks = [t for t in tasks if crashes(t) < 2]
    world.record.note(f"{len(tasks)} tasks have seen at most one crash")
    idle_since, longest = {t: None for t in tasks}, {}
    while world.record.now() < calm_at + WATCH_S:
        await asyncio.sleep(0.02)
        now = world.record.now()
        for task in tasks:
            if task in world.at_work or free_places() < 2:
                idle_since[task] = None
                continue
            begin = max(calm_at + CALM_S, last_run(task) + AFTER_RUN_S)
            idle_since[task] = max(idle_since[task] or now, begin)
            if now - idle_since[task] >= IDLE_S:
                longest[task] = max(longest.get(task, 0.0), now - idle_since[task])
    # A job that was given up after crashes isn't missed.
    given_up = set()
    for job in jobs:
        answer = await world.call(world.vms[0], "GET", "watch", job)
        if answer and answer[0] == 200 and answer[1]["state"] == "failed":
            given_up.add(job)
    world.record.note(f"{len(given_up)} jobs were given up; at work: "
                      f"{len(world.at_work)} tasks")
    return [f"LOST: {task}, which lasts, doesn't run from 6 s after its last run on for "
            f"{seconds:.1f} s in calm, with room for it; minions that crashed under it: "
            f"{crashes(task)}"
            for task, seconds in sorted(longest.items())
            if task.split(".")[0] not in given_up]


if __name__ == "__main__":
    sys.exit(run(FOLDER, play, vms=3, minions=MINIONS, plan=plan))
