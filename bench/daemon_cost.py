"""Measures the control overhead of a daemon without callers: processor time,
memory and bytes between daemons, for four numbers of daemons and four of
workers. docs/CAPACITY.md uses the slopes. Run: python3 bench/daemon_cost.py"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "scripts"))

from testbed import ROOT, Testbed, http  # noqa: E402

SECONDS = 8
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid):
    with open(f"/proc/{pid}/status") as status:
        line = next(x for x in status if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def metric(daemon, name):
    text = daemon.operator("GET", "/metrics")[1]
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if line.startswith(name + " ") or line.startswith(name + "{"))


def measure(daemons, workers, tasks):
    zones = [("zone-a", "region-1"), ("zone-b", "region-1")]
    with Testbed(zones, daemons_per_zone=daemons // 2,
                 workers_per_zone=workers // 2, endpoints_per_zone=4) as bed:
        bed.start()
        bed.ctl("apply", "--wait",
                os.path.join(ROOT, "samples", "demo", "declaration.toml"))
        if tasks:
            bed.ctl("submit", "--id", "load", "--class", "reconciliation",
                    "--team", "billing", "--tasks", str(tasks),
                    "--processors", "0.5", "--memory-mb", "500",
                    "--run-time", "600 s")
        time.sleep(8)
        names = ("hemlockdeal_peer_bytes_sent",
                 "hemlockdeal_peer_bytes_received")
        before = {d.id: (cpu_seconds(d.process.pid),
                         sum(metric(d, n) for n in names))
                  for d in bed.daemons}
        begin = time.monotonic()
        time.sleep(SECONDS)
        elapsed = time.monotonic() - begin
        after = {d.id: (cpu_seconds(d.process.pid),
                        sum(metric(d, n) for n in names))
                 for d in bed.daemons}
        cpu = [(after[k][0] - before[k][0]) / elapsed * 100 for k in after]
        peer = [(after[k][1] - before[k][1]) / elapsed / 1000 for k in after]
        memory = [memory_mb(d.process.pid) for d in bed.daemons]
        print(f"{daemons:8d} {workers:8d} {tasks:7d} "
              f"{sum(cpu) / len(cpu):10.2f} {max(cpu):10.2f} "
              f"{max(memory):10.1f} {sum(peer) / len(peer):12.2f}",
              flush=True)


def main():
    print(" daemons  workers   tasks  cpu mean %  cpu max %  memory MB  "
          "peer KB/s mean")
    for daemons in (2, 4, 6, 8):
        measure(daemons, 2 * daemons, 0)
    for workers, tasks in ((8, 200), (16, 400), (32, 800), (64, 1600)):
        measure(4, workers, tasks)


if __name__ == "__main__":
    main()
