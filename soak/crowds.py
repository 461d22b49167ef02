"""Crowds of clients outside the limits, beside ordinary callers."""

import asyncio
import os
import signal
import sys

from caller import ANSWER_WITHIN_S, is_answered
from client_crowd import FORMS

PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                       "client_crowd.py")


class Crowds:
    def __init__(self, rng, vms, record, calm):
        self.rng, self.vms = rng, vms
        self.record, self.calm = record, calm
        self.sent = []

    async def run_one(self, beside):
        """One VM gets a crowd of one form, or of two at once. `beside` says
        what goes on meanwhile."""
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        vm = self.rng.choice(self.vms)
        port = vm.ready if self.rng.random() < 0.2 else vm.callers
        forms = self.rng.sample(sorted(FORMS), self.rng.choice([1, 1, 2]))
        seconds = self.rng.uniform(3.0, 6.0)
        self.sent.append(f"{'+'.join(forms)} at {vm.name}"
                         f"{' (ready)' if port == vm.ready else ''}{beside}")
        self.record.note(f"crowd: {self.sent[-1]}")
        # A process of its own keeps the stand-in of the platform responsive.
        with self.calm.disruption():
            await asyncio.gather(*[self.send(port, form, seconds)
                                   for form in forms])
        for vm in self.vms:
            if not vm.is_ending and not await is_answered(vm.callers) \
                    and not vm.is_ending:
                self.record.record_violation(
                    f"{vm.name} answers no ordinary call for "
                    f"{ANSWER_WITHIN_S} s after a crowd")

    async def send(self, port, form, seconds):
        crowd = await asyncio.create_subprocess_exec(
            sys.executable, PROGRAM, "--port", str(port), "--form", form,
            "--seconds", str(seconds))
        try:
            await asyncio.wait_for(crowd.wait(), 2 * seconds)
        except asyncio.TimeoutError:
            crowd.send_signal(signal.SIGKILL)
            await crowd.wait()
