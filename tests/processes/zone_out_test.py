"""Failure: a task starts in an availability zone more than 4 s after an
operator took the zone out while that zone's daemon was paused and thus cut off
from its peers; a task of the zone is lost or runs twice; requests fail."""

import signal
import sys
import threading
import time

from common import (DECLARATION, ZONES, Testbed, expect, expect_never_exceeded,
                    finishes, http, submit)

BOUND_MS = 4000
# More than the workers can run at the same time, so that tasks are waiting to
# start throughout the test.
TASKS = 400


def main():
    with Testbed(ZONES, standin_arguments=["--checkpoints", "1000"]) as bed:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        submit(bed, "before", TASKS, 8)
        time.sleep(1)
        statuses = []
        stop = threading.Event()

        def callers():
            while not stop.is_set():
                for daemon in bed.daemons[1:]:
                    statuses.append(
                        http("GET", daemon.caller_url("/lookup/z"))[0])
                time.sleep(0.02)
        thread = threading.Thread(target=callers)
        thread.start()
        # Paused during the change, so it cannot receive it; after resuming it
        # must not start tasks based on its outdated configuration.
        paused = bed.daemons[0]
        paused.process.send_signal(signal.SIGSTOP)
        out = bed.ctl("zone", "out", "zone-a", daemon=bed.daemons[1])
        accepted_ms = time.time() * 1000
        time.sleep(3)
        paused.process.send_signal(signal.SIGCONT)
        time.sleep(9)
        after_bound = [s for s in bed.record()["starts"]
                      if s["at_ms"] > accepted_ms + BOUND_MS]
        late_in_zone = [s for s in after_bound if s["zone"] == "zone-a"]
        bed.ctl("zone", "back", "zone-a", daemon=bed.daemons[1])

        def done():
            return sum(finishes(bed.record(), "before").values()) >= TASKS
        bed.wait_for(done, 120, "all tasks of the job")
        stop.set()
        thread.join()
        record = bed.record()
        print(out.stdout.strip())
        print(f"starts in the zone past the bound: {len(late_in_zone)}; "
              f"requests: {len(statuses)}, statuses {sorted(set(statuses))}; "
              f"in two places: {record['overlaps']}")
        print(f"starts in other zones past the bound: "
              f"{len(after_bound) - len(late_in_zone)}")
        expect(len(after_bound) > len(late_in_zone),
               "no task waited for a start, so "
               "the check says nothing")
        expect(not late_in_zone,
               f"tasks started in a removed zone: {late_in_zone}")
        expect(set(statuses) == {200}, "requests failed while the zone left")
        expect(record["overlaps"] == 0, "a task ran in two places")
        expect(all(n == 1 for n in finishes(record, "before").values()),
               "a task finished twice")
        expect_never_exceeded(record)
    return 0


if __name__ == "__main__":
    sys.exit(main())
