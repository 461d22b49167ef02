"""Calls of the system's callers."""

import asyncio
import json
import time

from configuration import HOST, PREFIX

CALL_INTERVAL_S = 0.1
RECONNECT_S = 0.2
ANSWER_WITHIN_S = 15


def encode_call(method, path, timeout, data=b"", key=None):
    key_line = "" if key is None else f"Api-Key: {key}\r\n"
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{key_line}"
            f"X-Deadline-Ms: {int(timeout * 1000)}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n").encode() + data


async def read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    length = next(int(line.split(":")[1]) for line in lines
                  if line.lower().startswith("content-length:"))
    content = await reader.readexactly(length)
    return int(lines[0].split(" ")[1]), json.loads(content or b"null")


async def call(port, method, path, body=None, timeout=3.0, key=None):
    """Returns status and body, or None if no complete response was received."""
    data = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), timeout)
        writer.write(encode_call(method, path, timeout, data, key))
        return await asyncio.wait_for(read_response(reader), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            StopIteration):
        return None
    finally:
        if writer is not None:
            writer.close()


async def is_answered(port):
    """Whether an ordinary call is answered before ANSWER_WITHIN_S are over."""
    end = time.monotonic() + ANSWER_WITHIN_S
    while time.monotonic() < end:
        response = await call(port, "GET", PREFIX)
        if response and response[0] == 200:
            return True
        await asyncio.sleep(CALL_INTERVAL_S)
    return False


class PersistentCaller:
    """Keeps calling over one connection until the VM closes it, also while the
    VM shuts down, and connects again then."""

    TIMEOUT_S = 3.0

    def __init__(self, port):
        self.port = port
        self.answered = 0

    async def run(self):
        while True:
            try:
                await self.use_connection()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                    StopIteration):
                pass
            await asyncio.sleep(RECONNECT_S)

    async def use_connection(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            while True:
                writer.write(encode_call("GET", PREFIX, self.TIMEOUT_S))
                await asyncio.wait_for(read_response(reader), self.TIMEOUT_S)
                self.answered += 1
                await asyncio.sleep(CALL_INTERVAL_S)
        finally:
            writer.close()
