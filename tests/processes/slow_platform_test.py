"""Failure: a daemon behind a slow path to the platform never gets a large
declaration after its restart, or never sees a change of a long membership
list."""

import os
import sys
import tempfile
import time

from common import DECLARATION, Testbed, expect, http

# With these, the list has about 0.4 MB and the declaration 0.9 MB.
OTHER_WORKERS = 1500
COMMENT_LINES = 9000
LIST_RATE = 150_000
TABLE_RATE = 90_000
# Longer than any time limit of a call or of a change (8 s).
TRANSFER_S = 9


def large_declaration(directory):
    with open(DECLARATION) as file:
        text = file.read()
    path = os.path.join(directory, "declaration.toml")
    with open(path, "w") as file:
        file.write(text + f"# {'x' * 96}\n" * COMMENT_LINES)
    return path


def lookup(daemon):
    return http("GET", daemon.caller_url("/lookup/z"))[0]


def serves(bed, endpoint):
    for daemon in bed.daemons:
        lookup(daemon)
    return bed.record()["endpoints"].get(endpoint, {"runs": 0})["runs"] > 0


def check_list(bed):
    vms = {vm["id"]: vm for vm in bed.topology()["vms"]}
    others = [{**vms["zone-a-worker-1"], "id": f"other-{i}", "zone": "zone-b"}
              for i in range(OTHER_WORKERS)]
    bed.fault("membership", "slow_path", bytes_per_second=LIST_RATE)
    bed.post("/membership", {"set": [
        *others, {**vms["zone-a-orders-1"], "id": "new-endpoint"}]})
    bed.wait_for(lambda: serves(bed, "new-endpoint"), 20,
                 "a request at the new endpoint")
    bed.fault("membership", "none")


def check_declaration(bed):
    daemon = bed.daemons[0]
    bed.fault("table", "slow_path", bytes_per_second=TABLE_RATE)
    bed.kill(daemon)
    began = time.monotonic()
    bed.start_daemon(daemon)
    bed.wait_for(lambda: lookup(daemon) == 200, 30,
                 "service after the restart")
    took = time.monotonic() - began
    print(f"in service {took:.1f} s after the restart")
    expect(took >= TRANSFER_S, "the transfer was not slow")


def main():
    with Testbed([("zone-a", "region-1")]) as bed, \
            tempfile.TemporaryDirectory() as directory:
        bed.start()
        bed.ctl("apply", "--wait", large_declaration(directory))
        check_list(bed)
        check_declaration(bed)
    return 0


if __name__ == "__main__":
    sys.exit(main())
