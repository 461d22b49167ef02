"""Failure: a task starts in an availability zone more than 4 s after operators
took the zone out, although that zone's daemon is cut off from its peers and
paused in between; work of the zone is lost or doubled; requests are cut off."""

import signal
import sys
import threading
import time

from common import (DECLARATION, ZONES, Testbed, expect, expect_never_exceeded,
                    finishes, http, submit)

BOUND_MS = 4000
# More than all workers hold at a time, so that tasks wait for a start
# throughout the test.
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
        # Paused across the change: it cannot be told, and on waking up it
        # must not start anything by what it knew before.
        paused = bed.daemons[0]
        paused.process.send_signal(signal.SIGSTOP)
        out = bed.ctl("zone", "out", "zone-a", daemon=bed.daemons[1])
        accepted_ms = time.time() * 1000
        time.sleep(3)
        paused.process.send_signal(signal.SIGCONT)
        time.sleep(9)
        past_bound = [s for s in bed.record()["starts"]
                      if s["at_ms"] > accepted_ms + BOUND_MS]
        late = [s for s in past_bound if s["zone"] == "zone-a"]
        bed.ctl("zone", "back", "zone-a", daemon=bed.daemons[1])

        def done():
            return sum(finishes(bed.record(), "before").values()) >= TASKS
        bed.wait_for(done, 120, "all tasks of the job")
        stop.set()
        thread.join()
        record = bed.record()
        print(out.stdout.strip())
        print(f"starts in the zone past the bound: {len(late)}; requests: "
              f"{len(statuses)}, statuses {sorted(set(statuses))}; in two "
              f"places: {record['overlaps']}")
        print(f"starts in other zones past the bound: "
              f"{len(past_bound) - len(late)}")
        expect(len(past_bound) > len(late), "no task waited for a start, so "
                                            "the check says nothing")
        expect(not late, f"tasks started in a removed zone: {late}")
        expect(set(statuses) == {200}, "requests failed while the zone left")
        expect(record["overlaps"] == 0, "a task ran in two places")
        expect(all(n == 1 for n in finishes(record, "before").values()),
               "a task finished twice")
        expect_never_exceeded(record)
    return 0


if __name__ == "__main__":
    sys.exit(main())
