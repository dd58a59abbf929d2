"""Callers that keep connections open, ask at random and note what they get."""

from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from gentianwharf.http_agent import BytesBody
from gentianwharf.platform.standin import ADDED, LOOK_UPS, POSTINGS, UPLOADS

from ._checks import Asked
from ._operators import Operators

DEADLINE_MS = 2500
GIVE_UP_S = 4.0
UPLOAD_BYTES = 40_000
HOT_SHARDS = 20
HOT_SHARE = 0.3
RULE_SHARE = 0.3
"""Of requests for paths that operators added or removed."""

NAMES = {"look-up": LOOK_UPS, "posting": POSTINGS, "upload": UPLOADS, "rule": ADDED}


@final
class Callers:
    """Ask at a steady rate, each time through a host chosen at random."""

    def __init__(
        self,
        *,
        reactor: Any,
        rng: Random,
        addresses: dict[str, str],
        operators: Operators,
    ) -> None:
        self.asked: list[Asked] = []
        self.is_asking = True
        self._reactor = reactor
        self._rng = rng
        self._addresses = addresses
        self._operators = operators
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
        rule = None
        if self._rng.random() < RULE_SHARE:
            rule = self._operators.rule_to_ask(self._rng)
        if rule is not None:
            kind = "rule"
        host = self._rng.choice(sorted(self._addresses))
        self._count += 1
        asked = Asked(
            id=f"{kind}-{self._count}",
            host=host,
            may_repeat=kind in ("look-up", "rule"),
            asked_s=self._reactor.seconds(),
            rule=rule,
        )
        self.asked.append(asked)
        waiting = Deferred.fromCoroutine(self._send(asked, kind))
        waiting.addTimeout(GIVE_UP_S, self._reactor)
        try:
            await waiting
        except Exception as error:
            # What callers see of a fault is judged at the end, with what servers ran.
            asked.error = type(error).__name__
        asked.ended_s = self._reactor.seconds()

    async def _send(self, asked: Asked, kind: str) -> None:
        name = NAMES[kind]
        headers = Headers({"Host": [name], "Attempt-Id": [asked.id]})
        headers.setRawHeaders("Deadline-Ms", [str(DEADLINE_MS)])
        body = None
        if kind == "look-up":
            headers.setRawHeaders("Shard-Key", [str(self._shard())])
        elif kind != "rule":
            size = UPLOAD_BYTES if kind == "upload" else 20
            body = BytesBody(body=b"x" * size)
        method = b"GET" if asked.may_repeat else b"POST"
        path = asked.rule.path if asked.rule is not None else "/"
        url = f"http://{self._addresses[asked.host]}{path}".encode()
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
