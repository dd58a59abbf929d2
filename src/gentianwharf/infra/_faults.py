"""Injection of faults into the calls of any store, according to a table.

To simulate a partition that affects only one host or one failure domain, wrap a shared
store in one ``FaultyStore`` per host and add the fault to the tables of those hosts.
"""

from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any, TypeVar, final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError

from ._memory import WRITES, StoreOperation
from ._store import KeyValueStore, StoreLease, VersionedValue

Result = TypeVar("Result")
PEER = "faulty store"
NO_END_S = float("inf")


class FaultKind(StrEnum):
    """The effect of a fault on a call."""

    DOWN = "down"
    """Raises ``PeerUnavailableError`` at once; no effect."""
    SLOW = "slow"
    """Takes effect and is answered ``delay_s`` later."""
    ANSWER_LOST = "answer-lost"
    """Takes effect at once; raises ``OutcomeUnknownError`` after ``delay_s``."""
    ANSWER_LATE = "answer-late"
    """Takes effect at once; the answer is delivered ``delay_s`` later, out of date."""
    EFFECT_LATE = "effect-late"
    """Raises ``OutcomeUnknownError`` at once; takes effect ``delay_s`` later."""
    SILENT_WATCH = "silent-watch"
    """A watch waits for ``wait_s`` and returns no changes, even if there are some."""
    HANGS = "hangs"
    """No effect and never an answer, as on a connection that delivers no data."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """An entry of a fault table; applies to calls made from ``from_s`` to ``until_s``.

    An empty ``operations`` stands for all operations (with ``SILENT_WATCH``, for
    watches). ``key_prefix`` is compared with the key or prefix of the call, which is
    empty for calls on leases. ``share`` is the probability that such a call is
    affected, drawn from the seeded generator rng of the store.
    """

    kind: FaultKind
    from_s: float = 0.0
    until_s: float = NO_END_S
    operations: frozenset[StoreOperation] = frozenset()
    key_prefix: str = ""
    delay_s: float = 0.0
    share: float = 1.0

    def applies(self, operation: StoreOperation, key: str, now_s: float) -> bool:
        """Return whether this entry applies to a call made at ``now_s``."""
        if not self.from_s <= now_s < self.until_s:
            return False
        if self.kind is FaultKind.SILENT_WATCH and operation != StoreOperation.WATCH:
            return False
        if self.operations and operation not in self.operations:
            return False
        return key.startswith(self.key_prefix)


@final
class FaultyStore:
    """A ``KeyValueStore`` whose calls are subject to a table of faults.

    The first entry that applies to a call and is drawn by its ``share`` takes effect.
    ``faults`` is the table itself; tests may change it at any time.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: IReactorTime,
        rng: Random,
        faults: Iterable[Fault] = (),
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self.faults = list(faults)

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None if the key is absent."""
        return await self._call(StoreOperation.GET, key, lambda: self._store.get(key))

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Return every value whose key begins with ``prefix``."""
        return await self._call(
            StoreOperation.GET_MANY, prefix, lambda: self._store.get_many(prefix)
        )

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> VersionedValue:
        """Write ``value`` if the key still has ``expected_revision`` (0: absent)."""
        return await self._call(
            StoreOperation.COMPARE_AND_SWAP,
            key,
            lambda: self._store.compare_and_swap(
                key, value, expected_revision=expected_revision, lease_id=lease_id
            ),
        )

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> list[VersionedValue]:
        """Wait up to ``wait_s`` for values under ``prefix`` newer than a revision."""
        fault = self._find_fault(StoreOperation.WATCH, prefix)
        if fault is not None and fault.kind is FaultKind.SILENT_WATCH:
            await deferLater(self._clock, wait_s, lambda: None)
            return []
        return await self._with_fault(
            fault,
            StoreOperation.WATCH,
            lambda: self._store.watch(
                prefix, after_revision=after_revision, wait_s=wait_s
            ),
        )

    async def lease_grant(self, *, ttl_s: float) -> StoreLease:
        """Create a lease."""
        return await self._call(
            StoreOperation.LEASE_GRANT,
            "",
            lambda: self._store.lease_grant(ttl_s=ttl_s),
        )

    async def lease_renew(self, lease_id: str) -> None:
        """Renew a lease."""
        await self._call(
            StoreOperation.LEASE_RENEW, "", lambda: self._store.lease_renew(lease_id)
        )

    async def lease_revoke(self, lease_id: str) -> None:
        """End a lease."""
        await self._call(
            StoreOperation.LEASE_REVOKE, "", lambda: self._store.lease_revoke(lease_id)
        )

    async def _call(
        self,
        operation: StoreOperation,
        key: str,
        call: Callable[[], Coroutine[Any, Any, Result]],
    ) -> Result:
        return await self._with_fault(self._find_fault(operation, key), operation, call)

    def _find_fault(self, operation: StoreOperation, key: str) -> Fault | None:
        now_s = self._clock.seconds()
        for fault in self.faults:
            if fault.applies(operation, key, now_s) and (
                fault.share >= 1.0 or self._rng.random() < fault.share
            ):
                return fault
        return None

    async def _with_fault(
        self,
        fault: Fault | None,
        operation: StoreOperation,
        call: Callable[[], Coroutine[Any, Any, Result]],
    ) -> Result:
        if fault is None:
            return await call()
        match fault.kind:
            case FaultKind.DOWN:
                raise PeerUnavailableError(
                    "connection refused: the call had no effect",
                    step=operation.value,
                    peer=PEER,
                )
            case FaultKind.HANGS | FaultKind.SILENT_WATCH:
                await Deferred[None]()
            case FaultKind.SLOW:
                await self._delay(fault.delay_s)
            case FaultKind.ANSWER_LATE:
                answer = await call()
                await self._delay(fault.delay_s)
                return answer
            case FaultKind.ANSWER_LOST:
                await call()
                await self._delay(fault.delay_s)
                raise _answer_lost_error(operation)
            case FaultKind.EFFECT_LATE:
                self._clock.callLater(fault.delay_s, _run_detached, call)
                raise _answer_lost_error(operation)
        return await call()

    async def _delay(self, delay_s: float) -> None:
        await deferLater(self._clock, delay_s, lambda: None)


def _run_detached(call: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    # The caller already got an error, so the result and any error are discarded.
    Deferred.fromCoroutine(call()).addErrback(lambda _: None)


def _answer_lost_error(operation: StoreOperation) -> OutcomeUnknownError:
    effect = "may have taken effect: read it back" if operation in WRITES else "is lost"
    return OutcomeUnknownError(
        f"no answer came; the call {effect}", step=operation.value, peer=PEER
    )
