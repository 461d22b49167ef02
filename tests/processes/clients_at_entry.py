"""Failure: clients that send without end, or stop short of a request's end, use
more memory or descriptors than an entry VM has, or end or hang its process.

Usage: clients_at_entry.py CROWD [--program PATH] [--logs DIRECTORY]
"""

import argparse
import asyncio
import json
import os
import resource
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "soak"))

from caller import call  # noqa: E402
from command_line import add_common_options, run_and_exit  # noqa: E402
from configuration import CONFIGURATION, HOST, PREFIX  # noqa: E402
from entry_vm import EntryVm  # noqa: E402
from store_standin import Store  # noqa: E402

# The limits in the settings file, which are the bounds of the test.
MEMORY_MB = 96
MAX_FDS = 1200

MB = 1 << 20
BLOCK_BYTES = 64 * 1024
# Just under the largest body that is accepted.
BODY_BYTES = 240 * 1024
# What one connection sends when it sends without end.
ENDLESS_BYTES = 12 * MB
# Bounds the test when the process hangs.
SENDING_S = 20
ANSWER_S = 30

POST = (f"POST {PREFIX}{'f' * 16} HTTP/1.1\r\n"
        f"Host: {HOST}\r\n").encode()
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
ORDINARY = {"spec": "x" * 100, "steps": [
    {"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 600}]}


def with_length(length):
    return POST + f"Content-Length: {length}\r\n\r\n".encode()


def endless(head, unit):
    """`head`, then `unit` again and again."""
    yield head
    block = unit * (BLOCK_BYTES // len(unit))
    for _ in range(ENDLESS_BYTES // len(block)):
        yield block


def chunk(size):
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def body_stopping_short(head, unit, count):
    """`head`, then `unit` as often as `count` says."""
    yield head
    body = unit * count
    for begin in range(0, len(body), BLOCK_BYTES):
        yield body[begin:begin + BLOCK_BYTES]


class Crowd:
    """`members` connections, each of which sends what `bytes_of()` yields and
    stays open. `to` is the address: callers, ready or metrics."""

    def __init__(self, members, bytes_of, to="callers", max_descriptors=None,
                 store_is_slow=False):
        self.members = members
        self.bytes_of = bytes_of
        self.to = to
        # Enforced by the kernel; without it nothing but the process itself
        # keeps to the settings.
        self.max_descriptors = max_descriptors
        # Requests of the crowd wait for the store.
        self.store_is_slow = store_is_slow


def ordinary_request():
    body = json.dumps(ORDINARY).encode()
    return with_length(len(body)) + body


def large_chunks():
    return body_stopping_short(CHUNKED, chunk(8000), BODY_BYTES // 8000)


CROWDS = {
    "trailer_fields_without_end": Crowd(
        20, lambda: endless(CHUNKED + b"0\r\n", b"a: b\r\n")),
    "trailer_line_without_end": Crowd(
        20, lambda: endless(CHUNKED + b"0\r\na: ", b"b")),
    "chunk_extension_without_end": Crowd(
        20, lambda: endless(CHUNKED + b"5;", b"e")),
    "chunk_size_of_zeros_without_end": Crowd(
        20, lambda: endless(CHUNKED, b"0")),
    "large_chunks_stopping_short": Crowd(700, large_chunks),
    "one_byte_chunks_stopping_short": Crowd(
        400, lambda: body_stopping_short(CHUNKED, chunk(1), 140_000)),
    "bodies_with_length_stopping_short": Crowd(
        700, lambda: body_stopping_short(with_length(BODY_BYTES),
                                         b"x", BODY_BYTES - 1)),
    "bodies_over_the_limit_announced": Crowd(
        100, lambda: endless(with_length(8 << 30), b"x")),
    "bodies_over_the_limit_sent": Crowd(
        100, lambda: endless(CHUNKED, chunk(8000))),
    "request_with_much_behind_it": Crowd(
        700, lambda: [ordinary_request() + b"x" * BODY_BYTES],
        store_is_slow=True),
    "large_chunks_at_readiness": Crowd(700, large_chunks, to="ready"),
    "trailer_fields_at_metrics": Crowd(
        20, lambda: endless(CHUNKED + b"0\r\n", b"a: b\r\n"), to="metrics"),
    "answers_never_read_at_metrics": Crowd(
        20, lambda: endless(b"", b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"),
        to="metrics"),
    "requests_without_end": Crowd(
        20, lambda: endless(b"", POST.replace(b"POST", b"GET") + b"\r\n")),
    "more_connections_than_descriptors": Crowd(1500, lambda: [b"P"]),
    "more_connections_than_the_kernel_allows": Crowd(
        1500, lambda: [b"P"], max_descriptors=300),
}


class Entry(EntryVm):
    """An entry VM with the limits of the test, and with metrics."""

    def __init__(self, base, program, folder, max_descriptors):
        super().__init__(
            0, base, program, folder,
            limits={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS})
        self.metrics = base + 3
        self.max_descriptors = max_descriptors

    def limit_descriptors(self):
        if self.max_descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE,
                               (self.max_descriptors, self.max_descriptors))

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            self.program, "--settings", self.file, "--metrics-port",
            str(self.metrics), stdout=self.log, stderr=self.log,
            preexec_fn=self.limit_descriptors)

    def is_alive(self):
        return self.process.returncode is None

    def peak_memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as f:
            line = next(s for s in f if s.startswith("VmHWM:"))
        return int(line.split()[1]) / 1024

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


class Watch:
    """The highest figures seen. Ends the process once it is over the memory
    bound, so that the test does not fill the machine."""

    def __init__(self, entry):
        self.entry = entry
        self.memory_mb = 0.0
        self.descriptors = 0

    def look(self):
        if not self.entry.is_alive():
            return
        try:
            self.memory_mb = max(self.memory_mb, self.entry.peak_memory_mb())
            self.descriptors = max(self.descriptors, self.entry.descriptors())
        except (OSError, StopIteration):
            return
        if self.memory_mb > 3 * MEMORY_MB:
            self.entry.process.kill()

    async def run(self):
        while True:
            self.look()
            await asyncio.sleep(0.02)


class Member:
    """One client of the crowd."""

    def __init__(self, crowd, port):
        self.crowd = crowd
        self.port = port
        self.writer = None

    async def run(self):
        try:
            # Answers are not read beyond the limit.
            _, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port, limit=1024)
            for block in self.crowd.bytes_of():
                self.writer.write(block)
                await self.writer.drain()
        except OSError:
            pass

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()


async def get(port):
    """The status of a GET, or None without a response."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 3)
        return int(head.split(b" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def submit(port):
    response = await call(port, "POST", PREFIX + "1" * 16, ORDINARY)
    return None if response is None else response[0]


async def until_answered(entry, send):
    """Whether a request was answered with 200, as a caller that repeats it
    sees it."""
    deadline = asyncio.get_running_loop().time() + ANSWER_S
    while entry.is_alive() and asyncio.get_running_loop().time() < deadline:
        if await send() == 200:
            return True
        await asyncio.sleep(0.1)
    return False


async def play(crowd, entry):
    port = getattr(entry, crowd.to)
    members = [Member(crowd, port) for _ in range(crowd.members)]
    sending = [asyncio.ensure_future(m.run()) for m in members]
    await asyncio.wait(sending, timeout=SENDING_S)
    return members, sending


async def run(options, folder):
    crowd = CROWDS[options.crowd]
    entry = Entry(21000 + os.getpid() % 1500 * 4, options.program, folder,
                  crowd.max_descriptors)
    store = Store()
    store.put("op", "", "config", json.dumps(CONFIGURATION).encode())
    await store.listen(entry.store)
    await entry.start()
    failures = []
    if not await until_answered(entry, lambda: get(entry.ready)):
        failures.append("the process does not get ready")
    watch = Watch(entry)
    watching = asyncio.ensure_future(watch.run())
    if crowd.store_is_slow:
        store.faults[entry.store] = "slow"
    members, sending = await play(crowd, entry)
    store.faults[entry.store] = "ok"
    # The crowd's connections stay open meanwhile.
    answered = await until_answered(entry, lambda: submit(entry.callers))
    if answered and crowd.to != "callers":
        answered = await until_answered(
            entry, lambda: get(getattr(entry, crowd.to)))
    watch.look()
    watching.cancel()
    for task, member in zip(sending, members):
        task.cancel()
        member.close()
    if not entry.is_alive():
        failures.append("the process has ended")
    if watch.memory_mb > MEMORY_MB:
        failures.append("memory is over the bound")
    if watch.descriptors > MAX_FDS:
        failures.append("descriptors are over the bound")
    if not answered:
        failures.append("an ordinary request is not answered")
    print(f"{options.crowd}: memory {watch.memory_mb:.0f} MB of {MEMORY_MB}, "
          f"descriptors {watch.descriptors} of {MAX_FDS}, answered "
          f"{answered}; {', '.join(failures) or 'holds'}")
    if entry.is_alive():
        await entry.kill()
    return 1 if failures else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("crowd", choices=sorted(CROWDS))
    add_common_options(parser)
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    options = parser.parse_args()
    run_and_exit(options, lambda logs: run(options, logs))


if __name__ == "__main__":
    main()
