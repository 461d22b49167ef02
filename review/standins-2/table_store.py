"""Stand-in for the platform's store, as PROTOCOL.md describes it: rows in tables
and parts, linearizable, with pages of 500 rows or 1 MB, feeds and a steady
clock. It holds a large number of rows. Each entry VM uses a port of its own."""

import asyncio
import base64
import bisect
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http_endpoint import Endpoint, Path

PAGE_ROWS, PAGE_BYTES = 500, 1_000_000
# SYSTEM.md: 4 ms an answer; a transaction takes tx_ms, and those of one part
# follow one another.
ANSWER_S, TRANSACTION_S = 0.004, 0.005


def now_ms():
    return int(time.monotonic() * 1000)


class TableStore:
    def __init__(self):
        # (table, part) to sorted keys; (table, part, key) to encoded value and
        # version.
        self.keys, self.rows = {}, {}
        # Table to its changes, as pairs of version and (part, key).
        self.changes = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.last_writer = {}
        # Table and port to the time of the last call for changes.
        self.asked_at = {}
        # How many times as long everything takes.
        self.slowness = 1.0
        self.turns = {}
        # `view(port, key, value)` gives an entry of a minion with the address at
        # which the entry VM with this port reaches the minion.
        self.view = None
        # Port to the path of the entry VM that uses it.
        self.paths = {}

    async def listen(self, port):
        self.paths[port] = Path()
        await Endpoint(lambda *call: self.handle(port, *call),
                       self.paths[port]).listen(port)

    def set_row(self, table, part, key, encoded):
        name = (table, part, key)
        if name not in self.rows:
            bisect.insort(self.keys.setdefault((table, part), []), key)
        self.rows[name] = (encoded, self.version)
        self.changes.setdefault(table, []).append((self.version, part, key))

    def load(self, table, part, keys, value):
        """Rows of before, all with the same value."""
        self.version += 1
        row = (base64.b64encode(value).decode(), self.version)
        for key in keys:
            self.rows[(table, part, key)] = row
        self.keys[(table, part)] = sorted(
            {*self.keys.get((table, part), []), *keys})

    def drop_row(self, table, part, key):
        if self.rows.pop((table, part, key), None):
            keys = self.keys[(table, part)]
            keys.pop(bisect.bisect_left(keys, key))
            self.changes.setdefault(table, []).append((self.version, part, key))

    def value(self, table, part, key):
        return base64.b64decode(self.rows[(table, part, key)][0])

    def version_of(self, table, part, key):
        return self.rows.get((table, part, key), (None, 0))[1]

    def put(self, table, part, key, value):
        self.version += 1
        self.set_row(table, part, key, base64.b64encode(value).decode())
        self.notify()

    def remove(self, table, part, key):
        if (table, part, key) in self.rows:
            self.version += 1
            self.drop_row(table, part, key)
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def to_json(self, name):
        if name not in self.rows:
            return None
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2],
                "value": value, "ver": version}

    async def handle(self, port, method, target, body):
        answer = await self.execute(port, method, target, body)
        for row in answer[1].get("rows", []):
            if row["table"] == "servers" and "value" in row and self.view:
                row["value"] = self.view(port, row["key"], row["value"])
        return answer

    async def execute(self, port, method, target, body):
        url = urlsplit(target)
        query = {k: unquote(v[0]) for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-tx":
            call = json.loads(body)
            part = call["expect"][0]["part"]
            async with self.turns.setdefault(part, asyncio.Lock()):
                await asyncio.sleep(TRANSACTION_S * self.slowness)
                return self.transact(port, call)
        await asyncio.sleep(ANSWER_S * self.slowness)
        if url.path == "/rows-get":
            return self.read(query)
        if url.path == "/rows-feed":
            return await self.feed(port, query)
        return 404, {}

    def answer(self, **members):
        return {**members, "ver": self.version, "now_ms": now_ms()}

    def transact(self, port, call):
        names = [(e["table"], e["part"], e["key"]) for e in call["expect"]]
        for name, entry in zip(names, call["expect"]):
            if self.rows.get(name, (None, 0))[1] != entry["ver"]:
                return 412, self.answer(rows=[
                    row for row in map(self.to_json, names) if row])
        self.version += 1
        for entry in call["writes"]:
            self.set_row(entry["table"], entry["part"], entry["key"],
                         entry["value"])
            self.last_writer[entry["table"]] = port
        for entry in call["deletes"]:
            self.drop_row(entry["table"], entry["part"], entry["key"])
        self.notify()
        return 200, self.answer()

    def read(self, query):
        table, part = query["table"], query["part"]
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        keys = self.keys.get((table, part), [])
        at = bisect.bisect_left(keys, query.get("from", ""))
        end = (bisect.bisect_left(keys, query["to"]) if query.get("to")
               else len(keys))
        rows, size = [], 0
        while at < end and len(rows) < limit and size < PAGE_BYTES:
            rows.append(self.to_json((table, part, keys[at])))
            size += len(rows[-1]["value"]) + 100
            at += 1
        return 200, self.answer(rows=rows, more_pages=at < end)

    async def feed(self, port, query):
        table, after = query["table"], int(query["after"])
        self.asked_at[(table, port)] = time.monotonic()
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changes = self.changes.get(table, [])
            at = bisect.bisect_right(changes, (after, "~", "~"))
            latest = {(part, key): version
                      for version, part, key in changes[at:]}
            remaining = end - time.monotonic()
            if latest or remaining <= 0:
                rows = [self.to_json((table, *name)) or
                        {"table": table, "part": name[0], "key": name[1],
                         "ver": version, "removed": True}
                        for name, version in latest.items()]
                rows.sort(key=lambda row: row["ver"])
                return 200, self.answer(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
