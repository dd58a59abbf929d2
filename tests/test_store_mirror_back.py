"""A mirror that had no contact with the store for a long time."""

from random import Random
from typing import cast

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.store import (
    FULL_READ_AFTER_S,
    MAX_RETRY_DELAY_S,
    Mirror,
    Page,
    Removal,
    Store,
    default_pace,
)
from tests.builders_store import WatchedStore, advance, events, item, revisions

LONG_S = default_pace(1).wait_s + FULL_READ_AFTER_S


class SlowPages(WatchedStore):
    """A store whose pages, after the first one, are returned when a test says so."""

    pending_page: "Deferred[Page] | None" = None

    async def items(self, prefix: str) -> Page:
        """Wait for the test, except for the first page."""
        page = await super().items(prefix)
        if self.readings == 1:
            return page
        self.pending_page = Deferred()
        return await self.pending_page


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def store() -> SlowPages:
    return SlowPages(page=Page(items=(item("a", 3), item("b", 4)), revision=10))


@pytest.fixture
def mirror(store: SlowPages, clock: Clock) -> Mirror:
    mirror = Mirror(store=cast(Store, store), prefix="", reactor=clock, rng=Random(1))
    mirror.start()
    return mirror


def lose(store: SlowPages, clock: Clock, duration_s: float) -> None:
    """Let watches fail for a while."""
    end_s = clock.seconds() + duration_s
    while clock.seconds() < end_s:
        _, watching = store.watches[-1]
        if not watching.called:
            watching.errback(PeerUnavailableError("x", step="watch", peer="store"))
        advance(clock, 0.1)


def test_all_items_are_read_after_a_long_outage(
    store: SlowPages, mirror: Mirror, clock: Clock
) -> None:
    """A watch would first return hundreds of table versions over a slow link."""
    lose(store, clock, LONG_S + MAX_RETRY_DELAY_S)
    assert store.pending_page is not None
    store.pending_page.callback(Page(items=(item("a", 40),), revision=50))
    assert revisions(mirror) == {"a": 40}
    assert store.watches[-1][0] == 50
    assert mirror.silent_s() == 0


def test_changes_are_watched_after_a_short_outage(
    store: SlowPages, mirror: Mirror, clock: Clock
) -> None:
    lose(store, clock, LONG_S / 4)
    assert store.readings == 1


def test_forwarding_host_watches_after_any_outage(
    store: SlowPages, mirror: Mirror, clock: Clock
) -> None:
    """Hosts that receive changes would not get the removals before a full read."""
    mirror.forwards_changes = lambda: True
    lose(store, clock, 2 * LONG_S)
    assert store.readings == 1


def test_host_that_receives_all_changes_reads_nothing(
    store: SlowPages, mirror: Mirror, clock: Clock
) -> None:
    mirror.receives_changes = lambda: True
    store.answer_watch(events(11))
    for revision in range(12, 40):
        mirror.apply_forwarded(events(revision), after_revision=revision - 1)
        advance(clock, 0.4)
    assert store.readings == 1


def test_page_older_than_forwarded_changes_is_ignored(
    store: SlowPages, mirror: Mirror, clock: Clock
) -> None:
    """A server left after the page was read, and its removal is forwarded first."""
    lose(store, clock, LONG_S + MAX_RETRY_DELAY_S)
    mirror.apply_forwarded(events(60, Removal(key="b", revision=60)), after_revision=10)
    assert store.pending_page is not None
    store.pending_page.callback(Page(items=(item("a", 3), item("b", 4)), revision=59))
    assert revisions(mirror) == {"a": 3}
    assert mirror.revision == 60
    assert store.watches[-1][0] == 60
