"""Failure: a VM behind a slow link that takes over never leads, because it gives
up the rows of the jobs before they are transferred."""

import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
SLOW_TAKEOVER = os.path.join(HERE, "..", "..", "soak", "slow_takeover.py")


def main():
    subprocess.run([sys.executable, SLOW_TAKEOVER, "--workers", "60",
                    "--jobs", "300", "--rate", "400000", "--roll"],
                   check=True, timeout=120)


if __name__ == "__main__":
    main()
