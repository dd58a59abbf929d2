"""Requests under which several servers ended, in the store.

A host that starts, or that stood still, learns from there what it has missed. The
leader writes the items. One of a request that is cleared, or that the operators let
through, states so for some time before it is removed: an item may also be missing since
the store forgot it, or since there were too many, which clears no request.
"""

import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Protocol, final

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gentianwharf.errors import GentianwharfError
from gentianwharf.keyspace import Leadership
from gentianwharf.logs import log
from gentianwharf.quarantine import (
    QUARANTINE_PREFIX,
    CrashRecords,
    RequestName,
    decode_record,
    encode_record,
    encode_released,
)
from gentianwharf.store import Change, Item, Put, Store

from ._store_keys import LEADER_KEY

MIN_STORED_ENDS = 2
"""Most requests that are lost with one server are never lost again."""

WRITE_INTERVAL_S = 0.5
MAX_WRITES = 16
MAX_STORED = 500
RELEASED_KEPT_S = 600.0
"""How long an item states that its request is cleared."""


class CountedState(Protocol):
    """A try, here or in the store."""

    @property
    def state(self) -> int:
        """What is known of it."""


@final
@dataclass(kw_only=True, slots=True)
class _StoredItem:
    """An item as it was read last; ``extent`` grows with what it says."""

    revision: int
    value: bytes
    extent: tuple[int, int]
    released_s: float | None = None
    """When this host read that its request is cleared, None if it isn't."""


@final
class QuarantineItems:
    """Merges stored requests into the records; ``tick`` is called often."""

    def __init__(
        self,
        *,
        records: CrashRecords,
        store: Store,
        leadership: Leadership,
        now_s: Callable[[], float],
    ) -> None:
        self._records = records
        self._store = store
        self._leadership = leadership
        self._now_s = now_s
        self._next_write_s = float("-inf")
        self._stored: dict[bytes, _StoredItem] = {}

    def note_item(self, key: str, item: Item | None) -> list[RequestName]:
        """Apply a stored request or its removal; return the names that are news."""
        if item is None:
            self._note_removed(key)
            return []
        try:
            hex_name = key.removeprefix(QUARANTINE_PREFIX)
            name, stored = decode_record(hex_name, item.value)
        except ValueError as error:
            log.warning(
                "stored request not taken: {}",
                error,
                extra={"peer": key, "revision": item.revision},
            )
            return []
        known = self._stored[name.digest] = _StoredItem(
            revision=item.revision,
            value=item.value,
            extent=_extent(stored.crashes, stored.tries),
        )
        if stored.is_released:
            known.extent, known.released_s = (0, 0), self._now_s()
            if self._records.note_cleared(name.digest, stored.evidence_ids()):
                log.info("request let through", extra={"name": str(name)})
            return []
        now_s, now_unix_s = self._now_s(), time.time()
        is_news = [
            self._records.note_crash(
                name, crash.crash(now_s=now_s, now_unix_s=now_unix_s)
            )
            for crash in stored.crashes
        ]
        for tried in stored.tries:
            self._records.note_try(
                name, tried.permitted_try(now_s=now_s, now_unix_s=now_unix_s)
            )
        return [name] if any(is_news) else []

    def _note_removed(self, key: str) -> None:
        try:
            digest = bytes.fromhex(key.removeprefix(QUARANTINE_PREFIX))
        except ValueError:
            return
        removed = self._stored.pop(digest, None)
        if removed is not None and removed.released_s is None:
            log.info("stored request is gone", extra={"name": digest.hex()})

    def tick(self) -> None:
        """Write what the store lacks, and remove what was cleared, as the leader."""
        now_s = self._now_s()
        if now_s < self._next_write_s or (self._records.is_empty and not self._stored):
            return
        self._next_write_s = now_s + WRITE_INTERVAL_S
        term = self._leadership.term
        if term is None or not self._leadership.holds_lease():
            return
        expected = {LEADER_KEY: term.revision}
        puts, removals = self._missing_puts(expected), self._outdated(expected)
        if puts or removals:
            change = Change(expected=expected, puts=puts, removals=removals)
            Deferred.fromCoroutine(self._write(change)).addErrback(_log_fault)

    def _missing_puts(self, expected: dict[str, int]) -> list[Put]:
        puts: list[Put] = []
        for record in self._records:
            if record.possible_ends < MIN_STORED_ENDS or len(puts) == MAX_WRITES:
                continue
            stored = self._stored.get(record.digest)
            revision, (ends, tries) = 0, (0, 0)
            if stored is not None:
                revision, (ends, tries) = stored.revision, stored.extent
            now = _extent(record.crashes.values(), record.tries.values())
            if now[0] <= ends and now[1] <= tries:
                continue
            self._records.verdict(record.digest)
            key = QUARANTINE_PREFIX + record.digest.hex()
            expected[key] = revision
            puts.append(Put(key=key, value=encode_record(record)))
        return puts + self._cleared_puts(expected, room=MAX_WRITES - len(puts))

    def _cleared_puts(self, expected: dict[str, int], *, room: int) -> list[Put]:
        digests = self._records.cleared()
        cleared = [
            (QUARANTINE_PREFIX + digest.hex(), stored)
            for digest, stored in self._stored.items()
            if stored.released_s is None and digest in digests
        ][:room]
        expected.update({key: stored.revision for key, stored in cleared})
        return [
            Put(key=key, value=encode_released(stored.value)) for key, stored in cleared
        ]

    def _outdated(self, expected: dict[str, int]) -> list[str]:
        """Return the keys of requests that were cleared long ago, or beyond the bound.

        Those that still are suspected are the last to go.
        """
        old_s = self._now_s() - RELEASED_KEPT_S
        cleared = [
            digest
            for digest, stored in self._stored.items()
            if stored.released_s is not None and stored.released_s < old_s
        ]
        excess = max(0, len(self._stored) - MAX_STORED)
        oldest = sorted(
            self._stored, key=lambda digest: self._stored[digest].released_s is None
        )
        digests = [*cleared, *oldest[:excess]][:MAX_WRITES]
        keys = [QUARANTINE_PREFIX + digest.hex() for digest in dict.fromkeys(digests)]
        return [key for key in keys if key not in expected]

    async def _write(self, change: Change) -> None:
        try:
            await self._store.change(change)
        except GentianwharfError as error:
            log.info(
                "requests that end servers not stored: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )


def _extent(
    crashes: Collection[object], tries: Iterable[CountedState]
) -> tuple[int, int]:
    """Return how much is said about a request; what was said stays in it."""
    return len(crashes), sum(1 + tried.state for tried in tries)


def _log_fault(failure: Failure) -> None:
    log.error("error while storing requests: {}", failure.getTraceback())
