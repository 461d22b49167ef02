"""Two minions crash, one after the other, just after a job's task has started there.

TROUBLE=0 lets no minion crash."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import run, trouble  # noqa: E402

CRASHES = 2
AFTER_S = 0.25
DOWN_S = 4.5
SMALL = {"spec": "small", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 300}]}
LASTING = {"spec": "watch", "steps": [{"count": 1, "cpu": 3200, "mem_mb": 6400, "estimate_ms": 400,
                                       "long_running": True}]}


async def case(deployment):
    record, runs = deployment.record, deployment.runs
    crashes = []

    async def crash(minion):
        await asyncio.sleep(AFTER_S)
        minion.crash()
        await asyncio.sleep(DOWN_S)
        minion.come_back()

    def on_started(minion, task):
        if trouble() and task.split(".")[0] == watch[0] and len(crashes) < CRASHES:
            crashes.append(asyncio.ensure_future(crash(minion)))

    watch = [None]
    await deployment.start()
    for minion in deployment.minions:
        minion.on_started = lambda task, _run, m=minion: on_started(m, task)
    # Other work goes on all the while.
    other = [asyncio.ensure_future(deployment.submit(SMALL)) for _ in range(2)]
    await asyncio.sleep(1)
    job = f"{deployment.rng.getrandbits(64):016x}"
    watch[0] = job
    runs.jobs[job] = LASTING
    answer = await deployment.call(deployment.vms[0], "POST", f"/lohu930/{job}", LASTING)
    record.write("client", f"POST {job}: {answer}")
    if not answer or answer[0] != 200:
        print("the job was not accepted")
        return
    # LOST: shown as `failed` without cause; only ends `failed` count as attempts.
    for _ in range(40):
        await asyncio.sleep(1)
        answer = await deployment.state(job, log=False)
        if answer and answer[0] == 200 and answer[1].get("state") in ("failed", "cancelled"):
            record.violation("LOST", f"job {job} is shown as {answer[1]['state']} after {len(crashes)} "
                             "crashes of minions; no run of it has ended failed, nobody cancelled it")
            break
    await asyncio.gather(*other)
    record.write("script", f"{len(crashes)} crashes; last state {answer}; running: "
                 f"{[m for (t, _), m in runs.running.items() if t.startswith(job)]}")
    print(f"{len(crashes)} crashes, last state {answer}")


run(case, HERE, vms=7, minions=8)
