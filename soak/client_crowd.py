#!/usr/bin/env python3
"""A crowd of clients outside the pages' limits: headers, trailers and chunk
extensions without end, and bodies that stop short or are over the limit.

Usage: soak/client_crowd.py --port PORT --form FORM [--seconds S]
"""

import argparse
import asyncio
import contextlib
import itertools
import time

PATH = "/q/00000000000000aa"
CHUNKED = (f"POST {PATH} HTTP/1.1\r\nHost: q.example\r\n"
           "Transfer-Encoding: chunked\r\n\r\n").encode()
KIB = 1024
# Just under the limit of a body, 256 KiB.
SHORT_BODY_BYTES = 240 * KIB
LARGE_CHUNK_BYTES = 16 * KIB
PIECE = b"a" * (64 * KIB)
# What one connection sends at most, and the pause between its pieces.
MAX_SENT_BYTES = 16 * 1024 * KIB
PIECE_INTERVAL_S = 0.005
RECONNECT_S = 0.2


def endless(start, piece):
    return itertools.chain([start], itertools.repeat(piece))


def with_length(length):
    return (f"POST {PATH} HTTP/1.1\r\nHost: q.example\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()


def chunks(size, total):
    chunk = f"{size:x}\r\n".encode() + b"a" * size + b"\r\n"
    return chunk * (total // size)


def trailer_fields():
    return b"".join(b"X-T%d: %s\r\n" % (i, b"a" * 1000) for i in range(60))


# Form to the number of connections and the pieces that each sends. A connection
# stays open after its last piece.
FORMS = {
    "trailer-fields": (30, lambda: endless(
        CHUNKED + b"5\r\nhello\r\n0\r\n", trailer_fields())),
    "trailer-line": (30, lambda: endless(
        CHUNKED + b"5\r\nhello\r\n0\r\nX-T: ", PIECE)),
    "chunk-extension": (30, lambda: endless(CHUNKED + b"5;", PIECE)),
    "chunk-size": (30, lambda: endless(
        CHUNKED, b"0" * len(PIECE))),
    "header-line": (30, lambda: endless(
        b"GET / HTTP/1.1\r\nX-H: ", PIECE)),
    "short-large-chunks": (600, lambda: iter(
        [CHUNKED, chunks(LARGE_CHUNK_BYTES, SHORT_BODY_BYTES)])),
    "short-small-chunks": (400, lambda: iter(
        [CHUNKED, chunks(1, SHORT_BODY_BYTES)])),
    "short-length": (600, lambda: iter(
        [with_length(SHORT_BODY_BYTES + 1), b"a" * SHORT_BODY_BYTES])),
    "over-announced": (60, lambda: endless(with_length(8 * KIB**3), PIECE)),
    "over-chunked": (60, lambda: endless(
        CHUNKED, chunks(LARGE_CHUNK_BYTES, len(PIECE)))),
}


async def send_pieces(writer, pieces):
    sent = 0
    with contextlib.suppress(OSError):
        for piece in itertools.takewhile(lambda _: sent < MAX_SENT_BYTES,
                                         pieces):
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            await asyncio.sleep(PIECE_INTERVAL_S)


async def use_connection(port, pieces):
    """Returns when the server closes the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    sending = asyncio.ensure_future(send_pieces(writer, pieces))
    try:
        await reader.read()
    finally:
        sending.cancel()
        writer.transport.abort()


async def run_client(port, pieces, end):
    while time.monotonic() < end:
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            await asyncio.wait_for(use_connection(port, pieces()),
                                   end - time.monotonic())
        await asyncio.sleep(RECONNECT_S)


async def run_crowd(port, form, seconds):
    connections, pieces = FORMS[form]
    end = time.monotonic() + seconds
    await asyncio.gather(*[run_client(port, pieces, end)
                           for _ in range(connections)])


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--form", choices=sorted(FORMS), required=True)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    asyncio.run(run_crowd(options.port, options.form, options.seconds))


if __name__ == "__main__":
    main()
