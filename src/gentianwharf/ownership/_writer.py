"""Writes a service's chunks to the store, one compare-and-swap at a time."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.errors import ConflictError, GentianwharfError
from gentianwharf.infra import ABSENT_REVISION, VersionedValue
from gentianwharf.keys import shard_of

from ._context import Context
from ._fanout import Fanout
from ._messages import Item
from ._protocols import answer_within
from ._table import CHUNK_SHARDS, Chunk, Entry, EntryState, first_chunk, pack_chunk
from ._tables import chunk_key
from ._timing import STORE_TIMEOUT_S


@final
class TableWriter:
    """Collects requested changes of a service and writes many of them in one value.

    ``written`` is called once all of them are written or writing has stopped, because
    of an error or because this host may no longer write.
    """

    def __init__(
        self,
        *,
        context: Context,
        service: str,
        shards: int,
        may_write: Callable[[], bool],
        written: Callable[[], None],
        fanout: Fanout,
    ) -> None:
        self._context = context
        self._service = service
        self._shards = shards
        self._may_write = may_write
        self._written = written
        self._fanout = fanout
        self._confirms: dict[int, Entry] = {}
        self._intents: dict[int, tuple[str, EntryState]] = {}
        self._pins: dict[str, tuple[str, bool]] = {}
        self._unread: set[int] = set()
        self._is_writing = False

    def revision(self, number: int) -> int:
        """Return the newest known revision of a chunk."""
        key = chunk_key(self._service, number)
        return self._context.tables.versions.get(key, ABSENT_REVISION)

    def chunk_of(self, shard: int) -> int:
        """Return the chunk number of a shard, which may be that of a pinned key."""
        if shard < self._shards:
            return shard // CHUNK_SHARDS
        for number, chunk in self._context.tables.chunks(self._service).items():
            if shard in chunk.entries:
                return number
        return 0

    def want(self, confirms: dict[int, Entry]) -> None:
        """Request the confirmation of moves."""
        self._confirms.update(confirms)
        self.flush()

    def intend(self, intents: dict[int, tuple[str, EntryState]]) -> None:
        """Request intents: by shard, the target and how its holders are cleared."""
        self._intents.update(intents)
        self.flush()

    def pin(self, key: str, target: str, *, fixed: bool) -> None:
        """Request a separate entry for ``key``, to be owned by ``target``."""
        self._pins[key] = (target, fixed)
        self.flush()

    def clear(self) -> None:
        """Discard all requested changes, when this host is no longer the writer."""
        self._confirms.clear()
        self._intents.clear()
        self._pins.clear()

    def flush(self) -> None:
        """Start to write the requested changes unless a write is in progress."""
        requested = self._confirms or self._intents or self._pins or self._unread
        if requested and not self._is_writing:
            self._is_writing = True
            Deferred.fromCoroutine(self._run())

    async def _run(self) -> None:
        try:
            while self._may_write() and await self._write_next():
                pass
        except GentianwharfError as error:
            self._context.log("table-write-failed", error=str(error))
        finally:
            self._is_writing = False
        self._written()

    async def _write_next(self) -> bool:
        if self._unread:
            await self._read_back(min(self._unread))
            return True
        requested = [*self._confirms, *self._intents]
        if not requested:
            return await self._write_pin()
        number = self.chunk_of(requested[0])
        chunk = self._context.tables.chunks(self._service).get(number)
        if chunk is None:
            self._confirms.clear()
            self._intents.clear()
            return False
        changed = self._edit(chunk)
        if changed is not None:
            await self._write(changed)
        return True

    async def _write_pin(self) -> bool:
        if not self._pins:
            return False
        key, (target, fixed) = self._pins.popitem()
        shard = shard_of(key, self._shards)
        chunk = self._context.tables.chunks(self._service).get(shard // CHUNK_SHARDS)
        if chunk is None or key in chunk.pins:
            return True
        number = chunk.free_pin(self._shards)
        if number is None or chunk.entries[shard].state is not EntryState.OWNED:
            self._context.log("pin-not-taken", service=self._service, shard=shard)
            return True
        changed = chunk.pin(key, shard=shard, number=number, target=target)
        if fixed:
            changed = replace(changed, fixed=chunk.fixed | {key})
        await self._write(changed)
        return True

    def _edit(self, chunk: Chunk) -> Chunk | None:
        changes: dict[int, Entry] = {}
        unpinned: list[int] = []
        counter = chunk.counter
        for shard in self._shards_in_chunk(self._confirms, chunk.number):
            entry = self._confirms.pop(shard)
            moving = chunk.entries.get(shard)
            if moving is None or moving.next_token != entry.token:
                continue
            if entry.owner:
                changes[shard] = entry
            else:
                unpinned.append(shard)
        for shard in self._shards_in_chunk(self._intents, chunk.number):
            target, state = self._intents.pop(shard)
            entry_now = changes.get(shard) or chunk.entries.get(shard)
            if entry_now is None or shard in unpinned:
                continue
            if entry_now.state is state and entry_now.target == target:
                # The same move was planned again while the first intent was being
                # written. A new token would restart the wait.
                continue
            counter += 1
            changes[shard] = entry_now.intend(target=target, token=counter, state=state)
        if not (changes or unpinned):
            return None
        changed = chunk.edit(changes, counter=counter)
        for shard in unpinned:
            changed = changed.unpin(shard)
        return changed

    def _shards_in_chunk(self, requested: Iterable[int], number: int) -> list[int]:
        return [shard for shard in requested if self.chunk_of(shard) == number]

    async def _write(self, chunk: Chunk) -> None:
        context = self._context
        key = chunk_key(self._service, chunk.number)
        # Until the answer arrives, the store may hold the old or the new value. The
        # table's next state must come from the store, not from the requested change.
        self._unread.add(chunk.number)
        try:
            written = await answer_within(
                context.clock,
                STORE_TIMEOUT_S,
                context.store.compare_and_swap(
                    context.prefix + key,
                    pack_chunk(chunk),
                    expected_revision=self.revision(chunk.number),
                ),
                step="write table",
                peer=key,
            )
        except ConflictError:
            return
        self._unread.discard(chunk.number)
        self._install(written)

    async def _read_back(self, number: int) -> None:
        context = self._context
        key = chunk_key(self._service, number)
        found = await answer_within(
            context.clock,
            STORE_TIMEOUT_S,
            context.store.get(context.prefix + key),
            step="read table",
            peer=key,
        )
        self._unread.discard(number)
        if found is not None:
            self._install(found)

    def _install(self, found: VersionedValue) -> None:
        item = Item(self._context.relative_key(found.key), found.revision, found.value)
        if self._context.tables.install(item):
            self._fanout.broadcast_item(item)

    async def write_first(self, targets: dict[int, str]) -> None:
        """Write the initial chunks of a service that has none yet."""
        numbers = sorted({shard // CHUNK_SHARDS for shard in targets})
        for number in numbers:
            if self.revision(number) != ABSENT_REVISION:
                continue
            chunk_targets = {
                shard: target
                for shard, target in targets.items()
                if shard // CHUNK_SHARDS == number
            }
            await self._write(first_chunk(self._service, number, chunk_targets))
