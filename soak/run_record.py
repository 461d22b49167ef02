"""Record of the workers' runs, which finds violated guarantees."""

import time


class Record:
    """The runs of the workers and the violated guarantees."""

    def __init__(self):
        self.began_at = time.time()
        # What was done to the processes and workers, for tracing a failure.
        self.events = []
        self.jobs = {}
        self.running = {}
        # When each task last ran, for those that do not run.
        self.last_run = {}
        self.done = {}
        self.violations = []
        self.starts = 0
        # Number of workers that crashed under each task.
        self.crashes = {}
        # Called with each task that starts.
        self.start_checks = []

    def note(self, text):
        self.events.append(
            f"{time.strftime('%H:%M:%S')} {time.time() - self.began_at:.2f} "
            f"{text}\n")

    def record_violation(self, text):
        self.note("VIOLATED: " + text)
        self.violations.append(text)

    def step(self, task):
        """What was submitted for the task's step, or None."""
        job, _, step, _ = task.split(".")
        return (self.jobs[job]["steps"][int(step)] if job in self.jobs
                else None)

    def on_end(self, task):
        self.running.pop(task, None)
        self.last_run[task] = time.monotonic()

    def on_crash(self, task):
        self.on_end(task)
        self.crashes[task] = self.crashes.get(task, 0) + 1

    def may_be_given_up(self, job):
        """A job may end as failed once two workers crashed under one of its
        tasks."""
        return any(count >= 2 for task, count in self.crashes.items()
                   if task.split(".")[0] == job)

    def on_start(self, task, worker):
        self.starts += 1
        job, occurrence, step, _ = task.split(".")
        if task in self.running:
            self.record_violation(
                f"{task} runs on {self.running[task]} and {worker}")
        if self.done.get(task) == "acknowledged":
            self.record_violation(
                f"{task} starts after its end was acknowledged")
        if job not in self.jobs:
            self.record_violation(
                f"{task} starts but its job was never submitted")
            return
        steps = self.jobs[job]["steps"]
        for predecessor in steps[int(step)].get("after", []):
            for index in range(steps[predecessor]["count"]):
                if f"{job}.{occurrence}.{predecessor}.{index}" not in self.done:
                    self.record_violation(f"{task} starts before step "
                                          f"{predecessor} is done")
        self.running[task] = worker
        for check in self.start_checks:
            check(task)
