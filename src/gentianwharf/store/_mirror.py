"""A host's copy of the store's items, kept current by a watch or by another host's.

Load pattern: every change ends the watch of every host, and each next watch is paid. A
host that is told the changes by one that watches lets its own watch rest. It goes back
to it as soon as the other falls silent or has told of something that it never got.
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

from ._pace import WatchPace, usual_pace
from ._types import Events, HistoryGoneError, Item, Page, Removal, Store

REST_S = 0.1
"""How often a host that is told the changes looks whether it still is."""

MISSED_S = 1.0
"""How long a watch may leave out what another host has told of before it is asked anew:
a store that is slow takes half a second. As long waits the watch that is asked then."""

READ_AFTER_S = 1.5
"""Beyond a watch's wait. Unheard for so long, a host reads what stands in the store: a
watch brings every version of each value since then, and none of it can be used before
its last byte has come over the host's link."""

MOST_REMOVALS = 1_000
"""Kept to be told to hosts that lack them; one that lacks more is told everything."""

FIRST_PAUSE_S = 0.2
MOST_PAUSE_S = 0.7
"""Between tries while the store fails, since what changed meanwhile has to be in force
within two seconds of its return."""

EventsListener = Callable[[int, Events], None]
"""Told what a watch brought, and the revision after which it was asked to begin."""

Listener = Callable[[str, Item | None], None]
"""Told of a key and its item, None when that is gone."""


@final
class Mirror:
    """Reads everything below a prefix once, then follows its changes.

    ``on_read`` is called after each reading of everything, when what is not in
    ``items`` is known not to be there; ``on_events`` after each watch that brought
    something; ``is_fed`` says whether another host tells the changes now, ``tells``
    whether this one tells others what its watch brings, who can't follow a reading.
    Revisions never go back: an item that is older than what is known is passed over.
    """

    def __init__(self, *, store: Store, prefix: str, reactor: Any, rng: Random) -> None:
        self.on_read: Callable[[], None] = lambda: None
        self.on_events: EventsListener = lambda after_revision, events: None
        self.is_fed: Callable[[], bool] = lambda: False
        self.tells: Callable[[], bool] = lambda: False
        self.pace: Callable[[], WatchPace] = lambda: usual_pace(1)
        self.items: dict[str, Item] = {}
        self.is_current = False
        self.last_contact_s = float("-inf")
        self._began_s = float(reactor.seconds())
        self.lost_s: float | None = reactor.seconds()
        self.regained_s = float("-inf")
        self._store = store
        self._prefix = prefix
        self._reactor = reactor
        self._rng = rng
        self.revision = 0
        self._told_revision = 0
        self._lacking_since_s = 0.0
        self._removals: deque[Removal] = deque()
        self._removals_after = 0
        self._failures = 0
        self._listeners: list[Listener] = []
        self._running: Deferred[None] | None = None
        self._watching: Deferred[Events] | None = None
        self._patient: Deferred[Events] | None = None
        """The watch on its way, while it may wait for as long as it was asked to."""

    def listen(self, listener: Listener) -> None:
        """Tell ``listener`` of every change from now on."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Begin to follow the store."""
        self._running = Deferred.fromCoroutine(self._follow())
        self._running.addErrback(_log_end)

    def stop(self) -> None:
        """Follow it no more."""
        if self._running is not None:
            self._running.cancel()

    def silent_s(self) -> float:
        """Return for how long the store has not been heard, 0 while it is."""
        if self.lost_s is None:
            return 0.0
        return float(self._reactor.seconds() - self.lost_s)

    def age_s(self) -> float:
        """Return how old what is known may be: since the store or its teller was heard.

        ``silent_s`` stays 0 for as long as a watch may still be answered.
        """
        since_s = max(self.last_contact_s, self._began_s)
        return float(self._reactor.seconds() - since_s)

    def take(self, key: str, item: Item | None) -> None:
        """Take what this host has itself written or read, ahead of the watch."""
        known = self.items.get(key)
        if item is not None and (known is None or known.revision < item.revision):
            self._set(key, item)

    def feed(self, events: Events, *, after_revision: int) -> None:
        """Take the changes that another host's watch brought after a revision.

        If some are missing in between, the next watch fetches them from the store.
        """
        lacked_before = self._lacks_told()
        self._told_revision = max(self._told_revision, events.revision)
        if self.is_current and after_revision <= self.revision:
            self._note_contact()
            self._apply(events)
        if not lacked_before:
            self._lacking_since_s = self._reactor.seconds()
        if self._lacks_told() and self._patient is not None:
            # The answer of a watch that was asked before may be lost. This host would
            # wait for it, and for what it was told of, until that watch runs out.
            patient, self._patient = self._patient, None
            self._reactor.callLater(MISSED_S, self._give_up, patient)

    def feed_page(self, page: Page) -> None:
        """Take all that stands in the store, as another host has it."""
        if self._is_news(page):
            self._note_contact()
            self._take_page(page)

    def page(self) -> Page | None:
        """Return all that is known to stand in the store, None if that isn't sure."""
        if not self.is_current:
            return None
        return Page(items=tuple(self.items.values()), revision=self.revision)

    def _lacks_told(self) -> bool:
        return self._told_revision > self.revision

    def _give_up(self, watching: "Deferred[Events]") -> None:
        if self._lacks_told() and watching is self._watching:
            self._watching = None
            watching.cancel()

    def lacking_s(self) -> float:
        """Return for how long this mirror has lacked what it was told of, 0 if not."""
        if not self._lacks_told():
            return 0.0
        return float(self._reactor.seconds() - self._lacking_since_s)

    def changes_after(self, revision: int) -> Events | None:
        """Return what a mirror lacks that knows a revision, None if that isn't known.

        Of an item that changed several times only the last change is told.
        """
        if not self.is_current or revision < self._removals_after:
            return None
        known: list[Item | Removal] = [*self.items.values(), *self._removals]
        changes = [one for one in known if one.revision > revision]
        changes.sort(key=lambda one: one.revision)
        return Events(changes=tuple(changes), revision=self.revision)

    async def _follow(self) -> None:
        while True:
            try:
                if not self.is_current:
                    await self._read()
                elif self.is_fed() and not self._lacks_told():
                    await deferLater(self._reactor, REST_S)
                elif self._is_long_unheard() and not self.tells():
                    await self._read()
                else:
                    await self._watch()
            except HistoryGoneError:
                log.warning("store history is gone, reading all items again")
                self.is_current = False
            except GentianwharfError as error:
                self._note_failure(error)
                await deferLater(self._reactor, self._pause_s())
            except CancelledError:
                raise
            except Exception:
                # A fault in reading one answer would end the copy: the host would
                # learn nothing any more and go on as if nothing had changed.
                log.exception("reading the store failed")
                self._failures += 1
                await deferLater(self._reactor, self._pause_s())

    def _is_long_unheard(self) -> bool:
        return self.age_s() > self.pace().wait_s + READ_AFTER_S

    async def _read(self) -> None:
        silent_s, asked_s = self.silent_s(), self._reactor.seconds()
        page = await self._store.items(self._prefix)
        self._note_contact()
        if silent_s > 0:
            events = Events(changes=page.items, revision=page.revision)
            self._log_caught_up(events, asked_s=asked_s, superseded=0)
        if self._is_news(page):
            self._take_page(page)

    def _is_news(self, page: Page) -> bool:
        """Whether a page tells more than what is known.

        What another host has told meanwhile and the page not yet would be undone.
        """
        return not self.is_current or page.revision > self.revision

    def _take_page(self, page: Page) -> None:
        found = {item.key: item for item in page.items}
        for key in [key for key in self.items if key not in found]:
            # An item that was written after the first page is not gone.
            if self.items[key].revision <= page.revision:
                self._set(key, None)
        for key, item in found.items():
            self.take(key, item)
        self.revision = page.revision
        # What went before this reading left no mark.
        self._removals.clear()
        self._removals_after = page.revision
        self.is_current = True
        _guarded(self.on_read, peer=self._prefix, revision=page.revision)

    async def _watch(self) -> None:
        after_revision, pace = self.revision, self.pace()
        silent_s, asked_s = self.silent_s(), self._reactor.seconds()
        events = await self._asked(after_revision, pace)
        if events is None:
            return
        self._note_contact()
        newest = _newest(events)
        if silent_s > 0:
            superseded = len(events.changes) - len(newest.changes)
            self._log_caught_up(events, asked_s=asked_s, superseded=superseded)
        if newest.changes:
            # Before this host uses them itself: a long list of rules takes tenths of a
            # second, and every other host would learn of it that much later.
            _guarded(
                lambda: self.on_events(after_revision, newest),
                peer=self._prefix,
                revision=events.revision,
            )
        self._apply(newest)
        if newest.changes:
            await deferLater(self._reactor, pace.gather_s)

    def _log_caught_up(
        self, events: Events, *, asked_s: float, superseded: int
    ) -> None:
        values = [one.value for one in events.changes if isinstance(one, Item)]
        log.info(
            "caught up with the store",
            extra={
                "revision": events.revision,
                "took_s": round(self._reactor.seconds() - asked_s, 3),
                "changes": len(events.changes),
                "superseded": superseded,
                "value_bytes": sum(len(one) for one in values),
            },
        )

    async def _asked(self, after_revision: int, pace: WatchPace) -> Events | None:
        """Return what a watch brings, None if it was given up to be asked anew."""
        is_patient = not self._lacks_told()
        call = self._store.watch(
            self._prefix,
            after_revision=after_revision,
            wait_s=pace.wait_s if is_patient else min(MISSED_S, pace.wait_s),
        )
        watching = self._watching = Deferred.fromCoroutine(call)
        self._patient = watching if is_patient else None
        try:
            return await watching
        except (CancelledError, GentianwharfError):
            if self._watching is watching:
                raise
            return None
        finally:
            self._watching = self._patient = None

    def _apply(self, events: Events) -> None:
        known_revision = self.revision
        self.revision = max(known_revision, events.revision)
        for change in events.changes:
            if change.revision <= known_revision:
                # Told twice, by a watch and by another host: an item that was removed
                # in between would come back.
                continue
            if isinstance(change, Item):
                self.take(change.key, change)
                continue
            self._keep_removal(change)
            if self._is_known_before(change.key, change.revision):
                self._set(change.key, None)

    def _keep_removal(self, removal: Removal) -> None:
        if len(self._removals) == MOST_REMOVALS:
            self._removals_after = self._removals.popleft().revision
        self._removals.append(removal)

    def _is_known_before(self, key: str, revision: int) -> bool:
        known = self.items.get(key)
        return known is not None and known.revision < revision

    def _set(self, key: str, item: Item | None) -> None:
        if item is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        for listener in self._listeners:
            _guarded(
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

    def _note_failure(self, error: GentianwharfError) -> None:
        self._failures += 1
        if self.lost_s is None:
            self.lost_s = self._reactor.seconds()
            log.warning(
                "store lost: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )

    def _pause_s(self) -> float:
        longest_s = min(MOST_PAUSE_S, FIRST_PAUSE_S * 2 ** min(self._failures, 8))
        return longest_s * (0.5 + self._rng.random() / 2)


def _newest(events: Events) -> Events:
    """Return the last change of each key alone.

    Operators may write many versions within one watch. Each of some thousand rules
    holds a host for 0.3 s: ten kept it from its callers and its lease for 3.6 s.
    """
    latest: dict[str, Item | Removal] = {}
    for change in events.changes:
        known = latest.get(change.key)
        # Not the last one in the answer: nothing promises their order.
        if known is None or known.revision < change.revision:
            latest[change.key] = change
    changes = sorted(latest.values(), key=lambda one: one.revision)
    return Events(changes=tuple(changes), revision=events.revision)


def _guarded(call: Callable[[], None], *, peer: str, revision: int | None) -> None:
    """Call a listener; an error of its own costs it this one call.

    Raised from here, its error would pass over the other changes that came along, which
    no later watch brings again, and could end the copy of every key.
    """
    try:
        call()
    except Exception:
        log.exception(
            "what the store told could not be used",
            extra={"step": "note-change", "peer": peer, "revision": revision},
        )


def _log_end(failure: Any) -> None:
    if not failure.check(CancelledError):
        log.error("the mirror of the store ended: {}", failure.getTraceback())
