"""Stand-in for the platform's row store, over HTTP on loopback, with faults."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http_standin import Server


def now_ms():
    return int(time.monotonic() * 1000)


class Store:
    """Linearizable rows. Each VM uses a port of its own, so that faults can be
    limited to one VM."""

    def __init__(self):
        self.rows = {}
        self.removed = {}
        self.version = 1
        self.oldest = 1
        self.changed = asyncio.Event()
        # Port to fault mode: ok, busy (503), silent (no response), lost (the
        # transaction takes effect, the response is lost) or slow (0.4 s delay).
        self.faults = {}
        self.servers = {}
        # Table to the port of the last transaction that wrote to it.
        self.last_writer = {}
        self.page_limit = 500

    async def listen(self, port):
        self.faults[port] = "ok"
        server = Server(lambda *call: self.handle(port, *call))
        await server.listen(port)
        self.servers[port] = server

    def put(self, table, part, key, value):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        self.removed.pop((table, part, key), None)
        self.notify()

    def remove(self, table, part, key):
        if (table, part, key) in self.rows:
            self.version += 1
            del self.rows[(table, part, key)]
            self.removed[(table, part, key)] = self.version
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def to_json(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2],
                "value": base64.b64encode(value).decode(), "ver": version}

    async def handle(self, port, method, target, body):
        fault = self.faults[port]
        if fault == "busy":
            return 503, {}
        if fault == "silent":
            return None
        if fault == "slow":
            await asyncio.sleep(0.4)
        url = urlsplit(target)
        query = {k: unquote(v[0]) for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-tx":
            response = self.transact(port, json.loads(body))
            return None if fault == "lost" else response
        if url.path == "/rows-get":
            return self.read(query)
        if url.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, port, call):
        names = [(e["table"], e["part"], e["key"]) for e in call["expect"]]
        for name, entry in zip(names, call["expect"]):
            if self.rows.get(name, (None, 0))[1] != entry["ver"]:
                return 412, {"rows": [self.to_json(n) for n in names
                                      if n in self.rows],
                             "ver": self.version, "now_ms": now_ms()}
        self.version += 1
        for entry in call["writes"]:
            name = (entry["table"], entry["part"], entry["key"])
            self.rows[name] = (base64.b64decode(entry["value"]), self.version)
            self.removed.pop(name, None)
            self.last_writer[entry["table"]] = port
        for entry in call["deletes"]:
            name = (entry["table"], entry["part"], entry["key"])
            if self.rows.pop(name, None):
                self.removed[name] = self.version
        self.notify()
        return 200, {"ver": self.version, "now_ms": now_ms()}

    def read(self, query):
        limit = min(int(query.get("limit", 500)), self.page_limit)
        names = sorted(n for n in self.rows
                       if n[0] == query["table"] and n[1] == query["part"]
                       and n[2] >= query.get("from", "")
                       and (not query.get("to") or n[2] < query["to"]))
        return 200, {"rows": [self.to_json(n) for n in names[:limit]],
                     "more_pages": len(names) > limit, "ver": self.version,
                     "now_ms": now_ms()}

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            rows = [self.to_json(n) for n, r in self.rows.items()
                    if n[0] == query["table"] and r[1] > after]
            rows += [{"table": n[0], "part": n[1], "key": n[2], "ver": v,
                      "removed": True} for n, v in self.removed.items()
                     if n[0] == query["table"] and v > after]
            remaining = end - time.monotonic()
            if rows or remaining <= 0:
                rows.sort(key=lambda row: row["ver"])
                return 200, {"rows": rows, "ver": self.version,
                             "now_ms": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
