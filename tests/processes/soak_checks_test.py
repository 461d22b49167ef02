"""Failure: the soak's check of long-running tasks takes an absence that breaks
the platform's rule for an allowed one, or the other way round. Or its check of
client accounts misses a start above the cap or a key in a log, or takes a start
within a cap that was lowered just before for one above it."""

import os
import random
import sys
import tempfile
import time
from types import SimpleNamespace

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "soak"))

from accounts import HOT, Accounts  # noqa: E402
from calm import Calm  # noqa: E402
from configuration import APPLY_WITHIN_S  # noqa: E402
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


def accounts(log=None):
    """Those of a soak in which the hot account has a job of five tasks, which
    need more than half of its cap together."""
    soak = SimpleNamespace(record=Record(), store=Store(),
                           vms=[SimpleNamespace(log=log)] if log else [])
    soak.record.jobs[JOB] = {"steps": [
        {"count": 5, "cpu": 2000, "mem_mb": 500}]}
    out = Accounts(random.Random(1), soak)
    out.owners[JOB] = HOT
    return out


def start_tasks(checked, first, last):
    for index in range(first, last + 1):
        checked.record.on_start(f"{JOB}.0.0.{index}", "w1")
    return len(checked.record.violations)


def lower_caps(checked, seconds_ago):
    checked.caps.append((time.monotonic() - seconds_ago, {
        name: {"cpu": 4000} for name in checked.keys}))


def test_start_above_the_cap_of_the_account():
    checked = accounts()
    assert start_tasks(checked, 0, 3) == 0
    assert start_tasks(checked, 4, 4) == 1


def test_start_within_a_cap_lowered_just_before():
    checked = accounts()
    lower_caps(checked, APPLY_WITHIN_S - 1.0)
    assert start_tasks(checked, 0, 3) == 0


def test_start_above_a_cap_lowered_earlier():
    checked = accounts()
    assert start_tasks(checked, 0, 2) == 0
    lower_caps(checked, APPLY_WITHIN_S + 1.0)
    assert not checked.record.violations
    assert start_tasks(checked, 3, 3) == 1


def test_key_in_a_log_or_row():
    with tempfile.NamedTemporaryFile() as log:
        checked = accounts(log)
        key = checked.keys[HOT][0].encode()
        checked.soak.store.put("op", "", "config", key)
        checked.check_secrecy()
        assert not checked.record.violations
        checked.soak.store.put("inbox", "", JOB, b"a" + key)
        log.write(b"call with " + key)
        log.flush()
        checked.check_secrecy()
        assert len(checked.record.violations) == 2


def main():
    for name, test in list(globals().items()):
        if name.startswith("test_"):
            test()


if __name__ == "__main__":
    main()
