"""Failure: chunked bodies of many callers that stop short of their end, or
trailers without end, exhaust the memory of a daemon or stop it."""

import os
import socket
import sys
import time

from common import DECLARATION, Testbed, expect, http

BUFFERS_MB = 16
# The daemon's own memory, the limit, and as much for the kernel's copies and
# the allocator.
MEMORY_BOUND_MB = 64 + 2 * BUFFERS_MB
DESCRIPTOR_BOUND = 4000
BODIES = 900
TRAILERS = 20
HEAD = (b"POST /receipt HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n")


class LimitedTestbed(Testbed):
    def settings(self, daemon):
        return (super().settings(daemon) +
                f"\n[limits]\nrequest_buffers_mb = {BUFFERS_MB}\n")


def connect(daemon):
    caller = socket.create_connection(("127.0.0.1", daemon.callers), 5)
    caller.settimeout(2)
    return caller


def send(caller, data):
    """The daemon may refuse the request and close the connection."""
    try:
        caller.sendall(data)
    except OSError:
        pass


def peak_memory_mb(pid):
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def check(daemon, crowd):
    pid = daemon.process.pid
    expect(daemon.process.poll() is None, f"{crowd}: the daemon has ended")
    memory = peak_memory_mb(pid)
    descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    print(f"{crowd}: peak {memory:.0f} MB, {descriptors} descriptors")
    expect(memory <= MEMORY_BOUND_MB, f"{crowd}: {memory:.0f} MB used")
    expect(descriptors <= DESCRIPTOR_BOUND,
           f"{crowd}: {descriptors} descriptors open")


def main():
    with LimitedTestbed([("zone-a", "region-1")]) as bed:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        daemon = bed.daemons[0]
        bed.wait_for(lambda: http("GET", daemon.caller_url("/lookup/z"))[0] ==
                     200, 30, "the first ordinary response")
        check(daemon, "idle")

        body = HEAD + b"30000\r\n" + b"x" * (0x30000 - 1)
        callers = []
        for _ in range(BODIES):
            callers.append(connect(daemon))
            send(callers[-1], body)
        time.sleep(1)
        check(daemon, f"{BODIES} incomplete bodies")
        for caller in callers:
            caller.close()

        callers = [connect(daemon) for _ in range(TRAILERS)]
        for caller in callers:
            send(caller, HEAD + b"2\r\nok\r\n0\r\n")
        for _ in range(80):
            for caller in callers:
                send(caller, b"X-A: b\r\n" * 8192)
        time.sleep(1)
        check(daemon, f"{TRAILERS} endless trailers")
        for caller in callers:
            caller.close()

        status, _, text = http("GET", daemon.caller_url("/lookup/z"))
        expect(status == 200, f"ordinary request: {status} {text}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
