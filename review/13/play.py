"""Three hopeless jobs among 60 of three seconds: no minion gets ordinary work for up
to 24 s, and accepted jobs do not run on an empty fleet."""

import asyncio
import os
import sys
import zlib

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from platform_3 import BOUNDS, CAPACITY, new_id, run  # noqa: E402

MINIONS = 6
# Traffic: 20 jobs a second for 7 s; three of 60 jobs in 3 s are hopeless (within
# poison's share of .05 for 3 s).
PER_S, TRAFFIC_S, HOPELESS = 20, 7, 3
SOUND_S = 5.0
# For so long a job with nothing running is watched, beyond finish_s.
WATCH_S, IDLE_S = 8.0, 3.0
hopeless = set()


def plan(task):
    """Sound tasks work for 5 s; hopeless ones fail after 0.5 to 1.5 s."""
    if task.split(".")[0] not in hopeless:
        return SOUND_S, "done"
    return 0.5 + zlib.crc32(task.encode()) % 1000 / 1000, "failed"


def job_of(count):
    return {"spec": "receipt", "steps": [{
        "count": count, "cpu": 500, "mem_mb": 500,
        "estimate_ms": int(SOUND_S * 1000)}]}


async def send(world, number, body, accepted):
    job = new_id()
    if body["steps"][0]["count"] > 2:
        hopeless.add(job)
        world.record.note(f"job {job} is hopeless")
    answer = await world.call(world.vms[number % len(world.vms)], "POST",
                              "reconcile", job, body)
    if answer and answer[0] == 200:
        accepted.append(job)


async def play(world):
    accepted, sent = [], []
    poisoned = [PER_S + 2 * i for i in range(HOPELESS)]
    for number in range(PER_S * TRAFFIC_S):
        is_hopeless = world.is_troubled and number in poisoned
        # 32 tasks: the largest width of the users' `deposit-reconcile`.
        body = job_of(32 if is_hopeless else 1)
        sent.append(asyncio.ensure_future(send(world, number, body, accepted)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*sent)
    world.record.note("the traffic ends")
    await asyncio.sleep(BOUNDS["finish_s"])
    world.record.note("finish_s is over: jobs are asked for")

    def ended():
        done = {}
        for _, task, _, how in world.ends:
            if how == "done":
                done.setdefault(task.split(".")[0], set()).add(task)
        return {j for j, tasks in done.items()
                if len(tasks) == world.jobs[j]["steps"][0]["count"]}

    async def is_over(job):
        answer = await world.call(world.vms[0], "GET", "reconcile", job)
        return answer and answer[0] == 200 and \
            answer[1]["state"] in ("completed", "failed")

    open_jobs = [j for j in accepted if j not in ended()]
    open_jobs = [j for j in open_jobs if not await is_over(j)]
    world.record.note(f"{len(accepted)} accepted, not over: {len(open_jobs)}, "
                      f"of them sound: {len(set(open_jobs) - hopeless)}")
    idle_since = {j: None for j in open_jobs}
    broken, capacity = {}, MINIONS * CAPACITY["cpu"]
    end = world.record.now() + WATCH_S
    while world.record.now() < end:
        await asyncio.sleep(0.02)
        now = world.record.now()
        in_use = sum(world.size_of(t)["cpu"] for t in list(world.at_work))
        for job in open_jobs:
            need = sum(s["cpu"] for s in world.jobs[job]["steps"]
                       for _ in range(s["count"]))
            is_idle = not any(t.startswith(job) for t in world.at_work) and \
                job not in ended() and in_use < capacity / 2 and \
                capacity - in_use >= 2 * need
            if not is_idle:
                idle_since[job] = None
                continue
            idle_since[job] = idle_since[job] or now
            if now - idle_since[job] >= IDLE_S and job not in broken:
                broken[job] = f"cores in use: {in_use / 1000:g} of {capacity / 1000:g}"
    out = []
    for job, why in broken.items():
        kind = "hopeless" if job in hopeless else "sound"
        if kind == "sound" and not await is_over(job):
            out.append(f"LOST: sound job {job} had nothing running for {IDLE_S:g} s, "
                       f"later than finish_s after the traffic; {why}")
    # The record names all of them.
    for text in out[3:]:
        world.record.note(text)
    return out[:3] + ([f"LOST: {len(out)} jobs in all"] if len(out) > 3 else [])


if __name__ == "__main__":
    sys.exit(run(FOLDER, play, vms=3, minions=MINIONS, plan=plan))
