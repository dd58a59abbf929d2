"""Requests with an ``Idempotency-Key``: the first runs, duplicates get its response."""

from dataclasses import dataclass, replace
from typing import final

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web._newclient import Response

from gentianwharf.load import Claim, IdempotencyCache
from gentianwharf.pauses import Timeout
from gentianwharf.runs import RunStatus

from ._caller_request import CallerRequest
from ._header_codec import HeaderCodec
from ._headers import response_headers
from ._ports import Ticket
from ._problem import Problem

# Immediate retries mostly arrive while the first request is still running.
RETRY_AFTER_S = 1.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class StoredResponse:
    """A complete response that is small enough to be stored and replayed."""

    status: int
    phrase: bytes
    headers: tuple[tuple[bytes, tuple[bytes, ...]], ...]
    body: bytes


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class IdempotencyKey:
    """Identifies requests that must run only once.

    ``scope`` prevents a caller from reading the response to another caller's request;
    ``fingerprint`` detects a key that is reused for a different request.
    """

    scope: str
    key: str
    fingerprint: str


_NOT_RUN = Problem(
    status=503,
    title="the request with this idempotency key was not run",
    run=RunStatus.NOT_RUN,
    retry_after_s=RETRY_AFTER_S,
    step="join",
)
_UNKNOWN = Problem(
    status=409,
    title="the request with this idempotency key was sent once",
    run=RunStatus.UNKNOWN,
    detail=(
        "Its answer is not kept here, and it is not sent again. Ask the service for"
        " its outcome."
    ),
    step="join",
)
_STILL_RUNNING = Problem(
    status=504,
    title="the request with this idempotency key has not ended by the deadline",
    run=RunStatus.UNKNOWN,
    detail="It was sent once. Send it again with the same key for its answer.",
    step="join",
)
_MISMATCH = Problem(
    status=422,
    title="the idempotency key was used for another request",
    run=RunStatus.NOT_RUN,
    detail="Expected the same method and target as before; use a new key.",
    step="join",
)
_FULL = Problem(
    status=503,
    title="too many requests with idempotency keys are in flight",
    run=RunStatus.NOT_RUN,
    retry_after_s=RETRY_AFTER_S,
    step="join",
)


@final
class IdempotentRequests:
    """Runs one of the requests that carry the same key on this daemon.

    The others wait for its response.
    """

    def __init__(self, *, clock: IReactorTime) -> None:
        self._clock = clock
        self._cache: IdempotencyCache[StoredResponse] = IdempotencyCache()
        self._waiting: dict[tuple[str, str], list[Deferred[None]]] = {}

    async def claim(self, key: IdempotencyKey, ticket: Ticket) -> StoredResponse | None:
        """Return the stored response, or None if the request is to be run.

        Waits for the first request while that is in flight, until the ticket's
        deadline. Raises ``Problem``.
        """
        while True:
            result = self._cache.claim(
                scope=key.scope,
                key=key.key,
                request_id=ticket.request_id,
                fingerprint=key.fingerprint,
                now_s=self._clock.seconds(),
            )
            if result.claim is Claim.RUN:
                return None
            if result.claim is Claim.REPLAY:
                return result.answer
            if result.claim is Claim.JOIN:
                await self._wait(key, ticket.deadline_s)
                continue
            raise replace(_PROBLEMS[result.claim])

    def complete(self, key: IdempotencyKey, response: StoredResponse | None) -> None:
        """Store the response; None if the outcome of the request is unknown."""
        self._cache.complete(
            scope=key.scope,
            key=key.key,
            now_s=self._clock.seconds(),
            answer=response,
            answer_bytes=len(response.body) if response is not None else 0,
        )
        self._resume_waiting(key, None)

    def mark_not_run(self, key: IdempotencyKey) -> None:
        """Allow the request to be sent again, since it provably did not run."""
        self._cache.discard(scope=key.scope, key=key.key)
        self._resume_waiting(key, _NOT_RUN)

    async def _wait(self, key: IdempotencyKey, deadline_s: float) -> None:
        waiting = self._waiting.setdefault((key.scope, key.key), [])
        done: Deferred[None] = Deferred(waiting.remove)
        waiting.append(done)
        timeout = Timeout(
            clock=self._clock,
            delay_s=max(0.0, deadline_s - self._clock.seconds()),
            expire=done.cancel,
        )
        try:
            await done
        except CancelledError:
            if timeout.expired:
                raise replace(_STILL_RUNNING) from None
            raise
        finally:
            timeout.stop()

    def _resume_waiting(self, key: IdempotencyKey, problem: Problem | None) -> None:
        for done in self._waiting.pop((key.scope, key.key), []):
            if problem is None:
                done.callback(None)
            else:
                done.errback(problem)


_PROBLEMS = {
    Claim.UNKNOWN: _UNKNOWN,
    Claim.MISMATCH: _MISMATCH,
    Claim.FULL: _FULL,
}


def stored_response(
    response: Response, body: bytes, codec: HeaderCodec
) -> StoredResponse:
    """Return a response to be given again, without headers of its connection."""
    return StoredResponse(
        status=response.code,
        phrase=response.phrase,
        headers=tuple(
            (name, tuple(values))
            for name, values in response_headers(
                response.headers, codec.is_forwarded
            ).items()
        ),
        body=body,
    )


def write_stored_response(
    request: CallerRequest,
    stored: StoredResponse,
    *,
    request_id: str,
    codec: HeaderCodec,
) -> None:
    """Answer a request with the response to another one that it repeats."""
    request.setResponseCode(stored.status, stored.phrase)
    for name, values in stored.headers:
        request.responseHeaders.setRawHeaders(name, values)
    request.setHeader(codec.request_id_header, request_id.encode("latin-1"))
    request.setHeader(b"Content-Length", str(len(stored.body)).encode())
    request.write(stored.body)
    request.finish()
