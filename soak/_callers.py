"""Callers that keep connections open, ask at random and note what they get."""

from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from gentianwharf.http_agent import BytesBody
from gentianwharf.platform.standin import LOOK_UPS, POSTINGS, UPLOADS

from ._checks import Asked

DEADLINE_MS = 2500
GIVE_UP_S = 4.0
UPLOAD_BYTES = 40_000
HOT_SHARDS = 20
HOT_SHARE = 0.3


@final
class Callers:
    """Ask at a steady rate, each time through a host chosen at random."""

    def __init__(self, *, reactor: Any, rng: Random, addresses: dict[str, str]) -> None:
        self.asked: list[Asked] = []
        self.is_asking = True
        self._reactor = reactor
        self._rng = rng
        self._addresses = addresses
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 20
        pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=pool, connectTimeout=1)
        self._count = 0

    def start(self, per_s: float) -> None:
        """Ask ``per_s`` requests a second from now on."""
        if self.is_asking:
            Deferred.fromCoroutine(self._ask())
            self._reactor.callLater(self._rng.expovariate(per_s), self.start, per_s)

    async def _ask(self) -> None:
        kind = self._rng.choices(("look-up", "posting", "upload"), (6, 3, 1))[0]
        host = self._rng.choice(sorted(self._addresses))
        self._count += 1
        asked = Asked(
            id=f"{kind}-{self._count}",
            host=host,
            may_repeat=kind == "look-up",
            asked_s=self._reactor.seconds(),
        )
        self.asked.append(asked)
        waiting = Deferred.fromCoroutine(self._send(asked, kind))
        waiting.addTimeout(GIVE_UP_S, self._reactor)
        try:
            await waiting
        except Exception as error:
            # What callers see of a fault is judged at the end, with what servers ran.
            asked.error = type(error).__name__

    async def _send(self, asked: Asked, kind: str) -> None:
        name = {"look-up": LOOK_UPS, "posting": POSTINGS, "upload": UPLOADS}[kind]
        headers = Headers({"Host": [name], "Attempt-Id": [asked.id]})
        headers.setRawHeaders("Deadline-Ms", [str(DEADLINE_MS)])
        body = None
        if kind == "look-up":
            headers.setRawHeaders("Shard-Key", [str(self._shard())])
        else:
            size = UPLOAD_BYTES if kind == "upload" else 20
            body = BytesBody(body=b"x" * size)
        method = b"GET" if kind == "look-up" else b"POST"
        url = f"http://{self._addresses[asked.host]}/".encode()
        response = await self._agent.request(method, url, headers, body)
        asked.status = response.code
        signed = response.headers.getRawHeaders("response-signature")
        asked.signature = signed[0] if signed else None
        asked.body = await readBody(response)
        asked.is_whole = True

    def _shard(self) -> int:
        if self._rng.random() < HOT_SHARE:
            return 30_000 + self._rng.randrange(HOT_SHARDS)
        return self._rng.randrange(65_536)
