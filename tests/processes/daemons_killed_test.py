"""Failure: when daemons are killed (SIGKILL) or paused for longer than their
lease (SIGSTOP), a running task is lost, runs on two workers at once or finishes
twice. Checked against the record of the stand-in."""

import random
import signal
import sys
import time

from common import (DECLARATION, Testbed, expect, expect_never_exceeded,
                    finishes, submit)

SEED = 20261204
TASKS = 240


def main():
    rng = random.Random(SEED)
    zones = [("zone-a", "region-1"), ("zone-b", "region-1")]
    with Testbed(zones, daemons_per_zone=3, workers_per_zone=4,
                 standin_arguments=["--checkpoints", "1000"]) as bed:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        for i in range(4):
            submit(bed, f"job-{i}", TASKS // 4, 4,
                   daemon=bed.daemons[i % len(bed.daemons)])
        for round_number in range(3):
            time.sleep(3)
            killed, paused = rng.sample(bed.daemons, 2)
            bed.kill(killed)
            paused.process.send_signal(signal.SIGSTOP)
            # Longer than the lease, so that its shards are taken over.
            time.sleep(9)
            paused.process.send_signal(signal.SIGCONT)
            bed.start_daemon(killed)
            print(f"round {round_number}: killed {killed.id}, paused "
                  f"{paused.id}")

        def all_finished():
            record = bed.record()
            ended = [n for i in range(4)
                     for n in finishes(record, f"job-{i}").values()]
            return sum(1 for n in ended if n >= 1) == TASKS
        try:
            bed.wait_for(all_finished, 120, "all tasks finished")
        finally:
            record = bed.record()
            counts = [n for i in range(4)
                      for n in finishes(record, f"job-{i}").values()]
            print(f"tasks finished: {sum(1 for n in counts if n >= 1)} of "
                  f"{TASKS}; twice: {sum(1 for n in counts if n > 1)}; in two "
                  f"places: {record['overlaps']}")
        expect(record["overlaps"] == 0, "a task ran in two places")
        expect(all(n == 1 for n in counts), "a task finished twice")
        expect_never_exceeded(record)
    return 0


if __name__ == "__main__":
    sys.exit(main())
