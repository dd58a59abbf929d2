"""JSON over HTTP to the platform, with errors that say whether it took effect."""

from dataclasses import dataclass
from typing import Any, TypeVar, final

import treq
from pydantic import BaseModel, TypeAdapter, ValidationError
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    OutcomeUnknownError,
    PeerMismatchError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.http_agent import BytesBody, ip_agent

from .wire import ErrorName, Problem, encode

Answer = TypeVar("Answer")

Reactor = Any
"""An ``IReactorTCP`` and ``IReactorTime``: zope interfaces can't be intersected."""

MAX_ANSWER_BYTES = 32_000_000
"""More than every value of a deployment in one answer; an endless one stops here."""

IDLE_CONNECTION_S = 5
"""Below the idle limit of usual servers (15 s and more): a connection that the other
side closed just before a call would cost that call its certainty."""

CONNECTIONS_PER_ADDRESS = 8
"""Kept idle. Calls at once are few: a watch, a lease renewal, a write, a read."""

ERRORS: dict[ErrorName, type[GentianwharfError]] = {
    ErrorName.CONFLICT: ConflictError,
    ErrorName.REFUSED: RefusedError,
    ErrorName.UNAVAILABLE: PeerUnavailableError,
}


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One call: ``step`` names it in errors, ``peer`` is the other side's ip:port."""

    step: str
    peer: str
    path: str
    body: bytes
    timeout_s: float


@final
class JsonClient:
    """Posts JSON and reads JSON, each call within its timeout.

    Raises ``PeerUnavailableError`` only when no byte of the call can have been acted
    on: the connection was refused or never made, or the peer says so itself. Every
    other failure is ``OutcomeUnknownError``.
    """

    def __init__(self, *, reactor: Reactor, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = CONNECTIONS_PER_ADDRESS
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        # A repeated call may take effect twice; the callers know which may repeat.
        self._pool.retryAutomatically = False
        self._agent = ip_agent(
            reactor=reactor, pool=self._pool, connect_timeout_s=connect_timeout_s
        )

    async def close(self) -> None:
        """Close the kept connections."""
        await self._pool.closeCachedConnections()

    async def post(self, call: Call, answer: TypeAdapter[Answer]) -> Answer:
        """Make a call and return its checked answer."""
        posted = Deferred.fromCoroutine(self._post(call))
        # Cancelling closes the connection, so a late answer meets nobody's call.
        posted.addTimeout(call.timeout_s, self._reactor)
        try:
            status, body = await posted
        except (ConnectError, ConnectingCancelledError) as error:
            raise PeerUnavailableError(
                f"can't connect ({type(error).__name__}): the call had no effect;"
                " check that the address answers",
                step=call.step,
                peer=call.peer,
            ) from error
        except GentianwharfError:
            raise
        except Exception as error:
            raise OutcomeUnknownError(
                f"expected an answer within {call.timeout_s} s, got"
                f" {type(error).__name__}: it may have taken effect, read it back",
                step=call.step,
                peer=call.peer,
            ) from error
        if status != 200:
            raise _problem(call, status, body)
        try:
            return answer.validate_json(body)
        except ValidationError as error:
            raise _malformed(call, error) from error

    async def _post(self, call: Call) -> tuple[int, bytes]:
        # treq's own request would take the address apart with a library for
        # international names, set cookies and decode: 0.3 ms a call, and grants are
        # renewed many times a second.
        response = await self._agent.request(
            b"POST",
            f"http://{call.peer}{call.path}".encode(),
            Headers({b"Content-Type": [b"application/json"]}),
            BytesBody(body=call.body),
        )
        return response.code, await _collect(response)


class HttpAdapter:
    """What the adapters over HTTP share: kept connections and a limit for each call.

    An adapter adds a method for each call of its ``Protocol``; see
    docs/design/platform.md, "Writing an adapter".
    """

    def __init__(self, *, reactor: Reactor, call_timeout_s: float) -> None:
        self._client = JsonClient(reactor=reactor, connect_timeout_s=call_timeout_s)
        self._call_timeout_s = call_timeout_s

    async def close(self) -> None:
        """Close the kept connections."""
        await self._client.close()

    async def _ask(
        self,
        step: str,
        peer: str,
        path: str,
        body: BaseModel | bytes,
        answer: TypeAdapter[Answer],
        *,
        timeout_s: float | None = None,
    ) -> Answer:
        """Make a call and return its checked answer; ``step`` names it in errors."""
        call = Call(
            step=step,
            peer=peer,
            path=path,
            body=body if isinstance(body, bytes) else encode(body),
            timeout_s=self._call_timeout_s if timeout_s is None else timeout_s,
        )
        return await self._client.post(call, answer)


async def _collect(response: IResponse) -> bytes:
    pieces: list[bytes] = []
    size = 0

    def take(piece: bytes) -> None:
        nonlocal size
        size += len(piece)
        if size > MAX_ANSWER_BYTES:
            raise ValueError(f"answer is larger than {MAX_ANSWER_BYTES} bytes")
        pieces.append(piece)

    await treq.collect(response, take)
    return b"".join(pieces)


def _problem(call: Call, status: int, body: bytes) -> GentianwharfError:
    try:
        problem = Problem.model_validate_json(body)
    except ValidationError:
        # Something between us and the platform answered; the call may have passed it.
        return OutcomeUnknownError(
            f"expected an answer of the platform, got status {status} without one",
            step=call.step,
            peer=call.peer,
        )
    error = ERRORS[problem.error]
    return error(problem.message, step=call.step, peer=call.peer)


def _malformed(call: Call, error: ValidationError) -> PeerMismatchError:
    detail = error.errors()[0]
    field = ".".join(str(part) for part in detail["loc"]) or "body"
    return PeerMismatchError(
        f"answer does not fit the call: {field}: {detail['msg']};"
        " compare the versions of both sides",
        step=call.step,
        peer=call.peer,
    )
