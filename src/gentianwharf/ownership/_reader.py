"""Reads and watches the store's tables and witness lists."""

from collections.abc import Iterable
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.errors import GentianwharfError
from gentianwharf.infra import VersionedValue

from ._context import Context
from ._fanout import Fanout
from ._messages import Item
from ._protocols import answer_within
from ._tables import TABLE, WITNESSES
from ._timing import STORE_TIMEOUT_S, WATCH_S

WATCHERS = 2
"""Hosts of a domain that keep a watch open; they forward the values it returns."""

RETRY_DELAY_S = 0.5
"""Pause after a failed read or watch, so as not to overload a failing store."""

READ_INTERVAL_S = 10.0
"""Interval at which the watchers read the witness lists, which are not watched."""


@final
class Reader:
    """Reads all values at the start, and then watches on a few hosts of each domain."""

    def __init__(self, *, context: Context, fanout: Fanout) -> None:
        self._context = context
        self._fanout = fanout
        self._is_reading = False
        self._is_watching = False
        self._read_s = float("-inf")
        self._watch_due_s = float("-inf")
        self._was_listed = False
        self.has_read = False

    def tick(self) -> None:
        """Start a read or a watch that is due."""
        now_s = self._context.now_s
        is_watcher = self._context.is_selected("watch", WATCHERS)
        witness = self._context.witness
        lacks_memory = witness.is_listed and not witness.has_memory
        if witness.is_listed and not self._was_listed:
            # A new witness confirms nothing until it has read the store. If the store
            # and another witness failed before that, the domain would lose its rights.
            self._read_s = float("-inf")
        self._was_listed = witness.is_listed
        needs_read = not self.has_read or lacks_memory
        pause_s = RETRY_DELAY_S if needs_read else READ_INTERVAL_S
        is_due = now_s >= self._read_s + pause_s and (needs_read or is_watcher)
        if is_due and not self._is_reading:
            self._is_reading = True
            self._read_s = now_s
            Deferred.fromCoroutine(self._read(with_tables=needs_read))
        watch_due = is_watcher and self.has_read and now_s >= self._watch_due_s
        if watch_due and not self._is_watching:
            self._is_watching = True
            Deferred.fromCoroutine(self._watch())

    async def _read(self, *, with_tables: bool) -> None:
        context = self._context
        # Only a read that began while this host was listed as a witness gives it a
        # memory; see ``Witness``.
        was_listed = context.witness.is_listed
        try:
            tables = await self._get(TABLE) if with_tables else []
            lists = await self._get(WITNESSES)
        except GentianwharfError as error:
            context.log("store-read-failed", error=str(error))
            return
        finally:
            self._is_reading = False
        self.install([*tables, *lists])
        context.witness.note_list(context.tables.witnesses(context.host.domain))
        self.has_read = True
        if was_listed and with_tables and context.witness.is_listed:
            context.witness.store_read()
        elif context.witness.is_listed and not context.witness.has_memory:
            self._read_s = float("-inf")

    async def _get(self, kind: str) -> list[VersionedValue]:
        context = self._context
        prefix = context.prefix + kind
        return await answer_within(
            context.clock,
            STORE_TIMEOUT_S,
            context.store.get_many(prefix),
            step="read store",
            peer=prefix,
        )

    async def _watch(self) -> None:
        context = self._context
        prefix = context.prefix + TABLE
        versions = context.tables.versions
        known = [versions[key] for key in versions if key.startswith(TABLE)]
        try:
            # A watch may never be answered; the timeout makes it open again.
            found = await answer_within(
                context.clock,
                WATCH_S + STORE_TIMEOUT_S,
                context.store.watch(
                    prefix, after_revision=max(known, default=0), wait_s=WATCH_S
                ),
                step="watch store",
                peer=prefix,
            )
        except GentianwharfError as error:
            context.log("watch-failed", error=str(error))
            self._watch_due_s = context.now_s + RETRY_DELAY_S
        else:
            self.install(found)
        finally:
            self._is_watching = False

    def install(self, found: Iterable[VersionedValue]) -> None:
        """Apply values read from the store and forward the new ones."""
        context = self._context
        new = []
        for value in found:
            item = Item(context.relative_key(value.key), value.revision, value.value)
            if context.install(item):
                new.append(item)
        if new and self.has_read:
            for host in self._fanout.first_hosts(context.host.domain):
                context.send_items(host, new)
            self._fanout.forward_items(new)
