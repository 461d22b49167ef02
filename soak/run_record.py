"""Record of the workers' runs, which finds violated guarantees."""


class Record:
    """The runs of the workers and the violated guarantees."""

    def __init__(self):
        self.jobs = {}
        self.running = {}
        self.done = {}
        self.violations = []
        self.starts = 0
        # Number of workers that crashed under each task.
        self.crashes = {}

    def record_violation(self, text):
        self.violations.append(text)

    def on_crash(self, task):
        self.running.pop(task, None)
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
