"""A client hands a job in at a machine that is frozen, leaves, and cancels the job
at another machine. The cancelling is acknowledged (410), and yet the job starts as
the machine wakes."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from platform_3 import BOUNDS, new_id, run  # noqa: E402

# One of ten machines, for as long as the site's node_freeze (share .11, 3.5 s).
VMS, FROZEN_S = 10, 3.5
# The client leaves after this, well within half its objective (give_up).
PATIENCE_S = 0.15
WATCH_S = 12.0


def plan(task):
    return None, "failed"


async def play(world):
    body = {"spec": "roster", "steps": [{
        "count": 2, "cpu": 3200, "mem_mb": 6400, "estimate_ms": 400,
        "long_running": True, "image": "watch-1", "target_ms": 18}]}
    # A job before shows that all is well.
    sound = new_id()
    answer = await world.call(world.vms[0], "POST", "watch", sound, body)
    if answer is None or answer[0] != 200:
        raise RuntimeError("a job was not accepted")
    frozen, other = world.followers()[:2]
    await asyncio.sleep(3.0)

    job = new_id()
    if world.is_troubled:
        frozen.send(signal.SIGSTOP)
        world.record.note(f"{frozen.name} freezes; {world.leader().name} leads")
    frozen_at = world.record.now()
    await world.call(frozen, "POST", "watch", job, body, patience=PATIENCE_S)
    answer = None
    while answer is None or answer[0] not in (200, 410):
        answer = await world.call(other, "DELETE", "watch", job)
    cancelled_at = world.record.now()
    world.record.note(f"the cancelling of {job} is acknowledged with {answer[0]}")
    await asyncio.sleep(max(0.0, FROZEN_S - (world.record.now() - frozen_at)))
    if world.is_troubled:
        frozen.send(signal.SIGCONT)
        world.record.note(f"{frozen.name} wakes")
    await asyncio.sleep(WATCH_S)
    state = await world.call(other, "GET", "watch", job)
    late = [s for s in world.starts if s[1].startswith(job)
            and s[0] - cancelled_at > BOUNDS["cancel_ms"] / 1000]
    broken = [f"UNASKED: {task} starts on {minion} {at - cancelled_at:.2f} s after "
              f"the cancelling was acknowledged, by {world.leader().name}"
              for at, task, minion in late]
    running = [t for t in world.at_work if t.startswith(job)]
    if running:
        broken.append(f"UNASKED: {' '.join(sorted(running))} still at work "
                      f"{world.record.now() - cancelled_at:.1f} s after it; the job "
                      f"is shown as {state}")
    return broken


if __name__ == "__main__":
    sys.exit(run(FOLDER, play, vms=VMS, minions=4, plan=plan))
