"""Deduplication of requests that carry an ``Idempotency-Key``.

A repeated request joins the first one while that is in flight, and gets its answer
after that.

Load pattern: a client times out after ten seconds and posts the same dues again while
the first request is still running, or just after its answer was lost. If the second
request is sent on, only the server can detect the repetition; a server that does not
store idempotency keys charges twice.

This cache detects repetitions on one daemon. On another daemon the request is sent to
the same server (the caller of this module hashes the key to it), which can detect them.
Replicating each request and answer to a second host, as in the related paper, would
cost two more messages per request and the answer's bytes, and is not done.

Stored answers are bounded by count, bytes and time. A request whose answer is too
large, or whose outcome is unknown, is stored without an answer: a repetition is told so
and is never sent again.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar, final

# Clients repeat requests within minutes; the answers of a day would not fit.
RETENTION_S = 600.0
MAX_ENTRIES = 20_000
# Enough for 512 answers of the largest size, a chunk of 64 KiB. 32 MiB is a quarter of
# the memory that a daemon may use for control.
MAX_BYTES = 32 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
# Entries of requests in flight cannot be dropped without risking a second run.
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
    """The claim, with the request to join or the stored answer.

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
    """A record of a daemon's requests that must run at most once.

    A key is scoped by its caller and service: ``scope`` prevents a caller from reading
    the answer to another caller's request. ``fingerprint`` identifies the request by
    its method, path and whatever else has to be equal in a repetition.

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
        # Ordered by time of completion, the oldest first.
        self._completed: OrderedDict[tuple[str, str], _Entry[Answer]] = OrderedDict()
        self._answer_bytes_total = 0

    def __len__(self) -> int:
        return len(self._in_flight) + len(self._completed)

    @property
    def answer_bytes_total(self) -> int:
        """Return the size of all stored answers in bytes."""
        return self._answer_bytes_total

    def claim(
        self, *, scope: str, key: str, request_id: str, fingerprint: str, now_s: float
    ) -> ClaimResult[Answer]:
        """Return what the request has to do, and record it if it is new."""
        self._drop_expired(now_s)
        scoped_key = (scope, key)
        entry = self._in_flight.get(scoped_key) or self._completed.get(scoped_key)
        if entry is None:
            return self._claim_new(scoped_key, request_id, fingerprint)
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
        """Store the answer, or None if it is unknown or was not collected."""
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
        """Drop a request that was proved not to have run and may be sent again."""
        self._in_flight.pop((scope, key), None)

    def _claim_new(
        self, scoped_key: tuple[str, str], request_id: str, fingerprint: str
    ) -> ClaimResult[Answer]:
        if len(self._in_flight) >= self._max_in_flight:
            return ClaimResult(claim=Claim.FULL, request_id=request_id)
        self._in_flight[scoped_key] = _Entry(
            request_id=request_id, fingerprint=fingerprint
        )
        return ClaimResult(claim=Claim.RUN, request_id=request_id)

    def _drop_expired(self, now_s: float) -> None:
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
