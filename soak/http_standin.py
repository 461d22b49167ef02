"""HTTP server of the platform stand-in, with links of a bounded rate."""

import asyncio
import json
import time


async def read_request(reader):
    """Returns method, target and body. Raises IncompleteReadError when the
    connection is closed."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    length = 0
    for line in lines[1:]:
        if line.lower().startswith("content-length:"):
            length = int(line.split(":")[1])
    return method, target, await reader.readexactly(length)


def encode_response(status, body):
    data = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n").encode() + data


class Link:
    """Bounds the rate of the bytes that all its users send together. `rate()` is
    the current one in bytes a second; None has no bound."""

    STEP_S = 0.01

    def __init__(self, rate):
        self.rate = rate
        self.free_at = 0.0

    async def send(self, writer, data):
        while data:
            rate = self.rate()
            if rate is None:
                writer.write(data)
                break
            size = min(len(data), max(1, int(rate * self.STEP_S)))
            self.free_at = max(self.free_at, time.monotonic()) + size / rate
            writer.write(data[:size])
            data = data[size:]
            await writer.drain()
            if writer.is_closing():
                raise ConnectionError("closed by the receiver")
            await asyncio.sleep(max(0.0, self.free_at - time.monotonic()))
        await writer.drain()


class Server:
    """Responds with the result of `handle(method, target, body)`: a pair of
    status and body, or None to send no response and keep the connection
    open. Each connection has a link of the server's `rate`, unless all share
    `link`."""

    def __init__(self, handle):
        self.handle = handle
        self.rate = None
        self.link = None
        self.server = None
        self.writers = set()

    async def listen(self, port):
        """Returns the port, which is a free one if 0 is given."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, target, body = await read_request(reader)
                response = await self.handle(method, target, body)
                if response is None:
                    await asyncio.sleep(3600)
                link = self.link or Link(lambda: self.rate)
                await link.send(writer, encode_response(*response))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()
