"""JSON calls over HTTP to the platform.

Errors distinguish calls that had no effect from calls whose outcome is unknown.

A peer may send an answer again, where the next one is expected. Each call has an id,
which its answer repeats, and a connection is kept only after an answer that does: an
answer without an id is then the first one on its connection.
"""

from dataclasses import dataclass
from itertools import count
from typing import Any, TypeVar, cast, final

from pydantic import BaseModel, TypeAdapter, ValidationError
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    OutcomeUnknownError,
    PeerMismatchError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.http_agent import BodyReader, BytesBody, ip_agent
from gentianwharf.statuses import error_text

from .wire import CALL_ID, ErrorName, Problem, encode

Answer = TypeVar("Answer")


Reactor = Any
"""An ``IReactorTCP`` and ``IReactorTime``; zope interfaces can't be intersected."""

MAX_ANSWER_BYTES = 32_000_000
"""Limit on the size of an answer, so that an endless one is cut off. All values of a
deployment together are smaller."""

IDLE_CONNECTION_S = 5
"""Below the idle limit of common servers (15 s and more): if the peer closed the
connection just before a call, the outcome of the call would be unknown."""

MAX_IDLE_CONNECTIONS_PER_ADDRESS = 8
"""Few calls run at a time: a watch, a lease renewal, a write, a read."""

ERROR_TYPES: dict[ErrorName, type[GentianwharfError]] = {
    ErrorName.CONFLICT: ConflictError,
    ErrorName.REFUSED: RefusedError,
    ErrorName.UNAVAILABLE: PeerUnavailableError,
}


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A call; ``step`` is its name in errors, ``peer`` the ip:port it is sent to."""

    step: str
    peer: str
    path: str
    body: bytes
    timeout_s: float


@final
class JsonClient:
    """Sends JSON by POST and reads JSON answers, each call within its timeout.

    Raises ``PeerUnavailableError`` only if the call can't have had an effect: the
    connection was refused or not established, or the peer's answer states it. The
    peer's answer may also be a ``ConflictError`` or ``RefusedError``; an answer that
    doesn't match the expected type raises ``PeerMismatchError``, and an address that
    isn't an IP number ``InputError``. Any other failure raises
    ``OutcomeUnknownError``.
    """

    def __init__(self, *, reactor: Reactor, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._call_numbers = count(1)
        self._pool = _IdentifiedCalls(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_ADDRESS
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        # A repeated call may take effect twice, and only the callers can decide which
        # calls are safe to repeat.
        self._pool.retryAutomatically = False
        self._agent = ip_agent(
            reactor=reactor, pool=self._pool, connect_timeout_s=connect_timeout_s
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()

    async def post(self, call: Call, answer: TypeAdapter[Answer]) -> Answer:
        """Send a call and return its validated answer."""
        posted = Deferred.fromCoroutine(self._post(call))
        # Cancelling closes the connection, so that a late answer can't be taken for
        # the answer to a later call.
        posted.addTimeout(call.timeout_s, self._reactor)
        try:
            status, body, has_stated_end = await posted
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
                f" {error_text(error)}: it may have taken effect, read it back",
                step=call.step,
                peer=call.peer,
            ) from error
        if status != 200:
            raise _problem_error(call, status, body)
        try:
            return answer.validate_json(body)
        except ValidationError as error:
            if not has_stated_end:
                raise _truncated_error(call) from error
            raise _mismatch_error(call, error) from error

    async def _post(self, call: Call) -> tuple[int, bytes, bool]:
        """Return status and body, and whether the body is known to be complete."""
        call_id = b"%d" % next(self._call_numbers)
        # treq.request would parse the URL with support for internationalized names,
        # handle cookies and decode the body. This takes 0.3 ms per call, and grants
        # are renewed many times a second.
        response = await self._agent.request(
            b"POST",
            f"http://{call.peer}{call.path}".encode(),
            Headers({b"Content-Type": [b"application/json"], CALL_ID: [call_id]}),
            BytesBody(body=call.body),
        )
        reader = BodyReader(max_bytes=MAX_ANSWER_BYTES, size_error=_size_error)
        response.deliverBody(reader)
        body = await reader.done
        answered = response.headers.getRawHeaders(CALL_ID, [call_id])
        if answered != [call_id]:
            raise OutcomeUnknownError(
                f"expected the answer to call {call_id.decode()}, got that to"
                f" {b', '.join(answered).decode('latin-1')}: it may have taken effect,"
                " read it back",
                step=call.step,
                peer=call.peer,
            )
        return response.code, body, reader.has_stated_end


class HttpAdapter:
    """Base of the adapters over HTTP: persistent connections and a timeout per call.

    An adapter adds a method for each call of its ``Protocol``; see
    docs/design/platform.md, "Writing an adapter".
    """

    def __init__(self, *, reactor: Reactor, call_timeout_s: float) -> None:
        self._client = JsonClient(reactor=reactor, connect_timeout_s=call_timeout_s)
        self._call_timeout_s = call_timeout_s

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _send(
        self,
        step: str,
        peer: str,
        path: str,
        body: BaseModel | bytes,
        answer: TypeAdapter[Answer],
        *,
        timeout_s: float | None = None,
    ) -> Answer:
        """Send a call and return its validated answer; errors contain ``step``."""
        call = Call(
            step=step,
            peer=peer,
            path=path,
            body=body if isinstance(body, bytes) else encode(body),
            timeout_s=self._call_timeout_s if timeout_s is None else timeout_s,
        )
        return await self._client.post(call, answer)


@final
class _IdentifiedCalls(HTTPConnectionPool):
    """Keeps a connection only after an answer that repeats the id of its call."""

    def _putConnection(  # noqa: N802
        self, key: Any, connection: HTTP11ClientProtocol
    ) -> None:
        # Twisted clears both only after this call.
        request, parser = connection._currentRequest, cast(Any, connection._parser)
        if request is not None and parser is not None:
            sent = request.headers.getRawHeaders(CALL_ID)
            if parser.response.headers.getRawHeaders(CALL_ID) == sent:
                super()._putConnection(key, connection)
                return
        cast(Any, connection.transport).loseConnection()


def _size_error(received_bytes: int) -> ValueError:
    return ValueError(f"answer is larger than {MAX_ANSWER_BYTES} bytes")


def _problem_error(call: Call, status: int, body: bytes) -> GentianwharfError:
    try:
        problem = Problem.model_validate_json(body)
    except ValidationError:
        # An intermediary answered instead of the platform; it may have forwarded the
        # call.
        return OutcomeUnknownError(
            f"expected an answer of the platform, got status {status} without one",
            step=call.step,
            peer=call.peer,
        )
    error = ERROR_TYPES[problem.error]
    return error(problem.message, step=call.step, peer=call.peer)


def _truncated_error(call: Call) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        "expected a complete answer, got one without a stated end that can't be read:"
        " it may have taken effect, read it back",
        step=call.step,
        peer=call.peer,
    )


def _mismatch_error(call: Call, error: ValidationError) -> PeerMismatchError:
    detail = error.errors()[0]
    field = ".".join(str(part) for part in detail["loc"]) or "body"
    return PeerMismatchError(
        f"answer does not fit the call: {field}: {detail['msg']};"
        " compare the versions of both sides",
        step=call.step,
        peer=call.peer,
    )
