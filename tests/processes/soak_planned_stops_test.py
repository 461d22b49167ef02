"""Failure: a long-running task of a lost worker does not start again while
leading VMs are stopped as planned, one after the other, closer together than a
worker's lease."""

import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
SOAK = os.path.join(HERE, "..", "..", "soak", "soak.py")


def main():
    subprocess.run([sys.executable, SOAK, "--seed", "9", "--seconds", "0",
                    "--daemons", "5", "--planned-stops", "1"], check=True,
                   timeout=100)


if __name__ == "__main__":
    main()
