"""Two minions are cut off for a while. The leading machine freezes and wakes again,
and its zone is cut off meanwhile. No task may run on two minions."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import run_case  # noqa: E402

VMS, WORKERS = 3, 12
CAPACITY = {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
JOBS = 3
STEPS = [{"count": 12, "cpu": 500, "mem_mb": 1000, "estimate_ms": 400,
          "long_running": True}]
MINIONS_CUT, FREEZE_AFTER_S = 2, 2.1
FREEZE_S, CUT_AFTER_S, CUT_S = 3.5, 1.0, 5.0


def paths_over_the_border(deployment, zone):
    """The paths between the zone and the others, with the store in another."""
    out = []
    for number, vm in enumerate(deployment.vms):
        if vm.zone == zone:
            out.append(deployment.store.paths[vm.store_port])
        out += [worker.paths[number] for worker in deployment.workers
                if (worker.zone == zone) != (vm.zone == zone)]
    out += [worker.store_path for worker in deployment.workers
            if worker.zone == zone]
    return out


async def freeze_as_it_renews(deployment, leader):
    """As the answer to its renewal is on its way."""
    store = deployment.store
    version = store.version_of("lease", "lead", "leader")
    while store.version_of("lease", "lead", "leader") == version:
        await asyncio.sleep(0)  # at most until the case is over
    leader.send(signal.SIGSTOP)


async def case(deployment, has_trouble):
    for i in range(JOBS):
        await deployment.submit(deployment.vms[i % VMS], STEPS)
    await deployment.wait_until(
        lambda: len(deployment.runs) == JOBS * STEPS[0]["count"], 20)
    await asyncio.sleep(4)
    leader = deployment.leader()
    border = paths_over_the_border(deployment, leader.zone)
    deployment.record.note(f"{leader.name} leads, in zone {leader.zone}")
    if has_trouble:
        far = [worker for worker in deployment.workers
               if worker.zone != leader.zone][:MINIONS_CUT]
        both = [path for worker in far
                for path in [*worker.paths, worker.store_path]]
        for path in both:
            path.cut()
        deployment.record.note(f"{[w.id for w in far]} are cut off")
        await asyncio.sleep(FREEZE_AFTER_S)
        await freeze_as_it_renews(deployment, leader)
        frozen_at = time.monotonic()
        await asyncio.sleep(CUT_AFTER_S)
        for path in border:
            path.cut()
        deployment.record.note(f"zone {leader.zone} is cut off")
        await asyncio.sleep(0.15)
        for path in both:
            if path not in border:
                path.heal()
        deployment.record.note(f"{[w.id for w in far]} are reached again by the "
                               f"other zones")
        await asyncio.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
        leader.send(signal.SIGCONT)
        await asyncio.sleep(frozen_at + CUT_AFTER_S + CUT_S - time.monotonic())
        for path in border:
            path.heal()
        deployment.record.note(f"zone {leader.zone} is reached again")
    await asyncio.sleep(8)


run_case(FOLDER, case, VMS, WORKERS, CAPACITY)
