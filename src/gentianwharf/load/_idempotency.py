"""Repeated requests with one ``Idempotency-Key`` join the first, or get its answer.

Load pattern: a treasurer's client gives up after ten seconds and posts the same dues
again while the first request still runs, or just after its answer was lost. Sent on,
the second one depends on the server's own memory; where that has none, it charges
twice.

On one daemon the cache is here. On another one the request goes to the same server
(the key is hashed to it by the caller of this module), whose own memory sees it; a
second host that holds each request and answer, as in the related paper, would cost two
more messages a request and the answer's bytes, so it is not done.

Kept answers are bounded by count, bytes and time. An answer that is too large, or
of which it isn't known whether it ran, is remembered without its bytes: a repeated
request is told so, and is never sent again.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar, final

# A client that repeats does so within minutes; a day's answers would not fit.
RETENTION_S = 600.0
MAX_ENTRIES = 20_000
# Two answers of a whole chunk of 64 KiB per MiB; 32 MiB is a quarter of the memory
# that a daemon may use for control.
MAX_BYTES = 32 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
# Entries in flight can't be dropped without risking a second run.
MAX_IN_FLIGHT = 10_000

Answer = TypeVar("Answer")


class Claim(StrEnum):
    """What a request with an ``Idempotency-Key`` has to do."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimResult(Generic[Answer]):
    """The claim, with the request to join or the answer to give again.

    ``RUN``: send the request, then call ``complete`` or ``discard``. ``JOIN``: wait
    for the answer to ``request_id``. ``REPLAY``: return ``answer``. ``UNKNOWN``: the
    request was sent once and its answer is not kept; report that and do not send it.
    ``MISMATCH``: the key was used for another request. ``FULL``: refuse as not run.
    """

    claim: Claim
    request_id: str
    answer: Answer | None = None


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _Entry(Generic[Answer]):
    request_id: str
    fingerprint: str
    completed_s: float | None = None
    answer: Answer | None = None
    answer_bytes: int = 0


@final
class IdempotencyCache(Generic[Answer]):
    """What this daemon knows of requests that must run at most once.

    A key is scoped by its caller and service: ``scope`` keeps one caller from reading
    the answer to another's request. ``fingerprint`` stands for method, path and what
    else makes it the same request.

    >>> cache = IdempotencyCache()
    >>> def claim(request_id, now_s):
    ...     return cache.claim(scope="ledger/round-rock", key="dues-7", now_s=now_s,
    ...                         request_id=request_id, fingerprint="POST /dues")
    >>> claim("a", 0.0).claim
    <Claim.RUN: 'run'>
    >>> claim("b", 1.0)
    ClaimResult(claim=<Claim.JOIN: 'join'>, request_id='a', answer=None)
    >>> cache.complete(scope="ledger/round-rock", key="dues-7", now_s=2.0,
    ...               answer="charged", answer_bytes=7)
    >>> claim("c", 3.0)
    ClaimResult(claim=<Claim.REPLAY: 'replay'>, request_id='a', answer='charged')
    """

    def __init__(
        self,
        *,
        retention_s: float = RETENTION_S,
        max_entries: int = MAX_ENTRIES,
        max_bytes: int = MAX_BYTES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_in_flight: int = MAX_IN_FLIGHT,
    ) -> None:
        self._retention_s = retention_s
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._max_answer_bytes = max_answer_bytes
        self._max_in_flight = max_in_flight
        self._in_flight: dict[tuple[str, str], _Entry[Answer]] = {}
        # By time of the answer, the oldest first.
        self._completed: OrderedDict[tuple[str, str], _Entry[Answer]] = OrderedDict()
        self._answer_bytes_total = 0

    def __len__(self) -> int:
        return len(self._in_flight) + len(self._completed)

    @property
    def answer_bytes_total(self) -> int:
        """Return the bytes of all kept answers."""
        return self._answer_bytes_total

    def claim(
        self, *, scope: str, key: str, request_id: str, fingerprint: str, now_s: float
    ) -> ClaimResult[Answer]:
        """Say what the request has to do."""
        self._drop_old(now_s)
        place = (scope, key)
        entry = self._in_flight.get(place) or self._completed.get(place)
        if entry is None:
            return self._claim_new(place, request_id, fingerprint)
        if entry.fingerprint != fingerprint:
            return ClaimResult(claim=Claim.MISMATCH, request_id=entry.request_id)
        if entry.completed_s is None:
            return ClaimResult(claim=Claim.JOIN, request_id=entry.request_id)
        if entry.answer is None:
            return ClaimResult(claim=Claim.UNKNOWN, request_id=entry.request_id)
        return ClaimResult(
            claim=Claim.REPLAY, request_id=entry.request_id, answer=entry.answer
        )

    def complete(
        self,
        *,
        scope: str,
        key: str,
        now_s: float,
        answer: Answer | None,
        answer_bytes: int = 0,
    ) -> None:
        """Keep the answer; None when it is unknown or was not gathered."""
        entry = self._in_flight.pop((scope, key), None)
        if entry is None:
            return
        entry.completed_s = now_s
        if answer is not None and answer_bytes <= self._max_answer_bytes:
            entry.answer = answer
            entry.answer_bytes = answer_bytes
            self._answer_bytes_total += answer_bytes
        self._completed[scope, key] = entry
        self._drop_excess()

    def discard(self, *, scope: str, key: str) -> None:
        """Drop a request that was proved not to have run: it may be sent again."""
        self._in_flight.pop((scope, key), None)

    def _claim_new(
        self, place: tuple[str, str], request_id: str, fingerprint: str
    ) -> ClaimResult[Answer]:
        if len(self._in_flight) >= self._max_in_flight:
            return ClaimResult(claim=Claim.FULL, request_id=request_id)
        self._in_flight[place] = _Entry(request_id=request_id, fingerprint=fingerprint)
        return ClaimResult(claim=Claim.RUN, request_id=request_id)

    def _drop_old(self, now_s: float) -> None:
        while self._completed:
            oldest = next(iter(self._completed.values()))
            if (
                oldest.completed_s is None
                or now_s - oldest.completed_s < self._retention_s
            ):
                return
            self._drop_oldest()

    def _drop_excess(self) -> None:
        while len(self._completed) > self._max_entries:
            self._drop_oldest()
        while self._answer_bytes_total > self._max_bytes:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, entry = self._completed.popitem(last=False)
        self._answer_bytes_total -= entry.answer_bytes
