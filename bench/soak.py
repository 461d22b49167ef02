"""Soak test: three daemons with callers, batch jobs, configuration changes and
a table that loses responses. Prints memory, descriptors and rejected ring
messages of each daemon over time. Run: python3 bench/soak.py [seconds]"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "scripts"))

from daemon_cost import memory_mb, metric  # noqa: E402
from testbed import ROOT, Testbed, http  # noqa: E402

DECLARATION = os.path.join(ROOT, "samples", "demo", "declaration.toml")


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 180
    zones = [("zone-a", "region-1"), ("zone-b", "region-1"),
             ("zone-c", "region-2")]
    with Testbed(zones, standin_arguments=["--checkpoints", "2000"]) as bed:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        bed.fault("table", "lose_answer", probability=0.02)
        end = time.monotonic() + seconds
        statuses = {}

        def callers(daemon):
            n = 0
            while time.monotonic() < end:
                n += 1
                status = http("GET", daemon.caller_url(f"/lookup/{n}"))[0]
                statuses[status] = statuses.get(status, 0) + 1
                if n % 20 == 0:
                    http("POST", daemon.caller_url("/receipt"), "r",
                         {"Idempotency-Key": f"{daemon.id}-{n}"})
        threads = [threading.Thread(target=callers, args=(d,))
                   for d in bed.daemons]
        for thread in threads:
            thread.start()
        jobs = 0
        print("seconds  memory MB             descriptors     rejected")
        begin = time.monotonic()
        while time.monotonic() < end:
            bed.ctl("submit", "--id", f"soak-{jobs}", "--class",
                    "reconciliation", "--team", "billing", "--tasks", "20",
                    "--processors", "0.5", "--memory-mb", "200",
                    "--run-time", "3 s", check=False)
            jobs += 1
            if jobs % 5 == 0:
                bed.ctl("apply", DECLARATION, check=False)
            if jobs % 4 == 1:
                memory = [f"{memory_mb(d.process.pid):.1f}"
                          for d in bed.daemons]
                files = [len(os.listdir(f"/proc/{d.process.pid}/fd"))
                         for d in bed.daemons]
                rejected = [int(metric(d, "hemlockdeal_ring_rejected"))
                            for d in bed.daemons]
                print(f"{time.monotonic() - begin:7.0f}  {' '.join(memory)}  "
                      f"{files}  {rejected}", flush=True)
            time.sleep(4)
        for thread in threads:
            thread.join()
        submitted_tasks = jobs * 20
        bed.fault("table", "none")
        bed.wait_for(
            lambda: sum(
                t.get("finishes", 0)
                for t in bed.record()["tasks"].values()) >= submitted_tasks,
            60, "all tasks")
        record = bed.record()
        print(f"requests by status: {statuses}; tasks finished: "
              f"{sum(t.get('finishes', 0) for t in record['tasks'].values())} "
              f"of {submitted_tasks}; in two places: {record['overlaps']}")


if __name__ == "__main__":
    main()
