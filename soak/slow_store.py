#!/usr/bin/env python3
"""How long a large change of the configuration takes to be in force on all entry
VMs, as real processes, when the path to the store is slow or interrupted.

Usage: soak/slow_store.py [--rate BYTES] [--shared BYTES] [--disruption KIND]
"""

import argparse
import asyncio
import copy
import json
import os
import time

from caller import call
from command_line import add_common_options, run_and_exit
from configuration import CONFIGURATION, PREFIX
from entry_vm import EntryVm
from http_standin import Link
from store_standin import Store

NEW_PREFIX = "/added"
POLL_INTERVAL_S = 0.02
OUTAGE_S = 2.0
# Until the response with a change has begun.
BEGUN_S = 0.2
# "none", the store does not respond for OUTAGE_S until the change, a VM restarts
# after the change, the store's history is lost after the change, or an earlier
# change of the same size is in transfer when it is made.
DISRUPTIONS = ["none", "silent", "restart", "history", "succession"]


def configuration(version, routes):
    out = copy.deepcopy(CONFIGURATION)
    out["version"] = version
    template = out["routes"][0]
    for number in range(routes):
        out["routes"].append(dict(template, name=f"added-{number}",
                                  path_prefix=f"{NEW_PREFIX}{number}/"))
    return out


async def time_in_force(daemon, prefix, began, at_most):
    """Seconds from `began` until the VM serves the route, or None."""
    while time.monotonic() - began < at_most:
        response = await call(daemon.callers, "GET", prefix, timeout=1.0)
        if response is not None and response[0] not in (404, 503):
            return time.monotonic() - began
        await asyncio.sleep(POLL_INTERVAL_S)
    return None


def put(store, version, routes):
    store.put("op", "", "config",
              json.dumps(configuration(version, routes)).encode())


async def disrupt(options, store, daemons):
    """Changes the configuration beside the disruption. Returns the prefix of a
    route of the newest configuration and the time of the change."""
    if options.disruption == "silent":
        for port in store.faults:
            store.faults[port] = "silent"
        await asyncio.sleep(OUTAGE_S)
        for port in store.faults:
            store.faults[port] = "ok"
    put(store, 2, options.routes)
    if options.disruption == "succession":
        await asyncio.sleep(BEGUN_S)
        put(store, 3, options.routes + 1)
        return f"{NEW_PREFIX}{options.routes}/", time.monotonic()
    began = time.monotonic()
    if options.disruption == "restart":
        await daemons[0].kill()
        await daemons[0].start()
    if options.disruption == "history":
        store.oldest = store.version
        put(store, 3, options.routes + 1)
        return f"{NEW_PREFIX}{options.routes}/", began
    return f"{NEW_PREFIX}{options.routes - 1}/", began


async def run(options, folder):
    base = 19000 + os.getpid() % 2000
    store = Store()
    daemons = [EntryVm(i, base + 3 * i, options.program, folder,
                           {"config_apply_ms": options.bound_ms})
               for i in range(options.daemons)]
    for daemon in daemons:
        await store.listen(daemon.store)
    put(store, 1, 0)
    for daemon in daemons:
        await daemon.start()
    for daemon in daemons:
        if await time_in_force(daemon, PREFIX, time.monotonic(), 10) is None:
            print(f"{daemon.name} does not serve")
            return 1
    await asyncio.sleep(1.0)
    shared = Link(lambda: options.shared) if options.shared else None
    for server in store.servers.values():
        server.rate, server.link = options.rate, shared
    prefix, began = await disrupt(options, store, daemons)
    took = await asyncio.gather(*[time_in_force(d, prefix, began, options.watch_s)
                                  for d in daemons])
    for daemon in daemons:
        await daemon.kill()
    return report(options, took)


def report(options, took):
    bound_s = options.bound_ms / 1000
    late = sum(1 for t in took if t is None or t > bound_s)
    slowest = "never" if None in took else f"{max(took):.2f} s"
    print(f"rate {options.rate}, shared {options.shared}, disruption "
          f"{options.disruption}: in force on the slowest VM {slowest}, "
          f"{late} of {len(took)} VMs late")
    return 1 if late else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--rate", type=float, help="of each connection, bytes/s")
    parser.add_argument("--shared", type=float, help="of all together, bytes/s")
    parser.add_argument("--disruption", choices=DISRUPTIONS, default="none")
    parser.add_argument("--routes", type=int, default=1400)
    parser.add_argument("--daemons", type=int, default=7)
    parser.add_argument("--bound-ms", type=int, default=4000)
    parser.add_argument("--watch-s", type=float, default=15.0)
    add_common_options(parser)
    options = parser.parse_args()
    run_and_exit(options, lambda logs: run(options, logs))


if __name__ == "__main__":
    main()
