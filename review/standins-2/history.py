"""The rows that finished jobs leave in the store."""

import random

SHORT = [{"count": 2, "cpu": 1000, "mem_mb": 2000, "estimate_ms": 300}]
SPEC_BYTES = 150
INBOX_PARTS = 8


def part_of(job):
    """The part of the inbox for the job's id (src/node/store_tables.hpp)."""
    value = 14695981039346656037
    for byte in job.encode():
        value = ((value ^ byte) * 1099511628211) % 2**64
    value ^= value >> 32
    value = value * 0xD6E8FEB86659FD93 % 2**64
    value ^= value >> 32
    return f"jobs-{value % INBOX_PARTS}"


async def load_history(deployment, finished_jobs):
    """A job is handed in, run and completed. Its rows, as the programs have
    written them, stand for those of all finished jobs, which are never deleted."""
    store = deployment.store
    job = await deployment.submit(deployment.vms[0], SHORT, "x" * SPEC_BYTES)
    await deployment.wait_until(
        lambda: ("progress", "lead", job) in store.rows and
        b"completed" in store.value("progress", "lead", job), 15)
    inbox = store.value("inbox", part_of(job), job)
    done = store.value("progress", "lead", job)
    await deployment.stop()
    deployment.record.note(f"rows of a finished job: inbox {inbox.decode()}, "
                           f"progress {done.decode()}")
    parts = {}
    for _ in range(finished_jobs):
        other = f"{random.getrandbits(64):016x}"
        parts.setdefault(part_of(other), []).append(other)
    for part, keys in parts.items():
        store.load("inbox", part, keys, inbox)
    store.load("progress", "lead",
               [key for keys in parts.values() for key in keys], done)
    deployment.record.note(f"the store holds {finished_jobs} finished jobs")
