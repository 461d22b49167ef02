"""Failure: two concurrent changes of the same configuration version are both
accepted, a change takes longer than 3 s to be in force on a daemon, or a
restarted daemon reverts to an older version."""

import concurrent.futures
import statistics
import sys
import time

from common import DECLARATION, Testbed, expect

CHANGES = 25
BOUND_MS = 3000


def change(bed, daemon, text, version, name):
    return daemon.operator("POST", "/v1/config", {
        "based_on": version, "author": name, "text": text, "zones_out": [],
        "id": f"{name}-{version}"}, timeout=15)


def main():
    text = open(DECLARATION).read()
    zones = [("zone-a", "region-1"), ("zone-b", "region-1"),
             ("zone-c", "region-2"), ("zone-d", "region-2")]
    text += '\n[[zone]]\nid = "zone-d"\nregion = "region-2"\n'
    with Testbed(zones, daemons_per_zone=2, workers_per_zone=1,
                 endpoints_per_zone=1) as bed:
        bed.start()
        bed.fault("table", "lose_answer", probability=0.1)
        delays = []
        version = 0
        double_accepts = 0
        for _ in range(CHANGES):
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                replies = list(pool.map(
                    lambda pair: change(bed, pair[0], text, version, pair[1]),
                    ((bed.daemons[0], "ana"), (bed.daemons[5], "bento"))))
            accepted_at = time.monotonic()
            accepted_replies = [r for r in replies if r[0] == 200]
            double_accepts += len(accepted_replies) > 1
            if not accepted_replies:
                # The outcome is unknown, or an earlier attempt of the same
                # operator was accepted.
                continue
            version = accepted_replies[0][1]["version"]
            pending = set(bed.daemons)
            while pending and time.monotonic() < accepted_at + 10:
                for daemon in list(pending):
                    status, active = daemon.operator("GET", "/v1/config")
                    if status == 200 and active["version"] >= version:
                        pending.discard(daemon)
                        delays.append((time.monotonic() - accepted_at) * 1000)
            expect(not pending, f"version {version} did not reach "
                                f"{[d.id for d in pending]}")
        restarted = bed.daemons[3]
        bed.kill(restarted)
        bed.start_daemon(restarted)
        active = bed.wait_for(
            lambda: (restarted.operator("GET", "/v1/config")[0] == 200
                     and restarted.operator("GET", "/v1/config")[1]),
            15, "the restarted daemon's configuration")
        print(f"{CHANGES} races, both won: {double_accepts}; "
              f"accepted to in force on 8 "
              f"daemons: median {statistics.median(delays):.0f} ms, worst "
              f"{max(delays):.0f} ms; restarted daemon holds version "
              f"{active['version']} of {version}")
        expect(double_accepts == 0, "two operators won the same version")
        expect(max(delays) <= BOUND_MS, "a change was in force too late")
        expect(active["version"] >= version, "a restarted daemon fell back")
    return 0


if __name__ == "__main__":
    sys.exit(main())
