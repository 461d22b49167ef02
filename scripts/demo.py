"""Demo: a platform stand-in and three daemons in three availability zones.
Sends requests through all daemons and runs a batch job to completion."""

import collections
import os
import sys
import time

from testbed import ROOT, Testbed, http

ZONES = [("zone-a", "region-1"), ("zone-b", "region-1"),
         ("zone-c", "region-2")]
DECLARATION = os.path.join(ROOT, "samples", "demo", "declaration.toml")


def send_requests(bed, count):
    outcomes = collections.Counter()
    times = []
    for i in range(count):
        daemon = bed.daemons[i % len(bed.daemons)]
        begin = time.monotonic()
        status, headers, _ = http("GET", daemon.caller_url(f"/lookup/{i}"))
        times.append((time.monotonic() - begin) * 1000)
        outcomes[f"{status} {headers.get('Hemlockdeal-Outcome', 'done')}"] += 1
    times.sort()
    return outcomes, times


def main():
    with Testbed(ZONES) as bed:
        bed.start()
        print(f"started {len(bed.daemons)} daemons in {len(ZONES)} "
              "availability zones")
        print(bed.ctl("apply", "--wait", DECLARATION).stdout.strip())

        outcomes, times = send_requests(bed, 300)
        key = {"Idempotency-Key": "receipt-1"}
        first = http("POST", bed.daemons[0].caller_url("/receipt"), "deposit",
                     key)
        second = http("POST", bed.daemons[1].caller_url("/receipt"), "deposit",
                      key)

        print(bed.ctl("submit", "--id", "nightly", "--class", "reconciliation",
                      "--team", "billing", "--tasks", "20", "--processors",
                      "2", "--memory-mb", "2048", "--run-time", "2 s",
                      "--wait", "--wait-seconds", "90",
                      timeout=120).stdout.strip())

        record = bed.record(["receipt-1"])
        finished = sum(t.get("finishes", 0) for t in record["tasks"].values())
        print("summary:")
        print(f"  requests: {dict(outcomes)}, median "
              f"{times[len(times) // 2]:.1f} ms, p99 "
              f"{times[int(len(times) * 0.99)]:.1f} ms")
        print(f"  the same receipt through two daemons: {first[0]} and "
              f"{second[0]}; runs at the endpoints: "
              f"{record['requests'].get('receipt-1')}")
        print(f"  batch tasks finished: {finished} of 20, in two places at "
              f"once: {record['overlaps']}")
        is_as_expected = (
            set(outcomes) == {"200 done"} and first[0] == second[0] == 200
            and record["requests"].get("receipt-1") == 1
            and finished == 20 and record["overlaps"] == 0)
        print("  result:",
              "as promised" if is_as_expected else "NOT as promised")
        return 0 if is_as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
