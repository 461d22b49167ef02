"""Failure: an operator's command has the wrong effect or reports it wrongly: an
invalid file, a lost race, a zone taken out and back while its daemon is down, a
replaced daemon, the time line of a job while a daemon is down."""

import json
import os
import sys
import tempfile
import time

from common import (DECLARATION, ZONES, Testbed, expect, expect_never_exceeded,
                    finishes, submit)


def invalid_file_is_rejected(bed, directory):
    path = os.path.join(directory, "bad.toml")
    text = open(DECLARATION).read()
    text = (text.replace('kind = "latency_critical"', 'kind = "fast"', 1)
            .replace('target = "6 h"', 'target = "soon"')
            .replace("quota_percent = 30.0", "quota_percent = 130.0"))
    with open(path, "w") as file:
        file.write(text)
    result = bed.ctl("apply", path, check=False)
    findings = [line for line in (result.stdout + result.stderr).splitlines()
                if "bad.toml:" in line]
    print(f"invalid file: exit {result.returncode}, {len(findings)} findings")
    expect(result.returncode == 2,
           "an invalid file was not rejected with exit code 2")
    expect(len(findings) >= 3, f"not all findings were reported: {findings}")


def lost_race_is_reported(bed):
    result = bed.ctl("apply", "--based-on", "0", DECLARATION, check=False)
    print(f"lost race: exit {result.returncode}: "
          f"{(result.stdout + result.stderr).strip().splitlines()[0]}")
    expect(result.returncode == 5,
           "the losing change was not rejected with exit code 5")
    expect("version 1" in result.stdout + result.stderr,
           "the rejection does not name the current version")


def target_change_is_in_force(bed, directory):
    path = os.path.join(directory, "target.toml")
    with open(path, "w") as file:
        file.write(open(DECLARATION).read().replace('"150 ms"', '"120 ms"'))
    diff = bed.ctl("diff", path, check=False).stdout
    expect("120" in diff, f"diff does not show the target: {diff}")
    result = bed.ctl("apply", "--wait", path)
    expect(result.stdout.count("confirmed at version") == len(bed.daemons),
           f"not every daemon was confirmed: {result.stdout}")
    status = json.loads(bed.ctl("status", "--json").stdout)
    targets = {c["id"]: c["target_ms"] for c in status["classes"]}
    expect(targets["lookup"] == 120, f"the target is not in force: {targets}")
    print("target changed and in force on every daemon")


def zone_out_with_daemon_down(bed):
    stopped = bed.daemons[0]
    bed.kill(stopped)
    submit(bed, "long", 24, 10, daemon=bed.daemons[1])
    time.sleep(1)
    result = bed.ctl("zone", "out", "zone-a", "--wait", "--wait-seconds", "6",
                   daemon=bed.daemons[1], check=False)
    print(f"zone out with its daemon down: exit {result.returncode}: "
          f"{result.stdout.strip().splitlines()[-1]}")
    expect(result.returncode == 3,
           "the unreachable daemon was not reported with exit code 3")
    expect("starts nothing new after" in result.stdout,
           "the tool does not report when starts in the zone end")
    bed.start_daemon(stopped)
    result = bed.ctl("zone", "back", "zone-a", "--wait", "--wait-seconds", "20",
                   daemon=bed.daemons[1])
    expect(result.stdout.count("confirmed at version") == len(bed.daemons),
           f"the replaced daemon is not confirmed: {result.stdout}")
    print("daemon replaced and zone back: every daemon confirmed")


def tasks_move_out_of_a_zone(bed):
    submit(bed, "moved", 24, 8, daemon=bed.daemons[1])
    bed.wait_for(
        lambda: any(s["zone"] == "zone-b" and s["task"].startswith("moved/")
                    for s in bed.record()["starts"]), 20,
        "a start in the zone")
    time.sleep(2)
    bed.ctl("zone", "out", "zone-b", "--wait", daemon=bed.daemons[2])
    bed.wait_for(
        lambda: sum(finishes(bed.record(), "moved").values()) >= 24, 120,
        "completion of the job that moved out of the zone")
    restarted = [task for task, counts in bed.record()["tasks"].items()
             if task.startswith("moved/") and counts["starts"] > 1]
    bed.ctl("zone", "back", "zone-b", "--wait", daemon=bed.daemons[2])
    print(f"zone out with its daemon up: {len(restarted)} tasks were evicted "
          "and resumed elsewhere")
    expect(restarted, "no task moved out of the zone")


def timeline_with_all_ends(bed, job, tasks):
    """Returns the time line of a job whose tasks have ended. Daemons learn of
    an end from the next report of its worker, which comes within 5 s."""
    def read():
        timeline = bed.ctl("timeline", "--job", job, daemon=bed.daemons[1])
        return timeline if timeline.stdout.count("task.finish") >= tasks \
            else None
    return bed.wait_for(read, 10, f"{tasks} ended tasks in the time line")


def timeline_reports_missing_part(bed, directory):
    complete = timeline_with_all_ends(bed, "moved", 24)
    kinds = {kind for kind in ("job.accepted", "task.start", "task.evict",
                               "task.finish")
             if kind in complete.stdout}
    expect(kinds >= {"job.accepted", "task.start", "task.evict",
                     "task.finish"},
           f"the job's events lack all but {sorted(kinds)}")
    trace = os.path.join(directory, "trace.json")
    bed.ctl("timeline", "--job", "moved", "--chrome", trace,
            daemon=bed.daemons[1])
    events = json.load(open(trace))
    events = events["traceEvents"] if isinstance(events, dict) else events
    bed.kill(bed.daemons[2])
    partial = bed.ctl("timeline", "--job", "moved", daemon=bed.daemons[1],
                      check=False)
    print(f"time line: {len(complete.stdout.splitlines())} lines, kinds "
          f"{sorted(kinds)}, {len(events)} trace events; with a daemon down: "
          f"exit {partial.returncode}")
    expect(len(events) > 24, "the trace has too few events")
    missing = (bed.daemons[2].id, f"127.0.0.1:{bed.daemons[2].operators}")
    expect(partial.returncode == 3,
           "a missing daemon is not reported with exit code 3")
    expect(any(name in partial.stdout + partial.stderr for name in missing),
           f"the missing daemon is not named: {partial.stderr}")


def main():
    with Testbed(ZONES, standin_arguments=["--checkpoints", "1000"]) as bed, \
            tempfile.TemporaryDirectory() as directory:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        invalid_file_is_rejected(bed, directory)
        lost_race_is_reported(bed)
        target_change_is_in_force(bed, directory)
        zone_out_with_daemon_down(bed)
        bed.wait_for(
            lambda: sum(finishes(bed.record(), "long").values()) >= 24, 120,
            "completion of the job that ran during the zone change")
        tasks_move_out_of_a_zone(bed)
        timeline_reports_missing_part(bed, directory)
        record = bed.record()
        expect(record["overlaps"] == 0, "a task ran on two workers at once")
        for job in ("long", "moved"):
            expect(all(n == 1 for n in finishes(record, job).values()),
                   "a task finished more than once")
        expect_never_exceeded(record)
    return 0


if __name__ == "__main__":
    sys.exit(main())
