"""Long-running jobs of a soak, and the check that their tasks run."""

import asyncio
import itertools
import time

from caller import call
from configuration import PREFIX

JOBS = 2
STEP = {"count": 6, "cpu": 1000, "mem_mb": 500, "estimate_ms": 600,
        "long_running": True}
CHECK_INTERVAL_S = 0.1
# The platform's rule: from 6 s after its last run, a long-running task may not
# be away for 3 s on end, if they and the 4 s before them are calm.
AFTER_LAST_RUN_S = 6.0
CALM_BEFORE_S = 4.0
AWAY_S = 3.0
# The rule counts room for a task if there is this many times its demand.
ROOM_FACTOR = 2
# A pause of the check longer than this slows all machines, a disruption.
SLOWED_S = 1.0
# A cancelled task ends within cancel_ms and stop_ms.
ENDS_AFTER_CANCEL_S = 3.2


class Absence:
    """A task that does not run."""

    def __init__(self, since):
        self.since = since
        # Until when there was no room for it.
        self.no_room_until = since
        self.is_reported = False


class LastingTasks:
    def __init__(self, rng, vms, workers, record, calm):
        self.rng, self.vms, self.workers = rng, vms, workers
        self.record, self.calm = record, calm
        self.jobs = []
        self.absences = {}
        self.longest_away_s = 0.0
        self.slowed = 0

    async def submit(self):
        for _ in range(JOBS):
            job = f"{self.rng.getrandbits(64):016x}"
            self.record.jobs[job] = {"spec": "lasting", "steps": [STEP]}
            while not await self.is_accepted(job):
                await asyncio.sleep(CHECK_INTERVAL_S)
            self.jobs.append(job)
            now = time.monotonic()
            self.absences.update({task: Absence(now)
                                  for task in self.tasks(job)})

    async def is_accepted(self, job):
        response = await call(self.rng.choice(self.vms).callers, "POST",
                              PREFIX + job, self.record.jobs[job])
        return response is not None and response[0] == 200

    @staticmethod
    def tasks(job):
        return [f"{job}.0.0.{index}" for index in range(STEP["count"])]

    async def check(self):
        checked_at = time.monotonic()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            if now - checked_at > SLOWED_S:
                self.slowed += 1
                with self.calm.disruption():
                    pass
            checked_at = now
            has_room = any(w.has_room(STEP, ROOM_FACTOR) for w in self.workers)
            for job in self.jobs:
                for task in self.tasks(job):
                    self.check_task(task, now, has_room)

    def check_task(self, task, now, has_room):
        if task in self.record.running:
            absence = self.absences.pop(task, None)
            if absence and absence.is_reported:
                self.record.note(f"{task} runs after {now - absence.since:.1f} s")
            return
        absence = self.absences.setdefault(
            task, Absence(self.record.last_run.get(task, now)))
        self.longest_away_s = max(self.longest_away_s, now - absence.since)
        if not has_room:
            absence.no_room_until = now
        if self.is_away_too_long(absence, now) and not absence.is_reported:
            absence.is_reported = True
            self.record.record_violation(
                f"{task} is long-running and has been away for "
                f"{now - absence.since:.1f} s, with room, the last "
                f"{now - self.calm.last_end:.1f} s without a disruption")

    def is_away_too_long(self, absence, now):
        calm_since = self.calm.since()
        if calm_since is None:
            return False
        return now > AWAY_S + max(absence.since + AFTER_LAST_RUN_S,
                                  calm_since + CALM_BEFORE_S,
                                  absence.no_room_until)

    async def cancel(self):
        """Cancels the jobs and checks that their tasks end."""
        cancelled, self.jobs = self.jobs, []
        for job in cancelled:
            while not await self.is_cancelled(job):
                await asyncio.sleep(CHECK_INTERVAL_S)
        await asyncio.sleep(ENDS_AFTER_CANCEL_S)
        for task in itertools.chain(*map(self.tasks, cancelled)):
            if task in self.record.running:
                self.record.record_violation(
                    f"{task} runs {ENDS_AFTER_CANCEL_S} s after its job was "
                    "cancelled")

    async def is_cancelled(self, job):
        response = await call(self.rng.choice(self.vms).callers, "DELETE",
                              PREFIX + job)
        return response is not None and response[0] in (200, 410)
