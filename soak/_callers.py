"""Callers that send random requests over persistent connections."""

from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from gentianwharf.http_agent import BytesBody
from gentianwharf.platform.standin import (
    ADDED,
    KEYED,
    LOOK_UPS,
    MOVED,
    POSTINGS,
    UNKEYED,
    UPLOADS,
)

from ._checks import SentRequest
from ._operators import Operators

DEADLINE_MS = 2500
CALLER_TIMEOUT_S = 4.0
UPLOAD_BYTES = 40_000
HOT_SHARDS = 20
HOT_SHARD_PROBABILITY = 0.3
RULE_PROBABILITY = 0.3
"""The probability that a request is for a path that operators added or removed."""

HOST_NAMES = {
    "look-up": LOOK_UPS,
    "posting": POSTINGS,
    "upload": UPLOADS,
    "rule": ADDED,
}


@final
class Callers:
    """Sends requests at a steady mean rate, each through a randomly chosen host."""

    def __init__(
        self,
        *,
        reactor: Any,
        rng: Random,
        addresses: dict[str, str],
        operators: Operators,
    ) -> None:
        self.requests: list[SentRequest] = []
        self.is_sending = True
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
        """Send ``per_s`` requests a second on average from now on."""
        if self.is_sending:
            Deferred.fromCoroutine(self._send_one())
            self._reactor.callLater(self._rng.expovariate(per_s), self.start, per_s)

    async def _send_one(self) -> None:
        kind = self._rng.choices(("look-up", "posting", "upload"), (6, 3, 1))[0]
        rule = None
        if self._rng.random() < RULE_PROBABILITY:
            rule = self._operators.choose_rule(self._rng)
        if rule is not None:
            kind = "rule"
        host = self._rng.choice(sorted(self._addresses))
        self._count += 1
        request = SentRequest(
            id=f"{kind}-{self._count}",
            service=KEYED if kind == "look-up" else UNKEYED,
            host=host,
            may_repeat=kind in ("look-up", "rule"),
            sent_s=self._reactor.seconds(),
            rule=rule,
        )
        if rule is not None and MOVED in rule.services(request.sent_s, request.sent_s):
            request.service = MOVED
        self.requests.append(request)
        response = Deferred.fromCoroutine(self._send(request, kind))
        response.addTimeout(CALLER_TIMEOUT_S, self._reactor)
        try:
            await response
        except Exception as error:
            # The outcome is checked at the end of the run, together with the requests
            # that the servers ran.
            request.error = type(error).__name__
        request.ended_s = self._reactor.seconds()

    async def _send(self, request: SentRequest, kind: str) -> None:
        host_name = HOST_NAMES[kind]
        headers = Headers({"Host": [host_name], "Attempt-Id": [request.id]})
        headers.setRawHeaders("Deadline-Ms", [str(DEADLINE_MS)])
        body = None
        if kind == "look-up":
            headers.setRawHeaders("Shard-Key", [str(self._choose_shard())])
        elif kind != "rule":
            size = UPLOAD_BYTES if kind == "upload" else 20
            body = BytesBody(body=b"x" * size)
        method = b"GET" if request.may_repeat else b"POST"
        path = request.rule.path if request.rule is not None else "/"
        url = f"http://{self._addresses[request.host]}{path}".encode()
        response = await self._agent.request(method, url, headers, body)
        request.status = response.code
        signatures = response.headers.getRawHeaders("response-signature")
        request.signature = signatures[0] if signatures else None
        request.body = await readBody(response)
        request.is_complete = True

    def _choose_shard(self) -> int:
        if self._rng.random() < HOT_SHARD_PROBABILITY:
            return 30_000 + self._rng.randrange(HOT_SHARDS)
        return self._rng.randrange(65_536)
