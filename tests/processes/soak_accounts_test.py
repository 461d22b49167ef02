"""Failure: client accounts exceed their caps, a removed key is still served, an
added one is not, or an account's jobs starve beside one that sends ten times its
share, while keys and caps change beside killed leading VMs."""

import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
SOAK = os.path.join(HERE, "..", "..", "soak", "soak.py")


def main():
    subprocess.run([sys.executable, SOAK, "--seed", "1", "--seconds", "0",
                    "--accounts", "1"], check=True, timeout=100)


if __name__ == "__main__":
    main()
