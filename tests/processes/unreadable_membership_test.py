"""Failure: a daemon that cannot read the membership list drops its last list,
or does not tell that it is old and when it is up to date again."""

import sys

from common import DECLARATION, Testbed, expect, http

AGE = "hemlockdeal_membership_age_seconds"
OLD_AFTER_SECONDS = 10
OLD = "the membership list is old"
FRESH = "the membership list is up to date again"


def age(daemon):
    _, text = daemon.operator("GET", "/metrics")
    return next((float(line.split()[-1]) for line in str(text).splitlines()
                 if line.startswith(AGE + " ")), None)


def count_lines(daemon, text):
    with open(daemon.log) as log:
        return sum(text in line for line in log)


def main():
    with Testbed([("zone-a", "region-1")]) as bed:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        daemon = bed.daemons[0]
        bed.wait_for(lambda: age(daemon) is not None and
                     age(daemon) < OLD_AFTER_SECONDS, 10, "a fresh list")
        bed.wait_for(lambda: http("GET", daemon.caller_url("/lookup/z"))[0] ==
                     200, 10, "first response")
        bed.fault("membership", "truncate")
        statuses = []

        def is_reported():
            statuses.append(http("GET", daemon.caller_url("/lookup/z"))[0])
            return count_lines(daemon, OLD) == 1
        bed.wait_for(is_reported, 60, "log line about the old list")
        bed.wait_for(lambda: age(daemon) > OLD_AFTER_SECONDS + 2, 60,
                     "age of the list in the metrics")
        expect(count_lines(daemon, FRESH) == 0, "the old list counts as fresh")
        bed.fault("membership", "none")
        bed.wait_for(lambda: count_lines(daemon, FRESH) == 1, 30,
                     "log line about the fresh list")
        bed.wait_for(lambda: age(daemon) < OLD_AFTER_SECONDS, 30,
                     "age of a fresh list")
        print(f"requests: {len(statuses)}, statuses {sorted(set(statuses))}")
        expect(set(statuses) == {200}, "requests failed beside an old list")
        expect(count_lines(daemon, OLD) == 1, "the old list was logged again")
    return 0


if __name__ == "__main__":
    sys.exit(main())
