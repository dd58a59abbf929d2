"""Faults of the store as a table, put around any implementation of it.

Give each host a ``FaultyStore`` of its own around one shared store: a cut that only
one host or one failure domain sees is then a fault in those hosts' tables.
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
FOREVER_S = float("inf")


class FaultKind(StrEnum):
    """What goes wrong with a call."""

    DOWN = "down"
    """Refused at once: ``PeerUnavailableError``, no effect."""
    SLOW = "slow"
    """Takes effect, and is answered, ``delay_s`` later."""
    ANSWER_LOST = "answer-lost"
    """Takes effect at once; ``OutcomeUnknownError`` after ``delay_s``."""
    ANSWER_LATE = "answer-late"
    """Takes effect at once; the answer, by then old, comes ``delay_s`` later."""
    EFFECT_LATE = "effect-late"
    """``OutcomeUnknownError`` at once; takes effect ``delay_s`` later."""
    SILENT_WATCH = "silent-watch"
    """A watch that waits its time and reports nothing, whatever changed."""
    HANGS = "hangs"
    """No effect and no answer ever: what a connection gone silent looks like."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One line of a fault table: applies to calls made from ``from_s`` to ``until_s``.

    ``operations`` empty means all (for ``SILENT_WATCH``, watches). ``key_prefix`` is
    compared with the call's key or prefix; calls on leases have none. ``share`` of
    the calls, drawn from the seeded generator, are hit.
    """

    kind: FaultKind
    from_s: float = 0.0
    until_s: float = FOREVER_S
    operations: frozenset[StoreOperation] = frozenset()
    key_prefix: str = ""
    delay_s: float = 0.0
    share: float = 1.0

    def applies(self, operation: StoreOperation, key: str, now_s: float) -> bool:
        """Say whether a call made now is in this line's reach."""
        if not self.from_s <= now_s < self.until_s:
            return False
        if self.kind is FaultKind.SILENT_WATCH and operation != StoreOperation.WATCH:
            return False
        if self.operations and operation not in self.operations:
            return False
        return key.startswith(self.key_prefix)


@final
class FaultyStore:
    """A ``KeyValueStore`` that does to its calls what a table of faults says.

    The first line that applies decides. ``faults`` is the table itself: a test may
    change it while it runs.
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
        """Read one value."""
        return await self._call(StoreOperation.GET, key, lambda: self._store.get(key))

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Read a prefix."""
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
        """Write one value."""
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
        """Wait for changes under a prefix."""
        fault = self._fault(StoreOperation.WATCH, prefix)
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
        """Make a lease."""
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
        return await self._with_fault(self._fault(operation, key), operation, call)

    def _fault(self, operation: StoreOperation, key: str) -> Fault | None:
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
                await self._wait(fault.delay_s)
            case FaultKind.ANSWER_LATE:
                answer = await call()
                await self._wait(fault.delay_s)
                return answer
            case FaultKind.ANSWER_LOST:
                await call()
                await self._wait(fault.delay_s)
                raise _answer_lost(operation)
            case FaultKind.EFFECT_LATE:
                self._clock.callLater(fault.delay_s, _run_unheard, call)
                raise _answer_lost(operation)
        return await call()

    async def _wait(self, delay_s: float) -> None:
        await deferLater(self._clock, delay_s, lambda: None)


def _run_unheard(call: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    # The caller has long given up, so a conflict has nobody left to hear of it.
    Deferred.fromCoroutine(call()).addErrback(lambda _: None)


def _answer_lost(operation: StoreOperation) -> OutcomeUnknownError:
    effect = "may have taken effect: read it back" if operation in WRITES else "is lost"
    return OutcomeUnknownError(
        f"no answer came; the call {effect}", step=operation.value, peer=PEER
    )
