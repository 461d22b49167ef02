"""Calls of the system's callers."""

import asyncio
import json

from configuration import HOST


async def call(port, method, path, body=None, timeout=3.0):
    """Returns status and body, or None if no complete response was received."""
    data = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), timeout)
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                      f"X-Deadline-Ms: {int(timeout * 1000)}\r\n"
                      f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout)
        lines = head.decode().split("\r\n")
        length = next(int(line.split(":")[1]) for line in lines
                      if line.lower().startswith("content-length:"))
        content = await asyncio.wait_for(reader.readexactly(length), timeout)
        return int(lines[0].split(" ")[1]), json.loads(content or b"null")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            StopIteration):
        return None
    finally:
        if writer is not None:
            writer.close()
