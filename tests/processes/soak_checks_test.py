"""Failure: the soak's check of long-running tasks takes an absence that breaks
the platform's rule for an allowed one, or the other way round."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "soak"))

from calm import Calm  # noqa: E402
from lasting_tasks import STEP, LastingTasks  # noqa: E402
from run_record import Record  # noqa: E402
from store_standin import Store  # noqa: E402
from worker_standin import Worker  # noqa: E402

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"


def checked(last_run, last_disruption):
    """The check of one task, which last ran and was disrupted then."""
    record, calm = Record(), Calm()
    record.jobs[JOB] = {"steps": [dict(STEP, count=1)]}
    record.last_run[TASK] = last_run
    calm.last_end = last_disruption
    return LastingTasks(random.Random(1), [], [], record, calm)


def violations(lasting, moments, has_room=lambda moment: True):
    for moment in moments:
        lasting.check_task(TASK, moment, has_room(moment))
    return len(lasting.record.violations)


def moments(first, last):
    return [first + 0.1 * i for i in range(int(10 * (last - first)) + 1)]


def test_absence_from_the_last_run():
    assert violations(checked(0.0, -50.0), moments(0.0, 8.9)) == 0
    assert violations(checked(0.0, -50.0), moments(0.0, 9.2)) == 1


def test_absence_after_a_disruption():
    assert violations(checked(0.0, 2.0), moments(0.0, 11.9)) == 0
    assert violations(checked(0.0, 2.0), moments(0.0, 12.2)) == 1


def test_absence_during_a_disruption():
    lasting = checked(0.0, -50.0)
    with lasting.calm.disruption():
        assert violations(lasting, moments(0.0, 30.0)) == 0


def test_absence_without_room():
    assert violations(checked(0.0, -50.0), moments(0.0, 13.8),
                      lambda moment: moment > 11.0) == 0
    assert violations(checked(0.0, -50.0), moments(0.0, 14.3),
                      lambda moment: moment > 11.0) == 1


def test_a_run_ends_the_absence():
    lasting = checked(0.0, -50.0)
    assert violations(lasting, moments(0.0, 8.0)) == 0
    lasting.record.running[TASK] = "w1"
    assert violations(lasting, [8.1]) == 0
    lasting.record.on_end(TASK)
    lasting.record.last_run[TASK] = 8.2
    assert violations(lasting, moments(8.2, 17.1)) == 0
    assert violations(lasting, [17.3, 17.4]) == 1


def test_room_of_a_worker():
    record = Record()
    record.jobs[JOB] = {"steps": [dict(STEP, cpu=3000)]}
    worker = Worker("w1", 0, "z1", Store(), record, random.Random(1))
    assert worker.has_room(STEP, 2)
    worker.running = {f"{JOB}.0.0.{i}": (1, time.monotonic()) for i in range(2)}
    assert worker.has_room(STEP, 2)
    assert not worker.has_room(dict(STEP, cpu=1001), 2)
    worker.is_reachable = False
    assert not worker.has_room(STEP, 2)


def test_two_runs_at_the_same_time():
    record = Record()
    record.jobs[JOB] = {"steps": [STEP]}
    record.on_start(TASK, "w1")
    record.on_start(TASK, "w2")
    assert len(record.violations) == 1


def main():
    for name, test in list(globals().items()):
        if name.startswith("test_"):
            test()


if __name__ == "__main__":
    main()
