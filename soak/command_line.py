"""What the command lines of the soak's programs have in common."""

import asyncio
import os
import sys
import tempfile

PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                       "build", "bin", "hemlockdeal-entry")


def add_common_options(parser):
    parser.add_argument("--logs", help="directory in which the logs are kept")
    parser.add_argument("--program", default=PROGRAM)


def run_and_exit(options, run):
    """Exits with the result of `run`, a coroutine that takes the directory of
    the logs."""
    if not os.path.exists(options.program):
        name = os.path.splitext(os.path.basename(sys.argv[0]))[0]
        sys.exit(f"{name}: {options.program} is not built")
    with tempfile.TemporaryDirectory() as folder:
        logs = options.logs or folder
        os.makedirs(logs, exist_ok=True)
        sys.exit(asyncio.run(run(logs)))
