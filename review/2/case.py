"""Many small tasks end while the platform's store is down for 4.5 s.

TROUBLE=0 leaves the store up. DISRUPTION=kill kills the leading VM instead (3.5 s), at the same moment."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import run, trouble  # noqa: E402

JOBS, EVERY_S = 30, 0.2
COUNT = 100          # tasks of a job
LONGEST_MS = 9000    # of the tasks of the first job; all tasks end at about the same time
DOWN_S = 4.5
KILLED_S = 3.5


def batch(number):
    return {"spec": f"batch {number}", "steps": [{
        "count": COUNT, "cpu": 20, "mem_mb": 50,
        "estimate_ms": LONGEST_MS - int(1000 * EVERY_S * number)}]}


async def case(deployment):
    record, runs = deployment.record, deployment.runs
    await deployment.start()
    began = record.now()
    jobs = []
    for number in range(JOBS):
        jobs.append(asyncio.ensure_future(deployment.submit(batch(number))))
        await asyncio.sleep(max(0.0, began + EVERY_S * (number + 1) - record.now()))
    jobs = [job for job in await asyncio.gather(*jobs) if job]
    # The outage begins shortly before the tasks end.
    await asyncio.sleep(max(0.0, began + LONGEST_MS / 1000 - 0.5 - record.now()))
    record.write("script", f"{len(jobs)} jobs accepted; tasks running: " + ", ".join(
        f"{m.id} {len(m.running)}" for m in deployment.minions))
    is_kill = os.environ.get("DISRUPTION") == "kill"
    if trouble() and is_kill:
        await asyncio.sleep(0.3)
        leader = deployment.vm(deployment.store.leader())
        record.write("script", f"{leader.name} is killed")
        await leader.end()
        await asyncio.sleep(KILLED_S)
        await leader.start()
    elif trouble():
        record.write("script", f"the store answers 503 for {DOWN_S} s")
        for vm in deployment.vms:
            deployment.store.faults[vm.name] = "busy"
    await asyncio.sleep(DOWN_S)
    if trouble() and not is_kill:
        record.write("script", "the store is back; ends listed: " + ", ".join(
            f"{m.id} {len(m.ended)}" for m in deployment.minions))
        for vm in deployment.vms:
            deployment.store.faults[vm.name] = "ok"
    await asyncio.sleep(20)
    again = sum(len(s) > 1 for s in runs.starts.values())
    states = [(await deployment.state(job, log=False)) for job in jobs]
    completed = sum(a == (200, {"state": "completed"}) for a in states)
    record.write("script", f"{len(runs.done)} of {len(jobs) * COUNT} tasks ended done, {again} started "
                 f"again, {runs.twice} starts against the rule; {completed} jobs completed")
    print(f"{again} of {len(jobs) * COUNT} tasks started again, {runs.twice} starts against the rule")


run(case, HERE, vms=7, minions=4)
