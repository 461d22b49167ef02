"""Failure: a step of the operators' daily work does not do, or does not say,
what happened: a bad file, a lost race, a zone cut off and taken out and back,
a daemon replaced, the time line of one job with a daemon down."""

import json
import os
import sys
import tempfile
import time

from common import (DECLARATION, ZONES, Testbed, expect, expect_never_exceeded,
                    finishes, submit)


def bad_file_is_refused(bed, directory):
    path = os.path.join(directory, "bad.toml")
    text = open(DECLARATION).read()
    text = (text.replace('kind = "latency_critical"', 'kind = "fast"', 1)
            .replace('target = "6 h"', 'target = "soon"')
            .replace("quota_percent = 30.0", "quota_percent = 130.0"))
    with open(path, "w") as file:
        file.write(text)
    done = bed.ctl("apply", path, check=False)
    places = [line for line in (done.stdout + done.stderr).splitlines()
              if "bad.toml:" in line]
    print(f"bad file: exit {done.returncode}, {len(places)} findings")
    expect(done.returncode == 2, "a bad file was not refused with exit code 2")
    expect(len(places) >= 3, f"not all findings were reported: {places}")


def race_is_lost_clearly(bed):
    done = bed.ctl("apply", "--based-on", "0", DECLARATION, check=False)
    print(f"lost race: exit {done.returncode}: "
          f"{(done.stdout + done.stderr).strip().splitlines()[0]}")
    expect(done.returncode == 5, "the loser of a race was not told")
    expect("version 1" in done.stdout + done.stderr,
           "the loser was not told which version won")


def target_changes(bed, directory):
    path = os.path.join(directory, "target.toml")
    with open(path, "w") as file:
        file.write(open(DECLARATION).read().replace('"150 ms"', '"120 ms"'))
    diff = bed.ctl("diff", path, check=False).stdout
    expect("120" in diff, f"diff does not show the target: {diff}")
    done = bed.ctl("apply", "--wait", path)
    expect(done.stdout.count("confirmed at version") == len(bed.daemons),
           f"not every daemon was confirmed: {done.stdout}")
    status = json.loads(bed.ctl("status", "--json").stdout)
    targets = {c["id"]: c["target_ms"] for c in status["classes"]}
    expect(targets["lookup"] == 120, f"the target is not in force: {targets}")
    print("target changed and in force on every daemon")


def zone_leaves_while_cut_off(bed):
    gone = bed.daemons[0]
    bed.kill(gone)
    submit(bed, "long", 24, 10, daemon=bed.daemons[1])
    time.sleep(1)
    done = bed.ctl("zone", "out", "zone-a", "--wait", "--wait-seconds", "6",
                   daemon=bed.daemons[1], check=False)
    print(f"zone out with its daemon down: exit {done.returncode}: "
          f"{done.stdout.strip().splitlines()[-1]}")
    expect(done.returncode == 3, "the tool claims what it cannot know")
    expect("starts nothing new after" in done.stdout,
           "the tool does not say from when on nothing starts")
    bed.start_daemon(gone)
    back = bed.ctl("zone", "back", "zone-a", "--wait", "--wait-seconds", "20",
                   daemon=bed.daemons[1])
    expect(back.stdout.count("confirmed at version") == len(bed.daemons),
           f"the replaced daemon is not confirmed: {back.stdout}")
    print("daemon replaced and zone back: every daemon confirmed")


def work_moves_out_of_a_zone(bed):
    submit(bed, "moved", 24, 8, daemon=bed.daemons[1])
    bed.wait_for(
        lambda: any(s["zone"] == "zone-b" and s["task"].startswith("moved/")
                    for s in bed.record()["starts"]), 20,
        "a start in the zone")
    time.sleep(2)
    bed.ctl("zone", "out", "zone-b", "--wait", daemon=bed.daemons[2])
    bed.wait_for(
        lambda: sum(finishes(bed.record(), "moved").values()) >= 24, 120,
        "the job that left the zone")
    again = [task for task, counts in bed.record()["tasks"].items()
             if task.startswith("moved/") and counts["starts"] > 1]
    bed.ctl("zone", "back", "zone-b", "--wait", daemon=bed.daemons[2])
    print(f"zone out with its daemon up: {len(again)} tasks were evicted and "
          "resumed elsewhere")
    expect(again, "no task moved out of the zone")


def timeline_tells_what_is_missing(bed, directory):
    whole = bed.ctl("timeline", "--job", "moved", daemon=bed.daemons[1])
    kinds = {kind for kind in ("job.accepted", "task.start", "task.evict",
                               "task.finish")
             if kind in whole.stdout}
    expect(kinds >= {"job.accepted", "task.start", "task.evict",
                     "task.finish"},
           f"the job's life is not shown: {whole.stdout[:400]}")
    trace = os.path.join(directory, "trace.json")
    bed.ctl("timeline", "--job", "moved", "--chrome", trace,
            daemon=bed.daemons[1])
    events = json.load(open(trace))
    events = events["traceEvents"] if isinstance(events, dict) else events
    bed.kill(bed.daemons[2])
    part = bed.ctl("timeline", "--job", "moved", daemon=bed.daemons[1],
                   check=False)
    print(f"time line: {len(whole.stdout.splitlines())} lines, kinds "
          f"{sorted(kinds)}, {len(events)} trace events; with a daemon down: "
          f"exit {part.returncode}")
    expect(len(events) > 24, "the trace has too few events")
    missing = (bed.daemons[2].id, f"127.0.0.1:{bed.daemons[2].operators}")
    expect(part.returncode == 3, "a missing part is not reported")
    expect(any(name in part.stdout + part.stderr for name in missing),
           f"the missing part is not named: {part.stderr}")


def main():
    with Testbed(ZONES, standin_arguments=["--checkpoints", "1000"]) as bed, \
            tempfile.TemporaryDirectory() as directory:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        bad_file_is_refused(bed, directory)
        race_is_lost_clearly(bed)
        target_changes(bed, directory)
        zone_leaves_while_cut_off(bed)
        bed.wait_for(
            lambda: sum(finishes(bed.record(), "long").values()) >= 24, 120,
            "the job that ran while the zone left")
        work_moves_out_of_a_zone(bed)
        timeline_tells_what_is_missing(bed, directory)
        record = bed.record()
        expect(record["overlaps"] == 0, "a task ran in two places")
        for job in ("long", "moved"):
            expect(all(n == 1 for n in finishes(record, job).values()),
                   "a task finished twice")
        expect_never_exceeded(record)
    return 0


if __name__ == "__main__":
    sys.exit(main())
