"""Failure: clients outside the pages' limits end an entry VM or fill the memory
of its machine, or ordinary callers get no answers after them, also when VMs
are stopped as planned meanwhile."""

import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
SOAK = os.path.join(HERE, "..", "..", "soak", "soak.py")


def main():
    subprocess.run([sys.executable, SOAK, "--seed", "33", "--seconds", "0",
                    "--daemons", "5", "--planned-stops", "1", "--crowds", "3"],
                   check=True, timeout=150)


if __name__ == "__main__":
    main()
