"""Failure: malformed entries of the membership list take down the rest of the
list or are not logged once each, a VM whose entry turns malformed gets new work
or loses what runs on it, or it is not used again when its entry is
well-formed."""

import sys
import threading
import time

from common import (DECLARATION, Testbed, expect, expect_never_exceeded,
                    finishes, http, submit)

LONG_TASKS = 12
# More than the waits before the entries are corrected take on a slow machine;
# expect_running fails if it is not enough.
LONG_TASK_SECONDS = 45
MALFORMED = "hemlockdeal_membership_malformed_entries"


def metric(daemon, name):
    _, text = daemon.operator("GET", "/metrics")
    values = [line.split()[-1] for line in str(text).splitlines()
              if line.startswith(name + " ")]
    return float(values[0]) if values else None


def log_lines(daemon, text):
    with open(daemon.log) as log:
        return [line for line in log if text in line]


class Callers:
    """Sends requests to all daemons until it is stopped."""

    def __init__(self, daemons):
        self.statuses = []
        self.daemons = daemons
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.stopping.is_set():
            for daemon in self.daemons:
                self.statuses.append(
                    http("GET", daemon.caller_url("/lookup/z"))[0])
            time.sleep(0.005)

    def stop(self):
        self.stopping.set()
        self.thread.join()


def runs(bed, endpoint):
    return bed.record()["endpoints"].get(endpoint, {"runs": 0})["runs"]


def starts(bed, job):
    """Workers of the job's starts."""
    return [s["worker"] for s in bed.record()["starts"]
            if s["task"].startswith(job + "/")]


def wait_for_requests(bed, endpoint, count):
    before = runs(bed, endpoint)
    bed.wait_for(lambda: runs(bed, endpoint) >= before + count, 20,
                 f"{count} requests at {endpoint}")


def all_finished(bed, job, tasks):
    return sum(finishes(bed.record(), job).values()) >= tasks


def expect_running(bed, job, worker, count):
    """`count` tasks of the job run on the worker now."""
    record = bed.record()
    tasks = {s["task"] for s in record["starts"]
             if s["worker"] == worker and s["task"].startswith(job + "/")}
    running = [t for t in tasks if record["tasks"][t]["running"] == 1]
    print(f"tasks that run on {worker}: {len(running)}")
    expect(len(running) == count,
           f"{len(running)} tasks instead of {count} run on {worker}")


def check(bed, vms):
    submit(bed, "long", LONG_TASKS, LONG_TASK_SECONDS)
    bed.wait_for(lambda: len(starts(bed, "long")) == LONG_TASKS, 20,
                 "start of all long tasks")
    workers = starts(bed, "long")
    worker = max(set(workers), key=workers.count)
    kept = workers.count(worker)
    hidden = next(f"zone-a-worker-{i}" for i in range(1, 5)
                  if f"zone-a-worker-{i}" != worker)
    endpoint = "zone-a-orders-1"
    wait_for_requests(bed, endpoint, 1)
    raw = [{**vms[worker], "state": "?"}, {**vms[endpoint], "kind": "?"},
           {"id": "stranger", "kind": "worker"}, {"kind": "worker"}, 5]
    bed.post("/membership", {
        "raw": raw, "hide": [worker, endpoint, hidden],
        "set": [{**vms[endpoint], "id": "new-endpoint"}]})
    wait_for_requests(bed, "new-endpoint", 20)
    for daemon in bed.daemons:
        bed.wait_for(lambda d=daemon: metric(d, MALFORMED) == len(raw), 10,
                     f"{len(raw)} malformed entries at {daemon.id}")
    expect_running(bed, "long", worker, kept)
    wait_for_requests(bed, "new-endpoint", 20)
    before = runs(bed, endpoint)
    submit(bed, "more", 40, 1)
    bed.wait_for(lambda: all_finished(bed, "more", 40), 30, "end of 'more'")
    wait_for_requests(bed, "new-endpoint", 20)
    after = runs(bed, endpoint)
    print(f"requests at the endpoint: {before}, later {after}; starts of new "
          f"tasks: {len(starts(bed, 'more'))}, of the long ones: "
          f"{len(starts(bed, 'long'))}")
    expect(after == before, "an endpoint with a malformed entry got requests")
    expect(not {worker, hidden} & set(starts(bed, "more")),
           "a worker with a malformed entry got new tasks")
    for daemon in bed.daemons:
        lines = log_lines(daemon, "malformed entry of the membership list")
        expect(len(lines) == len(raw),
               f"{daemon.id} did not log each entry once: {lines}")

    expect_running(bed, "long", worker, kept)
    bed.post("/membership", {"raw": [], "hide": []})
    wait_for_requests(bed, endpoint, 5)
    for daemon in bed.daemons:
        bed.wait_for(lambda d=daemon: metric(d, MALFORMED) == 0, 10,
                     f"no malformed entries at {daemon.id}")
    submit(bed, "after", 100, 1)
    bed.wait_for(lambda: {worker, hidden} <= set(starts(bed, "after")), 20,
                 "starts on the workers with sound entries")
    bed.wait_for(lambda: all_finished(bed, "long", LONG_TASKS) and
                 all_finished(bed, "after", 100), 90, "end of all tasks")


def main():
    with Testbed([("zone-a", "region-1")], daemons_per_zone=2) as bed:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        callers = Callers(bed.daemons)
        try:
            check(bed, {vm["id"]: vm for vm in bed.topology()["vms"]})
        finally:
            callers.stop()
        record = bed.record()
        print(f"requests: {len(callers.statuses)}, statuses "
              f"{sorted(set(callers.statuses))}; concurrent runs: "
              f"{record['overlaps']}")
        expect(set(callers.statuses) == {200}, "requests failed")
        expect(record["overlaps"] == 0, "a task ran on two workers at once")
        expect(len(starts(bed, "long")) == LONG_TASKS,
               "a running task was started again")
        expect(all(n == 1 for job in ("long", "more", "after")
                   for n in finishes(record, job).values()),
               "a task finished more than once")
        expect_never_exceeded(record)
    return 0


if __name__ == "__main__":
    sys.exit(main())
