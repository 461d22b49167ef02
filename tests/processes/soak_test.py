"""Failure: entry VMs of the users' platform lose, duplicate or reorder tasks
while their processes are killed, paused and stopped, workers crash and the
store fails. Seed 3 guards against a task that ran again after its end was
acknowledged: a restarted worker received an acknowledgement with an end number
of its previous incarnation. Seed 2007 guards against a check that takes a job
for lost that was given up after two workers crashed under it, seed 2040 against
one that leaves no time for an earlier change that is still in transfer."""

import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
SOAK = os.path.join(HERE, "..", "..", "soak", "soak.py")
SEEDS = ["3", "101", "2007", "2040"]
SECONDS = "8"


def main():
    for seed in SEEDS:
        subprocess.run([sys.executable, SOAK, "--seed", seed, "--seconds",
                        SECONDS], check=True, timeout=100)


if __name__ == "__main__":
    main()
