"""Helpers of the tests with real processes."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))

from testbed import ROOT, Testbed, http  # noqa: E402,F401

DECLARATION = os.path.join(ROOT, "samples", "demo", "declaration.toml")
ZONES = [("zone-a", "region-1"), ("zone-b", "region-1"),
         ("zone-c", "region-2")]


def expect(condition, message):
    if not condition:
        raise AssertionError(message)


def submit(bed, job, tasks, seconds, daemon=None, work_class="reconciliation",
           team="billing"):
    """Submits a job; repeats the call with the same id until it is accepted."""
    for _ in range(10):
        result = bed.ctl("submit", "--id", job, "--class", work_class, "--team",
                       team, "--tasks", str(tasks), "--processors", "1",
                       "--memory-mb", "1000", "--run-time", f"{seconds} s",
                       daemon=daemon, check=False)
        if result.returncode == 0:
            return
    raise AssertionError(
        f"{job} was not accepted: {result.stdout}{result.stderr}")


def finishes(record, job):
    return {task: counts.get("finishes", 0)
            for task, counts in record["tasks"].items()
            if task.startswith(job + "/")}


def expect_never_exceeded(record):
    exceeded = {name: w["times_exceeded"]
                for name, w in record["workers"].items()
                if w["times_exceeded"]}
    expect(not exceeded, f"workers were committed beyond their size: "
                         f"{exceeded}")
