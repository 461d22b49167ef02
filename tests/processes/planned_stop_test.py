"""Failure: a planned stop (SIGTERM) aborts requests in flight, or the health
check for the load balancer does not fail while the daemon is stopping."""

import signal
import sys
import threading
import time

from common import DECLARATION, ZONES, Testbed, expect, http


def main():
    with Testbed(ZONES) as bed:
        bed.start()
        bed.ctl("apply", "--wait", DECLARATION)
        bed.fault("endpoint", "slow", delay_ms=1500)
        daemon = bed.daemons[0]
        responses = []

        def call(i):
            responses.append(http("POST", daemon.caller_url("/receipt"),
                                  f"r{i}",
                                  {"Idempotency-Key": f"stop-{i}"}))
        callers = [threading.Thread(target=call, args=(i,)) for i in range(20)]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        daemon.process.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        health = http("GET", daemon.caller_url("/healthz"))[0]
        for caller in callers:
            caller.join()
        aborted = [a for a in responses if a[0] == 0]
        code = daemon.process.wait(timeout=20)
        print(f"answers: {sorted({a[0] for a in responses})}, cut off: "
              f"{len(aborted)}, health while stopping: {health}, exit {code}")
        expect(not aborted,
               f"{len(aborted)} requests in flight were cut off: {aborted}")
        expect(health == 503, "the health path does not fail while stopping")
        expect(code == 0, "the daemon did not exit cleanly")
        keys = [f"stop-{i}" for i in range(20)]
        expect(all(n <= 1 for n in bed.record(keys)["requests"].values()),
               "a request ran twice")
    return 0


if __name__ == "__main__":
    sys.exit(main())
