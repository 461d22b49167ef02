"""Failure: an outage of the table stops interactive requests or running tasks,
accepted tasks are lost, or tasks run twice when responses are lost after the
write."""

import sys
import time

from common import (DECLARATION, ZONES, Testbed, expect, expect_never_exceeded,
                    finishes, http, submit)


def main():
    with Testbed(ZONES, standin_arguments=["--checkpoints", "1000"]) as bed:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        bed.fault("table", "lose_answer", probability=0.3)
        submit(bed, "lossy", 30, 6)
        time.sleep(3)
        bed.fault("table", "down")
        begin = time.monotonic()
        refused = bed.ctl("submit", "--id", "during", "--class",
                          "reconciliation", "--team", "billing",
                          "--processors", "1", "--memory-mb", "100",
                          check=False)
        statuses = set()
        keyed = set()
        keys = []
        while time.monotonic() - begin < 20:
            for daemon in bed.daemons:
                statuses.add(http("GET", daemon.caller_url("/lookup/x"))[0])
                keys.append(f"k-{len(keys)}")
                status, headers, _ = http(
                    "POST", daemon.caller_url("/receipt"), "x",
                    {"Idempotency-Key": keys[-1]})
                keyed.add((status, headers.get("Hemlockdeal-Outcome")))
            time.sleep(0.3)
        during = bed.record(keys)["requests"]
        bed.fault("table", "none")

        def done():
            record = bed.record()
            return sum(finishes(record, "lossy").values()) >= 30
        bed.wait_for(done, 90, "the job of before the outage")
        record = bed.record()
        print(f"submission in the outage: exit {refused.returncode}; requests "
              f"in the outage: {statuses}; keyed: {keyed}; in two places: "
              f"{record['overlaps']}")
        expect(refused.returncode != 0, "a submission was accepted although "
                                        "nothing could be written")
        expect(statuses == {200}, "idempotent requests failed in the outage")
        expect(all(outcome in ("not-run", "unknown")
                   for _, outcome in keyed), "a keyed request was answered "
                                             "without a claim")
        expect(not any(during.values()),
               "a request without a claim reached an endpoint")
        expect(record["overlaps"] == 0, "a task ran in two places")
        expect(all(n == 1 for n in finishes(record, "lossy").values()),
               "a task finished twice")
        expect_never_exceeded(record)
    return 0


if __name__ == "__main__":
    sys.exit(main())
