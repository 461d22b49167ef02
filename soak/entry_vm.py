"""Entry VMs of a soak, as real processes."""

import asyncio
import json
import os
import signal

from configuration import APPLY_WITHIN_S, ZONES

GRACE_S = 6


class EntryVm:
    """An entry VM: a process and its ports."""

    def __init__(self, number, base, program, folder, bounds=None, limits=None):
        self.name = f"edge-{number}"
        self.callers, self.ready, self.store = base, base + 1, base + 2
        self.program = program
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        self.file = os.path.join(folder, f"{self.name}.json")
        with open(self.file, "w", encoding="utf-8") as settings:
            json.dump({
                "node_name": self.name, "zone": ZONES[number % len(ZONES)],
                "zones": {zone: "region" for zone in ZONES},
                "listen": {"front": f"127.0.0.1:{self.callers}",
                           "ready": f"127.0.0.1:{self.ready}"},
                "platform": {"address": f"127.0.0.1:{self.store}"},
                "limits": limits or {},
                "bounds": {"hold_max_ms": 6000, "grace_s": GRACE_S,
                           "far_factor": 2,
                           "config_apply_ms": int(APPLY_WITHIN_S * 1000),
                           **(bounds or {})}}, settings)
        self.process = None
        # Whether the process was told to end, or has not been started.
        self.is_ending = True

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            self.program, "--settings", self.file, stdout=self.log,
            stderr=self.log)
        self.is_ending = False

    def send(self, number):
        if self.process and self.process.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.is_ending = True
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()

    def peak_memory_mb(self):
        """The process's largest resident memory so far, or None if it ended."""
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="utf-8") as status:
                for line in status:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None
