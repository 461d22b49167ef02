"""HTTP/1.1 server of the stand-ins. The network between it and its clients can
be slow, or cut off for a while."""

import asyncio
import json


class Path:
    """A path of the network. `one_way_s` is its delay; while it is cut, nothing
    gets through, and what a client takes back by closing is lost."""

    def __init__(self, one_way_s=0.0):
        self.one_way_s = one_way_s
        self.open = asyncio.Event()
        self.open.set()

    @property
    def is_cut(self):
        return not self.open.is_set()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def pass_through(self):
        await asyncio.sleep(self.one_way_s)
        await self.open.wait()


class Endpoint:
    """Answers with the result of `handle(method, target, body)`: a pair of
    status and body, or None for no answer."""

    def __init__(self, handle, path=None):
        self.handle = handle
        self.path = path or Path()
        self.server = None
        self.writers = set()

    async def listen(self, port):
        """Returns the port, which is a free one if 0 is given."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            # The round trip in which the connection is opened.
            await self.path.pass_through()
            await self.path.pass_through()
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ", 2)
                length = 0
                for line in head.split("\r\n")[1:]:
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = await reader.readexactly(length)
                await self.path.pass_through()
                if reader.at_eof():
                    return
                answer = await self.handle(method, target, body)
                if answer is None:
                    await asyncio.sleep(3600)
                await self.path.pass_through()
                data = json.dumps(answer[1]).encode()
                writer.write((f"HTTP/1.1 {answer[0]} X\r\n"
                              f"Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode()
                             + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
