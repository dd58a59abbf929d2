"""``Mirror``: a host's copy of the store, from its own watch and from another host."""

import pytest
from twisted.internet.task import Clock

from gentianwharf.errors import InputError, PeerUnavailableError
from gentianwharf.logs import log
from gentianwharf.store import (
    MAX_REMOVALS,
    REISSUE_AFTER_S,
    Events,
    HistoryGoneError,
    Item,
    Mirror,
    Page,
    Removal,
    default_pace,
)
from gentianwharf.store._mirror import MAX_FORWARDED_AGE_S
from tests.builders_store import (
    WatchedStore,
    advance,
    events,
    item,
    mirror_of,
    revisions,
)


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def store() -> WatchedStore:
    return WatchedStore(page=Page(items=(item("a", 3),), revision=10))


@pytest.fixture
def mirror(store: WatchedStore, clock: Clock) -> Mirror:
    mirror = mirror_of(store, clock)
    mirror.start()
    return mirror


def test_next_watch_continues_after_the_last_answer(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    store.answer_watch(events(12, item("b", 12)))
    advance(clock, 1)
    assert [after for after, _ in store.watches] == [10, 12]
    assert revisions(mirror) == {"a": 3, "b": 12}


def test_removed_item_is_dropped(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    received: list[tuple[str, Item | None]] = []
    mirror.add_listener(lambda key, found: received.append((key, found)))
    store.answer_watch(events(12, Removal(key="a", revision=12)))
    assert revisions(mirror) == {}
    assert received == [("a", None)]


def test_all_items_are_read_again_after_lost_history(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    store.page = Page(items=(item("c", 40),), revision=40)
    store.watches[-1][1].errback(HistoryGoneError("gone", step="watch", peer="store"))
    assert revisions(mirror) == {"c": 40}
    assert store.watches[-1][0] == 40


def test_host_that_receives_changes_does_not_watch(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # When each of twelve hosts watched everything, each change cost twelve calls: five
    # in six of about 700 paid calls at low load.
    mirror.receives_changes = lambda: True
    store.answer_watch(events(11))
    for revision in range(12, 20):
        mirror.apply_forwarded(
            events(revision, item("b", revision)), after_revision=revision - 1
        )
        advance(clock, 0.5)
    assert len(store.watches) == 1
    assert revisions(mirror) == {"a": 3, "b": 19}
    assert mirror.revision == 19


def test_host_watches_again_when_it_receives_no_more_changes(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # The host that forwards changes is lost. Without a watch of their own, the
    # receivers would get no more changes.
    mirror.receives_changes = lambda: True
    store.answer_watch(events(11))
    mirror.apply_forwarded(events(12, item("b", 12)), after_revision=11)
    advance(clock, 0.5)
    mirror.receives_changes = lambda: False
    advance(clock, 0.5)
    assert [after for after, _ in store.watches] == [10, 12]


def test_changes_that_were_not_forwarded_are_fetched(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # A message between hosts is lost. The next one contains only later changes; applied
    # alone, it would hide the lost ones for ever.
    mirror.receives_changes = lambda: True
    store.answer_watch(events(11))
    advance(clock, 0.5)
    mirror.apply_forwarded(events(14, item("b", 14)), after_revision=13)
    assert revisions(mirror) == {"a": 3}
    advance(clock, 0.5)
    assert store.watches[-1][0] == 11
    store.answer_watch(events(14, item("c", 12), item("b", 14)))
    assert revisions(mirror) == {"a": 3, "c": 12, "b": 14}
    advance(clock, 2)
    assert len(store.watches) == 2, "changes are received again, and none is missing"


def test_older_watch_does_not_restore_a_removed_item(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # An earlier watch is still pending when another host forwards that an item was
    # written and removed. The watch then returns only the write.
    mirror.apply_forwarded(
        events(12, item("b", 11), Removal(key="b", revision=12)), after_revision=10
    )
    store.answer_watch(events(11, item("b", 11)))
    assert revisions(mirror) == {"a": 3}
    assert mirror.revision == 12


def test_forwarded_changes_count_as_contact_with_the_store(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # The store rejects one host and serves the others. That host would assume to be cut
    # off, and doubt its servers, although the leader forwards all changes to it.
    error = PeerUnavailableError("turned away", step="watch", peer="store")
    store.watches[-1][1].errback(error)
    advance(clock, 0.05)
    assert mirror.silent_s() > 0
    mirror.apply_forwarded(events(11, item("b", 11)), after_revision=10)
    assert mirror.silent_s() == 0
    assert revisions(mirror) == {"a": 3, "b": 11}


def test_forwarded_changes_are_not_applied_before_the_first_read(clock: Clock) -> None:
    # Changes that are forwarded before a host has read the store follow changes that it
    # does not have.
    store = WatchedStore(page=Page(items=(item("a", 3),), revision=10), is_down=True)
    mirror = mirror_of(store, clock)
    mirror.receives_changes = lambda: True
    mirror.start()
    mirror.apply_forwarded(events(12, item("b", 12)), after_revision=11)
    assert revisions(mirror) == {}
    store.is_down = False
    advance(clock, 1)
    assert store.watches[-1][0] == 10, "the changes in between are fetched"


def test_error_in_a_listener_affects_only_its_key(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against callers that are sent to servers which have left, until a restart.

    An unexpected value makes a listener raise an error. This ended the copy of the
    store, so the host received no later change of any key.
    """
    received: list[str] = []

    def listener(key: str, found: Item | None) -> None:
        if key == "odd":
            raise OverflowError("cannot convert float infinity to integer")
        received.append(key)

    mirror.add_listener(listener)
    store.answer_watch(events(13, item("b", 11), item("odd", 12), item("c", 13)))
    advance(clock, 1)
    store.answer_watch(events(14, item("d", 14)))
    mirror.apply_forwarded(
        events(16, item("odd", 15), item("e", 16)), after_revision=14
    )
    assert received == ["b", "c", "d", "e"]
    assert revisions(mirror)["odd"] == 15


def test_error_of_a_listener_is_not_attributed_to_the_store(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against a host that drops part of an answer and reports a lost store.

    A listener rejects a value with an error of the same base class as the store's
    errors. The next watch begins after the whole answer, so the rest would never be
    processed.
    """
    received: list[str] = []

    def listener(key: str, found: Item | None) -> None:
        if key == "odd":
            raise InputError("odd", step="read", peer=key)
        received.append(key)

    mirror.add_listener(listener)
    store.answer_watch(events(12, item("odd", 11), item("c", 12)))
    assert received == ["c"]
    assert mirror.silent_s() == 0


def test_unexpected_value_does_not_stop_the_first_read(clock: Clock) -> None:
    """Guards against a restarted host that has no items and answers 503.

    The store contains an unexpected value, at which each full read stopped.
    """
    store = WatchedStore(
        page=Page(items=(item("a", 3), item("odd", 4), item("z", 5)), revision=10)
    )
    mirror = mirror_of(store, clock)
    received: list[str] = []

    def listener(key: str, found: Item | None) -> None:
        if key == "odd":
            raise KeyError(key)
        received.append(key)

    mirror.add_listener(listener)
    mirror.start()
    advance(clock, 1)
    assert received == ["a", "z"]
    assert mirror.is_current
    assert [after for after, _ in store.watches] == [10]


def test_unexpected_error_in_an_answer_is_retried(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """An answer of the store causes an error of an unexpected type.

    The copy ended with that error, and the host used its old items until it was
    restarted.
    """
    store.watches[-1][1].errback(ValueError("expected base64"))
    advance(clock, 1)
    assert [after for after, _ in store.watches] == [10, 10]
    store.answer_watch(events(12, item("b", 12)))
    assert revisions(mirror) == {"a": 3, "b": 12}


def test_error_in_forwarding_does_not_end_the_copy(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """The leader must receive later changes although it fails to forward one."""

    def forward(after_revision: int, answer: Events) -> None:
        raise OverflowError("can't serialize")

    mirror.on_events = forward
    store.answer_watch(events(12, item("b", 12)))
    advance(clock, 1)
    assert [after for after, _ in store.watches] == [10, 12]


def test_stopped_mirror_sends_no_requests(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    mirror.stop()
    advance(clock, 5)
    assert len(store.watches) == 1


def test_watch_that_lacks_a_forwarded_change_is_reissued(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against a host that sends to a server up to 20 s after it left.

    The host was cut off and the answer to its watch was lost. Connected again, it
    receives a change that follows one which it lacks, and would wait for the lost watch
    to time out before it fetches the missing change.
    """
    mirror.receives_changes = lambda: True
    mirror.apply_forwarded(events(14, item("b", 14)), after_revision=13)
    advance(clock, 0.4)
    mirror.apply_forwarded(events(15, item("c", 15)), after_revision=14)
    advance(clock, REISSUE_AFTER_S)
    assert [after for after, _ in store.watches] == [10, 10]
    store.answer_watch(events(15, item("a", 12), item("b", 14), item("c", 15)))
    assert revisions(mirror) == {"a": 12, "b": 14, "c": 15}
    assert mirror.silent_s() == 0


def test_reissued_watch_is_not_cancelled(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against a host on a slow link that cancels each large answer.

    A forwarded change every 0.4 s shows each time that something is missing.
    """
    mirror.receives_changes = lambda: True
    for _ in range(20):
        mirror.apply_forwarded(events(14, item("b", 14)), after_revision=13)
        advance(clock, 0.4)
    assert len(store.watches) == 2
    wait_s = default_pace(1).wait_s
    assert store.waits_s == [wait_s, min(wait_s, REISSUE_AFTER_S)], (
        "the reissued watch ends by itself"
    )


def test_watch_that_returns_the_forwarded_change_is_not_reissued(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # Forwarded changes often arrive before the answer to the host's own watch.
    mirror.receives_changes = lambda: True
    mirror.apply_forwarded(events(14, item("b", 14)), after_revision=13)
    advance(clock, REISSUE_AFTER_S / 2)
    store.answer_watch(events(14, item("a", 12), item("b", 14)))
    advance(clock, 2 * REISSUE_AFTER_S)
    assert len(store.watches) == 1
    assert revisions(mirror) == {"a": 12, "b": 14}


def test_mirror_measures_for_how_long_it_is_behind(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    assert mirror.behind_s() == 0
    mirror.apply_forwarded(events(14, item("b", 14)), after_revision=13)
    advance(clock, 0.5)
    mirror.apply_forwarded(events(15, item("c", 15)), after_revision=14)
    advance(clock, 0.5)
    assert mirror.behind_s() == pytest.approx(1.0)
    mirror.apply_forwarded(events(15, item("b", 14), item("c", 15)), after_revision=10)
    assert mirror.behind_s() == 0


def test_mirror_returns_the_changes_after_a_revision(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    store.answer_watch(events(12, item("b", 11), Removal(key="a", revision=12)))
    advance(clock, 1)
    store.answer_watch(events(14, item("c", 13), item("b", 14)))
    assert mirror.changes_after(10) == events(
        14, Removal(key="a", revision=12), item("c", 13), item("b", 14)
    )
    assert mirror.changes_after(12) == events(14, item("c", 13), item("b", 14))


def test_mirror_returns_no_changes_from_before_its_first_revision(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against a host that goes on sending to a server that was removed.

    The forwarding host has read all items after the removal, and has no record of it.
    """
    assert mirror.changes_after(9) is None
    for number in range(MAX_REMOVALS + 1):
        revision = 11 + 2 * number
        added = item("b", revision)
        mirror.apply_forwarded(
            events(revision + 1, added, Removal(key="b", revision=revision + 1)),
            after_revision=revision - 1,
        )
    assert mirror.changes_after(11) is None
    known = mirror.changes_after(12)
    assert known is not None
    assert len(known.changes) == MAX_REMOVALS


def test_missed_changes_are_logged_once_the_store_is_back(
    store: WatchedStore,
    mirror: Mirror,
    clock: Clock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The log has to distinguish a late notification from a slow read."""
    lines: list[tuple[str, object]] = []
    monkeypatch.setattr(log, "info", lambda line, extra: lines.append((line, extra)))
    store.watches[-1][1].errback(PeerUnavailableError("x", step="watch", peer="store"))
    advance(clock, 1)
    store.answer_watch(events(13, item("b", 12, b"123"), item("b", 13, b"4")))
    assert lines[-1] == (
        "caught up with the store",
        {
            "revision": 13,
            "took_s": pytest.approx(clock.seconds(), abs=1.0),
            "changes": 2,
            "superseded": 1,
            "value_bytes": 4,
        },
    )


def test_copy_is_complete_up_to_the_request_of_an_answer_with_changes(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against a copy that counts as recent because its answer was late."""
    begin_s = clock.seconds()
    clock.advance(0.5)
    store.answer_watch(events(11, item("b", 11)))
    assert mirror.last_contact_s == begin_s + 0.5
    assert mirror.complete_until_s == begin_s


def test_copy_is_complete_up_to_the_wait_of_an_answer_without_changes(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    begin_s = clock.seconds()
    clock.advance(store.waits_s[-1] + 0.4)
    store.answer_watch(events(10))
    assert mirror.complete_until_s == begin_s + store.waits_s[0]


def test_forwarded_changes_complete_no_copy(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against a leader that states what it has heard from the one before."""
    begin_s = clock.seconds()
    clock.advance(0.5)
    mirror.apply_forwarded(events(11, item("b", 11)), after_revision=10)
    assert mirror.complete_until_s == begin_s


def test_forwarding_host_waits_less_after_a_late_answer(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Guards against hosts that all watch because the leader's copy gets too old."""
    mirror.forwards_changes = lambda: True
    clock.advance(0.8 + 0.4)
    store.answer_watch(events(10))
    answered_s = clock.seconds()
    assert store.waits_s == [0.8, pytest.approx(MAX_FORWARDED_AGE_S - 2 * 0.4)]
    next_age_s = answered_s + store.waits_s[-1] + 0.4 - mirror.complete_until_s
    assert next_age_s <= MAX_FORWARDED_AGE_S + 1e-9
