"""Requests with an ``Idempotency-Key``: the first runs, the others get its answer."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.load import Claim, IdempotencyCache
from gentianwharf.runs import RunStatus

from ._problem import Problem

# A client that repeats at once most often does so while the first still runs.
RETRY_AFTER_S = 1.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class KeptAnswer:
    """A whole answer, small enough to be given again."""

    status: int
    phrase: bytes
    headers: tuple[tuple[bytes, tuple[bytes, ...]], ...]
    body: bytes


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RepeatKey:
    """What makes two requests the same one.

    ``scope`` keeps one caller from reading the answer to another's request;
    ``fingerprint`` tells a key that is used again for something else.
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
class Repeats:
    """Joins requests that carry the same key on this daemon."""

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._memory: IdempotencyCache[KeptAnswer] = IdempotencyCache()
        self._joined: dict[tuple[str, str], list[Deferred[None]]] = {}

    async def claim(self, repeat: RepeatKey, request_id: str) -> KeptAnswer | None:
        """Return the kept answer, or None when the request is to be run.

        Waits for the first request if that is in flight. Raises ``Problem``.
        """
        while True:
            claimed = self._memory.claim(
                scope=repeat.scope,
                key=repeat.key,
                request_id=request_id,
                fingerprint=repeat.fingerprint,
                now_s=self._now_s(),
            )
            if claimed.claim is Claim.RUN:
                return None
            if claimed.claim is Claim.REPLAY:
                return claimed.answer
            if claimed.claim is Claim.JOIN:
                await self._join(repeat)
                continue
            raise replace(_PROBLEMS[claimed.claim])

    def settle(self, repeat: RepeatKey, answer: KeptAnswer | None) -> None:
        """Note that the request was answered; None when its outcome is unknown."""
        self._memory.complete(
            scope=repeat.scope,
            key=repeat.key,
            now_s=self._now_s(),
            answer=answer,
            answer_bytes=len(answer.body) if answer is not None else 0,
        )
        self._wake(repeat, None)

    def forget(self, repeat: RepeatKey) -> None:
        """Note that the request provably did not run: it may be sent again."""
        self._memory.discard(scope=repeat.scope, key=repeat.key)
        self._wake(repeat, _NOT_RUN)

    def _join(self, repeat: RepeatKey) -> Deferred[None]:
        waiting = self._joined.setdefault((repeat.scope, repeat.key), [])
        done: Deferred[None] = Deferred(waiting.remove)
        waiting.append(done)
        return done

    def _wake(self, repeat: RepeatKey, problem: Problem | None) -> None:
        for done in self._joined.pop((repeat.scope, repeat.key), []):
            if problem is None:
                done.callback(None)
            else:
                done.errback(problem)


_PROBLEMS = {
    Claim.UNKNOWN: _UNKNOWN,
    Claim.MISMATCH: _MISMATCH,
    Claim.FULL: _FULL,
}
