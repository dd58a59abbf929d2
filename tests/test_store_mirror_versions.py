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


def test_superseded_versions_are_skipped(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against rules that take effect seconds late, and a lost leader lease.

    Operators write ten versions of long rules one after another, which arrive in one
    answer. A host processed each of them, 0.3 s on its only thread, although only the
    last one matters.
    """
    received: list[tuple[str, int | None]] = []
    mirror.add_listener(
        lambda key, found: received.append((key, found.revision if found else None))
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
    assert received == [("rules", 15), ("a", 16)]
    assert revisions(mirror) == {"a": 16, "rules": 15}


def test_changes_are_forwarded_before_they_are_applied(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against rules that are delayed because the leader applies them first.

    Applying a long list occupies the leader's only thread and delays the forwarding.
    """
    order: list[str] = []
    mirror.add_listener(lambda key, found: order.append("applied"))
    mirror.on_events = lambda after_revision, answer: order.append(
        f"forwarded {len(answer.changes)}"
    )
    store.answer_watch(events(13, item("rules", 12), item("rules", 13)))
    advance(clock, 1)
    assert order == ["forwarded 1", "applied"]


def test_order_of_changes_in_an_answer_is_ignored(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against a host that keeps an older value at the newest revision."""
    store.answer_watch(events(15, item("rules", 15), item("rules", 13)))
    advance(clock, 1)
    assert revisions(mirror)["rules"] == 15
