"""The changes of the store that the leader sends, as a receiving host decodes them."""

from collections.abc import Callable
from typing import final

from gentianwharf.errors import InputError
from gentianwharf.logs import log
from gentianwharf.store import Events, Item, Page

from ._deltas import DeltaDecoder, UnknownBaseError
from ._peer_messages import LeaderUpdate, StoreSnapshot


@final
class LeaderChanges:
    """Decodes changes, and knows which ones the leader has to send again."""

    def __init__(self) -> None:
        self._decoder = DeltaDecoder()
        self._repair_until_revision = 0
        """Changes up to this revision were sent, and could not be decoded."""

    def start(self) -> None:
        """Receive the changes of another leader from now on."""
        self.forget_bases()
        self._repair_until_revision = 0

    def forget_bases(self) -> None:
        """Forget the values that changes are relative to: some may have been lost."""
        self._decoder.reset()

    def events(
        self, update: LeaderUpdate, *, stored_item: Callable[[str], Item | None]
    ) -> Events | None:
        """Return the changes of an update, None if they have to be sent again.

        They can also be read from the store then.
        """
        try:
            changes = tuple(
                self._decoder.decode(change, stored_item(change.key))
                for change in update.changes
            )
        except (UnknownBaseError, InputError) as error:
            log.info("changes in an update not decoded: {}", error)
            self._repair_until_revision = update.revision
            return None
        return Events(changes=changes, revision=update.revision)

    def page(self, snapshot: StoreSnapshot) -> Page | None:
        """Return all items of the store, None if one of them can't be decoded."""
        try:
            items = [self._decoder.decode(change, None) for change in snapshot.items]
        except (UnknownBaseError, InputError) as error:
            log.info("snapshot of the store not applied: {}", error)
            return None
        stored = tuple(item for item in items if isinstance(item, Item))
        return Page(items=stored, revision=snapshot.revision)

    def missing_after(self, stored_revision: int | None) -> int | None:
        """Return after which revision changes have to be sent again, None if none.

        ``stored_revision`` is that of this host's copy, None if that is incomplete.
        """
        if stored_revision is None or stored_revision >= self._repair_until_revision:
            return None
        return stored_revision
