"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from httpio import close, encode, read_message

HISTORY_S = 20.0


def seconds(text):
    """Return the seconds in a text such as ``1500ms`` or ``2s``."""
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


class Store:
    """Items, leases and watches over HTTP; linearizable, and sound in all answers."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.writers = set()

    async def start(self, address):
        ip, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))
        self.expiry = asyncio.create_task(self.expire_forever())

    # What the operator and the backends write.

    def put(self, key, value, lease=0):
        """Write an item as the operator or a backend and return its revision."""
        self.revision += 1
        self.put_at(key, value, lease)
        self.notify()
        return self.revision

    def remove(self, key):
        """Remove an item as the operator or a backend."""
        self.revision += 1
        self.remove_at(key)
        self.notify()

    def put_at(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append((time.monotonic(), self.revision, item))

    def remove_at(self, key):
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append((time.monotonic(), self.revision, event))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_forever(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [l for l, (_, until) in self.leases.items() if until <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove_at(key)
            self.notify()

    # Calls of the hosts.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.start.split(" ", 2)
                status, body = await self.answer(method, target, request.body)
                data = json.dumps(body).encode()
                head = [("Content-Type", "application/json")]
                writer.write(encode(f"HTTP/1.1 {status} x", head, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            await close(writer)

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as-of": self.revision}
            return 200, {**item, "as-of": self.revision}
        if url.path == "/v1/kv-range":
            return 200, self.range(query)
        if url.path == "/v1/kv-watch":
            return await self.watch(query)
        if url.path == "/v1/kv-txn":
            return self.txn(json.loads(body))
        if url.path == "/v1/kv-lease":
            ttl = seconds(json.loads(body)["ttl_time"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": lease, "ttl_time": f"{round(ttl * 1000)}ms"}
        name, _, number = url.path.rpartition("/")
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        if name == "/v1/kv-keep":
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_time": f"{round(ttl * 1000)}ms"}
        self.end_lease(lease)
        return 200, {}

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:500]],
            "has-more": len(keys) > 500,
            "as-of": self.revision,
        }

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + min(30_000, int(query["wait-ms"])) / 1000
        while True:
            oldest = time.monotonic() - HISTORY_S
            while self.history and self.history[0][0] < oldest:
                self.gone = self.history.pop(0)[1]
            if after < getattr(self, "gone", 0):
                return 410, {}
            changed = self.changed
            events = [
                event
                for _, revision, event in self.history
                if revision > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        expected = body.get("expected") or []
        puts, removed = body.get("puts") or [], body.get("remove") or []
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items.get(row["key"]) for row in expected]
                return 412, {"items": [item for item in current if item]}
        for put in puts:
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in puts:
            self.put_at(
                put["key"], base64.b64decode(put["value"]), put.get("lease") or 0
            )
        for key in removed:
            self.remove_at(key)
        self.notify()
        return 200, {"revision": self.revision}
