"""Requests under which several servers ended, in the store.

A host that starts, or that stood still, learns from there what it has missed. The
leader writes the items; the operators let a request through by removing one.
"""

import time
from collections.abc import Callable
from typing import final

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
)
from gentianwharf.store import Change, Item, Put, Store

from ._store_keys import LEADER_KEY

MIN_STORED_CRASHES = 2
"""Most requests that are lost with one server are never lost again."""

WRITE_INTERVAL_S = 0.5
MAX_WRITES = 16
MAX_STORED = 500


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
        self._stored: dict[bytes, tuple[int, int]] = {}
        """The revision of each item, and the number of ends in it."""

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
        self._stored[name.digest] = (
            item.revision,
            len(stored.crashes),
        )
        now_s, now_unix_s = self._now_s(), time.time()
        is_news = [
            self._records.note_crash(
                name, crash.crash(now_s=now_s, now_unix_s=now_unix_s)
            )
            for crash in stored.crashes
        ]
        return [name] if any(is_news) else []

    def _note_removed(self, key: str) -> None:
        try:
            digest = bytes.fromhex(key.removeprefix(QUARANTINE_PREFIX))
        except ValueError:
            return
        if self._stored.pop(digest, None) is not None and self._records.release(digest):
            log.info("request let through", extra={"name": digest.hex()})

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
            if len(record.crashes) < MIN_STORED_CRASHES or len(puts) == MAX_WRITES:
                continue
            revision, stored_crashes = self._stored.get(record.digest, (0, 0))
            if stored_crashes >= len(record.crashes):
                continue
            self._records.verdict(record.digest)
            key = QUARANTINE_PREFIX + record.digest.hex()
            expected[key] = revision
            puts.append(Put(key=key, value=encode_record(record)))
        return puts

    def _outdated(self, expected: dict[str, int]) -> list[str]:
        """Return the keys of cleared requests, and of the oldest beyond the bound."""
        cleared = [
            digest for digest in self._stored if self._records.record(digest) is None
        ]
        excess = max(0, len(self._stored) - MAX_STORED)
        digests = [*cleared, *list(self._stored)[:excess]][:MAX_WRITES]
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


def _log_fault(failure: Failure) -> None:
    log.error("error while storing requests: {}", failure.getTraceback())
