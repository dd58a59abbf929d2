"""A host's copy of the items in the store, updated by a watch or by another host.

Load pattern: every change ends the watch of every host, and each new watch has a cost.
A host that receives the changes from another host that watches therefore does not watch
itself. It watches again as soon as the other host stops sending, or has sent a change
that follows one which this host lacks.
"""

from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from gentianwharf.errors import GentianwharfError
from gentianwharf.logs import log

from ._changes import call_guarded, newest_changes
from ._pace import WatchPace, default_pace
from ._types import (
    CallAbandonedError,
    Events,
    HistoryGoneError,
    Item,
    Page,
    Removal,
    Store,
)

IDLE_CHECK_S = 0.1
"""Interval at which a host that receives changes checks whether it still does."""

REISSUE_AFTER_S = 1.0
"""How long a watch may fail to return a change that another host has forwarded before
it is issued again; a slow store takes 0.5 s. The new watch waits no longer either."""

FULL_READ_AFTER_S = 1.5
"""Added to the wait of a watch. Without contact for this time, a host reads all items
instead: a watch returns every version of each value since then, and no change is usable
before the last byte has arrived over the host's link."""

CONTACT_OVERDUE_S = 0.3
"""Time beyond the wait of a watch after which a store without contact is considered
unavailable."""

OUTAGE_WATCH_WAIT_S = 0.1
"""Wait of a watch while the store may be unavailable. It is short so that a lost watch
is repeated soon after the store is available again."""

MAX_FORWARDED_AGE_S = 1.3
"""Maximum age of the copy of a host that forwards changes, while the store is slow: the
hosts that receive them start to watch the store themselves soon after that."""

MAX_REMOVALS = 1_000
"""Removals kept for hosts that lack them; a host that lacks more is sent all items."""

FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 0.7
"""Delay between tries while the store fails. What changed in the meantime has to be in
force within two seconds of the store's return."""

EventsListener = Callable[[int, Events], None]
"""Called with the revision after which a watch began, and what the watch returned."""

Listener = Callable[[str, Item | None], None]
"""Called with a key and its item, None if the item was removed."""


@final
class Mirror:
    """A copy of everything below a prefix, read once and then kept up to date.

    ``on_read`` is called after each full read: a key that is missing from ``items``
    then does not exist. ``on_events`` is called after each watch that returned changes.
    ``receives_changes`` states whether another host forwards the changes to this one;
    ``forwards_changes`` states whether this host forwards what its watch returns to
    hosts that cannot use a full read instead. Revisions never decrease: an item that is
    older than the known one is ignored.
    """

    def __init__(self, *, store: Store, prefix: str, reactor: Any, rng: Random) -> None:
        self.on_read: Callable[[], None] = lambda: None
        self.on_events: EventsListener = lambda after_revision, events: None
        self.receives_changes: Callable[[], bool] = lambda: False
        self.forwards_changes: Callable[[], bool] = lambda: False
        self.pace: Callable[[], WatchPace] = lambda: default_pace(1)
        self.items: dict[str, Item] = {}
        self.is_current = False
        self.last_contact_s = float("-inf")
        self.complete_until_s = float("-inf")
        """The store has certainly answered this host with all changes until then. An
        answer may arrive long after the store has made it."""
        self._created_s = float(reactor.seconds())
        self.lost_s: float | None = reactor.seconds()
        self.regained_s = float("-inf")
        self._store = store
        self._prefix = prefix
        self._reactor = reactor
        self._rng = rng
        self.revision = 0
        self._forwarded_revision = 0
        self._behind_since_s = 0.0
        self._removals: deque[Removal] = deque()
        self._removals_after = 0
        self._failures = 0
        self._listeners: list[Listener] = []
        self._following: Deferred[None] | None = None
        self._pending_watch: Deferred[Events] | None = None
        self._full_wait_watch: Deferred[Events] | None = None
        """The pending watch, while it may still wait for as long as requested."""
        self._response_has_started = False

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` for every change from now on."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start to follow the store."""
        self._following = Deferred.fromCoroutine(self._follow())
        self._following.addErrback(_log_end)

    def stop(self) -> None:
        """Stop following the store."""
        if self._following is not None:
            self._following.cancel()

    def silent_s(self) -> float:
        """Return for how long the store has been out of contact, 0 if it is not."""
        if self.lost_s is None:
            return 0.0
        return float(self._reactor.seconds() - self.lost_s)

    def age_s(self) -> float:
        """Return the time since the last contact with the store or a forwarding host.

        This bounds the age of the copy, while ``silent_s`` is 0 for as long as a watch
        may still be answered.
        """
        since_s = max(self.last_contact_s, self._created_s)
        return float(self._reactor.seconds() - since_s)

    def apply_item(self, key: str, item: Item | None) -> None:
        """Apply an item that this host has written or read itself, before the watch."""
        known = self.items.get(key)
        if item is not None and (known is None or known.revision < item.revision):
            self._set(key, item)

    def apply_forwarded(self, events: Events, *, after_revision: int) -> None:
        """Apply the changes that another host's watch returned after a revision.

        If changes in between are missing, the next watch fetches them from the store.
        """
        was_behind = self._is_behind()
        self._forwarded_revision = max(self._forwarded_revision, events.revision)
        if self.is_current and after_revision <= self.revision:
            self._note_contact()
            self._apply(events)
        if not was_behind:
            self._behind_since_s = self._reactor.seconds()
        if self._is_behind() and self._full_wait_watch is not None:
            # The answer to a watch that was issued earlier may be lost. Without this
            # call the host would lack the change until that watch times out.
            watching, self._full_wait_watch = self._full_wait_watch, None
            self._reactor.callLater(REISSUE_AFTER_S, self._cancel_watch, watching)

    def apply_forwarded_page(self, page: Page) -> None:
        """Apply all items of the store, as forwarded by another host."""
        if self._is_newer(page):
            self._note_contact()
            self._apply_page(page)

    def page(self) -> Page | None:
        """Return all items of the store, None if the copy may be outdated."""
        if not self.is_current:
            return None
        return Page(items=tuple(self.items.values()), revision=self.revision)

    def _is_behind(self) -> bool:
        return self._forwarded_revision > self.revision

    def _note_response_start(self) -> None:
        """Keep the pending watch from being cancelled while its answer is arriving."""
        self._response_has_started = True

    def _cancel_watch(self, watching: "Deferred[Events]") -> None:
        is_pending = watching is self._pending_watch and not self._response_has_started
        if self._is_behind() and is_pending:
            self._pending_watch = None
            watching.cancel()

    def behind_s(self) -> float:
        """Return for how long a forwarded change has been missing, 0 if none is."""
        if not self._is_behind():
            return 0.0
        return float(self._reactor.seconds() - self._behind_since_s)

    def changes_after(self, revision: int) -> Events | None:
        """Return the changes after a revision, None if they are not all known.

        Only the last change of each item is included.
        """
        if not self.is_current or revision < self._removals_after:
            return None
        known: list[Item | Removal] = [*self.items.values(), *self._removals]
        changes = [change for change in known if change.revision > revision]
        changes.sort(key=lambda change: change.revision)
        return Events(changes=tuple(changes), revision=self.revision)

    async def _follow(self) -> None:
        while True:
            try:
                if not self.is_current:
                    await self._read()
                elif self.receives_changes() and not self._is_behind():
                    await deferLater(self._reactor, IDLE_CHECK_S)
                elif self._is_long_silent() and not self.forwards_changes():
                    await self._read()
                else:
                    await self._watch()
            except HistoryGoneError:
                log.warning("store history is gone, reading all items again")
                self.is_current = False
            except CallAbandonedError as error:
                # No delay before the retry, since the store is available again.
                self._note_failure(error)
            except GentianwharfError as error:
                self._note_failure(error)
                await deferLater(self._reactor, self._retry_delay_s())
            except CancelledError:
                raise
            except Exception:
                # An error in processing one answer must not end the copy: the host
                # would get no more changes and go on as if nothing had changed.
                log.exception("processing an answer of the store failed")
                self._failures += 1
                await deferLater(self._reactor, self._retry_delay_s())

    def _is_long_silent(self) -> bool:
        return self.age_s() > self.pace().wait_s + FULL_READ_AFTER_S

    def _watch_wait_s(self, pace: WatchPace) -> float:
        """Return for how long the next watch waits for a change."""
        min_wait_s = min(OUTAGE_WATCH_WAIT_S, pace.wait_s)
        if self.lost_s is not None or self.age_s() > pace.wait_s + CONTACT_OVERDUE_S:
            return min_wait_s
        if self.forwards_changes():
            # The next answer may take as long as the last one did.
            answer_s = float(self._reactor.seconds()) - self.complete_until_s
            wait_s = MAX_FORWARDED_AGE_S - 2 * answer_s
            return max(min_wait_s, min(pace.wait_s, wait_s))
        return pace.wait_s

    async def _read(self) -> None:
        silent_s, requested_s = self.silent_s(), self._reactor.seconds()
        page = await self._store.items(self._prefix)
        self._note_contact()
        self._note_complete(requested_s)
        if silent_s > 0:
            events = Events(changes=page.items, revision=page.revision)
            self._log_caught_up(events, requested_s=requested_s, superseded=0)
        if self._is_newer(page):
            self._apply_page(page)

    def _is_newer(self, page: Page) -> bool:
        """Whether a page is newer than this copy.

        Applying an older page would undo changes that another host has forwarded in the
        meantime.
        """
        return not self.is_current or page.revision > self.revision

    def _apply_page(self, page: Page) -> None:
        found = {item.key: item for item in page.items}
        for key in [key for key in self.items if key not in found]:
            # An item that was written after the page was read has not been removed.
            if self.items[key].revision <= page.revision:
                self._set(key, None)
        for key, item in found.items():
            self.apply_item(key, item)
        self.revision = page.revision
        # Removals before this page are not known.
        self._removals.clear()
        self._removals_after = page.revision
        self.is_current = True
        call_guarded(self.on_read, peer=self._prefix, revision=page.revision)

    async def _watch(self) -> None:
        after_revision, pace = self.revision, self.pace()
        silent_s, requested_s = self.silent_s(), self._reactor.seconds()
        wait_s = self._watch_wait_s(pace)
        if self._is_behind():
            wait_s = min(REISSUE_AFTER_S, wait_s)
        events = await self._request(after_revision, wait_s)
        if events is None:
            return
        self._note_contact()
        # Without a change, the store has answered at the end of the wait.
        self._note_complete(requested_s + (0.0 if events.changes else wait_s))
        newest = newest_changes(events)
        if silent_s > 0:
            superseded = len(events.changes) - len(newest.changes)
            self._log_caught_up(events, requested_s=requested_s, superseded=superseded)
        if newest.changes:
            # Changes are forwarded before they are applied on this host: a long list of
            # rules takes tenths of a second, which would delay all other hosts.
            call_guarded(
                lambda: self.on_events(after_revision, newest),
                peer=self._prefix,
                revision=events.revision,
            )
        self._apply(newest)
        if newest.changes:
            await deferLater(self._reactor, pace.batch_s)

    def _log_caught_up(
        self, events: Events, *, requested_s: float, superseded: int
    ) -> None:
        values = [change.value for change in events.changes if isinstance(change, Item)]
        log.info(
            "caught up with the store",
            extra={
                "revision": events.revision,
                "took_s": round(self._reactor.seconds() - requested_s, 3),
                "changes": len(events.changes),
                "superseded": superseded,
                "value_bytes": sum(len(value) for value in values),
            },
        )

    async def _request(self, after_revision: int, wait_s: float) -> Events | None:
        """Return the answer to a watch, None if it was cancelled to be issued again."""
        waits_in_full = not self._is_behind()
        self._response_has_started = False
        call = self._store.watch(
            self._prefix,
            after_revision=after_revision,
            wait_s=wait_s,
            on_response_start=self._note_response_start,
        )
        watching = self._pending_watch = Deferred.fromCoroutine(call)
        self._full_wait_watch = watching if waits_in_full else None
        try:
            return await watching
        except (CancelledError, GentianwharfError):
            if self._pending_watch is watching:
                raise
            return None
        finally:
            self._pending_watch = self._full_wait_watch = None

    def _apply(self, events: Events) -> None:
        known_revision = self.revision
        self.revision = max(known_revision, events.revision)
        for change in events.changes:
            if change.revision <= known_revision:
                # The change came twice, from a watch and from another host. Applied
                # again, it would restore an item that was removed in between.
                continue
            if isinstance(change, Item):
                self.apply_item(change.key, change)
                continue
            self._record_removal(change)
            if self._has_older(change.key, change.revision):
                self._set(change.key, None)

    def _record_removal(self, removal: Removal) -> None:
        if len(self._removals) == MAX_REMOVALS:
            self._removals_after = self._removals.popleft().revision
        self._removals.append(removal)

    def _has_older(self, key: str, revision: int) -> bool:
        known = self.items.get(key)
        return known is not None and known.revision < revision

    def _set(self, key: str, item: Item | None) -> None:
        if item is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        for listener in self._listeners:
            call_guarded(
                partial(listener, key, item),
                peer=key,
                revision=item.revision if item is not None else None,
            )

    def _note_contact(self) -> None:
        self.last_contact_s = self._reactor.seconds()
        self._failures = 0
        if self.lost_s is None:
            return
        silent_s = self.last_contact_s - self.lost_s
        self.lost_s = None
        self.regained_s = self.last_contact_s
        log.info("store regained", extra={"silent_s": round(silent_s, 3)})

    def _note_complete(self, until_s: float) -> None:
        until_s = min(until_s, float(self._reactor.seconds()))
        self.complete_until_s = max(self.complete_until_s, until_s)

    def _note_failure(self, error: GentianwharfError) -> None:
        self._failures += 1
        if self.lost_s is None:
            self.lost_s = self._reactor.seconds()
            log.warning(
                "store lost: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )

    def _retry_delay_s(self) -> float:
        max_delay_s = min(
            MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2 ** min(self._failures, 8)
        )
        return max_delay_s * (0.5 + self._rng.random() / 2)


def _log_end(failure: Any) -> None:
    if not failure.check(CancelledError):
        log.error("mirror of the store stopped: {}", failure.getTraceback())
