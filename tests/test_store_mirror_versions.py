"""Several versions of one item in one answer of the store."""

import pytest
from twisted.internet.task import Clock

from gentianwharf.store import Mirror, Page, Removal
from tests.builders_store import (
    WatchedStore,
    advance,
    events,
    item,
    mirror_of,
    revisions,
)


@pytest.fixture
def store() -> WatchedStore:
    return WatchedStore(page=Page(items=(item("a", 3),), revision=10))


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def mirror(store: WatchedStore, clock: Clock) -> Mirror:
    mirror = mirror_of(store, clock)
    mirror.start()
    return mirror


def test_versions_that_a_newer_one_replaces_are_passed_over(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """New rules are answered 404 on a host for seconds, and a leader loses its lease.

    Operators write ten versions of long rules, one after the other. They come in one
    answer; a host took each in full, 0.3 s on its only thread, though only the last
    one counts.
    """
    heard: list[tuple[str, int | None]] = []
    mirror.add_listener(
        lambda key, found: heard.append((key, found.revision if found else None))
    )
    store.answer_watch(
        events(
            16,
            item("rules", 11),
            item("b", 12),
            item("rules", 13),
            Removal(key="b", revision=14),
            item("rules", 15),
            item("a", 16),
        )
    )
    advance(clock, 1)
    assert heard == [("rules", 15), ("a", 16)]
    assert revisions(mirror) == {"a": 16, "rules": 15}


def test_others_are_told_before_a_change_is_put_to_use(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """All hosts but one learn of new rules late: the leader takes them first.

    That holds its only thread for as long as the list is long, and what it has to tell
    the others waits.
    """
    order: list[str] = []
    mirror.add_listener(lambda key, found: order.append("used"))
    mirror.on_events = lambda after_revision, answer: order.append(
        f"told {len(answer.changes)}"
    )
    store.answer_watch(events(13, item("rules", 12), item("rules", 13)))
    advance(clock, 1)
    assert order == ["told 1", "used"]


def test_order_of_an_answer_s_changes_decides_nothing(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """A host keeps to an older value for good, and says that it knows the newest."""
    store.answer_watch(events(15, item("rules", 15), item("rules", 13)))
    advance(clock, 1)
    assert revisions(mirror)["rules"] == 15
