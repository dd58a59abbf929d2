"""A stand-in of a backend server, as PROTOCOL.md describes it."""

import asyncio
import itertools
import json
import random
import time

from httpio import close, encode, read_body, read_head
from store import seconds

HEARTBEAT_S = 1.5
KEYS = 65_536


class Backend:
    """One life of a backend; sound unless a subclass makes it answer otherwise.

    ``record`` gets a dictionary for each thing that the backend sees or does.
    """

    def __init__(self, *, id, service, address, zone, store, record, slots=4, queue=12,
                 sharded=False, work_s=lambda request: 0.1, idle_s=10.0,
                 tells_slowdown=False):
        self.id, self.service, self.address, self.zone = id, service, address, zone
        self.store, self.record = store, record
        self.slots, self.queue, self.sharded = slots, queue, sharded
        self.work_s, self.idle_s = work_s, idle_s
        self.state, self.sequence = "ready", 0
        self.running, self.waiting = {}, []
        self.numbers = itertools.count()
        self.fences, self.until, self.connections = [0] * KEYS, [0.0] * KEYS, set()
        self.released, self.tells_slowdown = asyncio.Event(), tells_slowdown

    async def start(self):
        ip, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))
        self.beats = asyncio.create_task(self.beat_forever())

    # Its entry in the store.

    async def beat_forever(self):
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def beat(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state,
                 "cold-remaining": "0ms", "sequence": self.sequence}
        self.store.put("servers/" + self.id, json.dumps(entry).encode())

    def drain(self):
        """Report ``draining``; the store's acceptance is recorded."""
        self.state = "draining"
        self.beat()
        self.note("draining")

    def leave(self):
        """End: the entry goes, and the port is closed."""
        self.beats.cancel()
        self.store.remove("servers/" + self.id)
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.note("left")

    def note(self, event, **fields):
        self.record({"event": event, "backend": self.id, **fields})

    # Connections.

    async def serve(self, reader, writer):
        self.connections.add(writer)
        link = Link(reader, writer)
        try:
            while True:
                link.request = await asyncio.wait_for(link.next(), self.idle_s)
                self.was_read(link)
                data = await self.answer(link)
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
                self.was_answered(link, data)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            await close(writer, reset=link.reset)

    def was_read(self, link):
        """Called when a request has been read; sound backends do nothing."""

    def was_answered(self, link, data):
        """Called after an answer has been written; sound backends do nothing."""

    async def answer(self, link):
        """Return the answer to ``link.request``, None to close the connection."""
        request = link.request
        path = request.start.split(" ")[1]
        expected = request.get("expected-instance")
        if expected not in (None, self.id):
            return encode("HTTP/1.1 421 Misdirected Request", [
                ("Instance-Id", self.id), *self.echo(request), ("Not-Executed", "1")])
        if path == "/v1/grant":
            return self.grant(json.loads(request.body))
        if path == "/v1/release":
            return await self.release(link, json.loads(request.body))
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            return encode(f"HTTP/1.1 {status}", [
                ("Instance-Id", self.id), ("Server-Load", self.load())])
        return await self.run(link)

    def echo(self, request):
        attempt = request.get("attempt-id")
        return [("Attempt-Id", attempt)] if attempt else []

    def load(self):
        load = f"{len(self.running)},{len(self.waiting)},{self.slots}"
        return load + ",100" if self.tells_slowdown else load

    # Keys.

    def holds(self, key):
        return time.monotonic() < self.until[key]

    def grant(self, order):
        first, last, fence = order["from"], order["target"], order["fence"]
        hold_s = seconds(order["hold_time"])
        taken = max(self.fences[first : last + 1]) <= fence
        self.note("grant", first=first, last=last, fence=fence, hold_s=hold_s, taken=taken)
        if not taken:
            return encode("HTTP/1.1 409 Conflict", [])
        count = last - first + 1
        self.fences[first : last + 1] = [fence] * count
        self.until[first : last + 1] = [time.monotonic() + hold_s] * count
        return encode("HTTP/1.1 200 OK", [])

    async def release(self, link, order):
        first, last, fence = order["from"], order["target"], order["fence"]
        for key in range(first, last + 1):
            self.fences[key] = max(self.fences[key], fence)
            self.until[key] = 0.0
        at_work = sorted(key for _, key in self.running.values() if key is not None and first <= key <= last)
        self.note("release", first=first, last=last, fence=fence, at_work=at_work)
        while any(key is not None and first <= key <= last for _, key in self.running.values()):
            ended = asyncio.create_task(self.released.wait())
            await asyncio.wait({ended, link.ahead()}, return_when=asyncio.FIRST_COMPLETED)
            ended.cancel()
            if link.has_ended():
                return None
        self.note("release-answered", first=first, last=last, fence=fence)
        return encode("HTTP/1.1 200 OK", [("Handover", f"{self.id}-{fence}")])

    # Requests.

    async def run(self, link):
        request = link.request
        attempt, key = request.get("attempt-id"), request.get("shard-key")
        key = int(key) if key is not None else None
        self.note("arrives", id=attempt, key=key, deadline_ms=request.get("deadline-ms"))
        if not attempt:
            return self.reject(request, "400 Bad Request")
        if self.sharded and (key is None or not self.holds(key)):
            return self.reject(request, "421 Misdirected Request")
        turn = None
        if len(self.running) >= self.slots:
            if len(self.waiting) >= self.queue:
                return self.reject(request, "503 Service Unavailable")
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await asyncio.wait({turn, link.ahead()}, return_when=asyncio.FIRST_COMPLETED)
            if not turn.done():
                self.waiting.remove(turn)
                return None
        number = next(self.numbers)
        self.running[number] = (attempt, key)
        if self.sharded and not self.holds(key):
            self.ended(number)
            return self.reject(request, "421 Misdirected Request")
        self.note("runs", id=attempt, key=key, body=request.body.decode("latin-1")[:40])
        begun = time.monotonic()
        work = asyncio.create_task(asyncio.sleep(self.work_s(request)))
        await asyncio.wait({work, link.ahead()}, return_when=asyncio.FIRST_COMPLETED)
        self.ended(number)
        whole = work.done()
        work.cancel()
        self.note("ends", id=attempt, key=key, whole=whole, after_s=round(time.monotonic() - begun, 3))
        if not whole:
            return None
        return encode("HTTP/1.1 200 OK", [
            ("Attempt-Id", attempt), ("Response-Signature", f"{self.id}.{attempt}"),
            ("Server-Load", self.load())], f"{self.id} {attempt}".encode())

    def ended(self, number):
        del self.running[number]
        self.released.set()
        self.released = asyncio.Event()
        while self.waiting and len(self.running) < self.slots:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                break

    def reject(self, request, status):
        self.note("rejects", id=request.get("attempt-id"), status=status[:3])
        return encode(f"HTTP/1.1 {status}", [
            *self.echo(request), ("Not-Executed", "1"), ("Server-Load", self.load())])


class Link:
    """One connection; the next request is read while an answer is prepared."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.request, self.reset, self.coming = None, False, None

    async def read(self):
        return await read_body(self.reader, await read_head(self.reader))

    def ahead(self):
        """Return a task that ends when a further request, or the end, has come."""
        if self.coming is None:
            self.coming = asyncio.create_task(self.read())
            self.coming.add_done_callback(lambda task: task.cancelled() or task.exception())
        return self.coming

    def has_ended(self):
        return self.coming is not None and self.coming.done() and self.coming.exception() is not None

    async def next(self):
        task = self.ahead()
        message = await asyncio.shield(task)
        self.coming = None
        return message


class LateCopies(Backend):
    """Sends a second copy of some answers late: where the next one is expected.

    A copy is sent once the next request on its connection has been read; the true
    answer follows. Copies are at most ``share`` of the answers since it was set. They
    hit any answer at random, or, with ``is_chosen`` set, the answers for which that
    function returns True; it gets the answer and the next request.
    """

    share, answers, copies, is_chosen = 0.0, 0, 0, None
    rng = random.Random()

    def set_share(self, share):
        self.share, self.answers, self.copies = share, 0, 0

    def was_answered(self, link, data):
        self.answers += 1
        link.last = data
        link.is_hit = self.rng.random() < self.share

    def was_read(self, link):
        last, start = getattr(link, "last", None), link.request.start
        if last is None or not self.share:
            return
        if self.is_chosen is None:
            is_hit = link.is_hit
        else:
            within_share = self.copies + 1 <= self.share * self.answers
            is_hit = within_share and self.is_chosen(last, link.request)
        if is_hit:
            self.copies += 1
            link.writer.write(last)
            self.note("late-copy", of=last.split(b"\r\n")[0].decode(), before=start,
                      id=link.request.get("attempt-id"), copies=self.copies, answers=self.answers)


class StreamingBackend(Backend):
    """Begins an answer when it begins the work, and ends it when the work ends.

    While it is dark it reads, sends and closes nothing.
    """

    dark = False

    def go_dark(self):
        self.dark = True
        self.beats.cancel()
        self.note("dark", at_work=len(self.running))

    async def end(self):
        """End the time without power: whoever still asks the old process gets a reset."""
        self.store.remove("servers/" + self.id)
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.note("ended")

    async def answer(self, link):
        await self.while_dark()
        data = await super().answer(link)
        await self.while_dark()
        return data

    async def while_dark(self):
        while self.dark:
            await asyncio.sleep(3600)

    async def run(self, link):
        request = link.request
        attempt = request.get("attempt-id")
        self.note("arrives", id=attempt, key=None)
        if len(self.running) >= self.slots:
            return self.reject(request, "503 Service Unavailable")
        number = next(self.numbers)
        self.running[number] = (attempt, None)
        self.note("runs", id=attempt, key=None, body=request.body.decode("latin-1")[:40])
        text = f"{self.id} {attempt}".encode()
        data = encode("HTTP/1.1 200 OK", [
            ("Attempt-Id", attempt), ("Response-Signature", f"{self.id}.{attempt}"),
            ("Server-Load", self.load())], text)
        link.writer.write(data[: -len(text) // 2])
        work = asyncio.create_task(asyncio.sleep(self.work_s(request)))
        await asyncio.wait({work, link.ahead()}, return_when=asyncio.FIRST_COMPLETED)
        await self.while_dark()
        self.ended(number)
        whole = work.done()
        work.cancel()
        self.note("ends", id=attempt, key=None, whole=whole)
        return data[-len(text) // 2 :] if whole else None
