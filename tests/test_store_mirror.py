"""What a host knows of the store, by its own watch and by another host's."""

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


def test_the_next_watch_goes_on_after_what_was_brought(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    store.answer_watch(events(12, item("b", 12)))
    advance(clock, 1)
    assert [after for after, _ in store.watches] == [10, 12]
    assert revisions(mirror) == {"a": 3, "b": 12}


def test_an_item_is_gone_once_it_was_removed(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    heard: list[tuple[str, Item | None]] = []
    mirror.add_listener(lambda key, found: heard.append((key, found)))
    store.answer_watch(events(12, Removal(key="a", revision=12)))
    assert revisions(mirror) == {}
    assert heard == [("a", None)]


def test_a_gone_history_is_read_again(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    store.page = Page(items=(item("c", 40),), revision=40)
    store.watches[-1][1].errback(HistoryGoneError("gone", step="watch", peer="store"))
    assert revisions(mirror) == {"c": 40}
    assert store.watches[-1][0] == 40


def test_a_fed_host_does_not_watch(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # Twelve hosts that each watched everything paid twelve calls for each change: of
    # some 700 paid calls of a calm day, five in six were these.
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


def test_a_host_watches_again_when_it_is_fed_no_more(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # The host that tells the others is lost. What changes after that would never be
    # heard of by those that rely on it.
    mirror.receives_changes = lambda: True
    store.answer_watch(events(11))
    mirror.apply_forwarded(events(12, item("b", 12)), after_revision=11)
    advance(clock, 0.5)
    mirror.receives_changes = lambda: False
    advance(clock, 0.5)
    assert [after for after, _ in store.watches] == [10, 12]


def test_what_was_not_told_is_fetched(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # A message between hosts is lost. The next one tells of later changes only; taken
    # alone it would hide the lost ones for ever.
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
    assert len(store.watches) == 2, "it is fed again, and misses nothing"


def test_a_removed_item_does_not_come_back_by_an_older_watch(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # A watch from before is still on its way when another host tells that an item was
    # written and removed. The watch's answer brings the writing alone, once more.
    mirror.apply_forwarded(
        events(12, item("b", 11), Removal(key="b", revision=12)), after_revision=10
    )
    store.answer_watch(events(11, item("b", 11)))
    assert revisions(mirror) == {"a": 3}
    assert mirror.revision == 12


def test_what_is_told_counts_as_heard_from_the_store(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # The store turns one host away and serves the others. It would take itself for cut
    # off and doubt its servers although the leader tells it everything.
    error = PeerUnavailableError("turned away", step="watch", peer="store")
    store.watches[-1][1].errback(error)
    advance(clock, 0.05)
    assert mirror.silent_s() > 0
    mirror.apply_forwarded(events(11, item("b", 11)), after_revision=10)
    assert mirror.silent_s() == 0
    assert revisions(mirror) == {"a": 3, "b": 11}


def test_a_host_that_reads_anew_is_not_fed_meanwhile(clock: Clock) -> None:
    # What is told before a host has read the store is told after changes that it does
    # not know of.
    store = WatchedStore(page=Page(items=(item("a", 3),), revision=10), is_down=True)
    mirror = mirror_of(store, clock)
    mirror.receives_changes = lambda: True
    mirror.start()
    mirror.apply_forwarded(events(12, item("b", 12)), after_revision=11)
    assert revisions(mirror) == {}
    store.is_down = False
    advance(clock, 1)
    assert store.watches[-1][0] == 10, "it fetches what lies between"


def test_value_that_its_reader_can_t_bear_costs_its_key_alone(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """Callers are sent to servers that have left, on every host, until a restart.

    One odd value of any key makes its reader raise. That ends the copy of the store,
    and of all that is written after it no host learns.
    """
    heard: list[str] = []

    def read(key: str, found: Item | None) -> None:
        if key == "odd":
            raise OverflowError("cannot convert float infinity to integer")
        heard.append(key)

    mirror.add_listener(read)
    store.answer_watch(events(13, item("b", 11), item("odd", 12), item("c", 13)))
    advance(clock, 1)
    store.answer_watch(events(14, item("d", 14)))
    mirror.apply_forwarded(
        events(16, item("odd", 15), item("e", 16)), after_revision=14
    )
    assert heard == ["b", "c", "d", "e"]
    assert revisions(mirror)["odd"] == 15


def test_own_error_of_a_reader_is_not_the_store_s(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """A host drops the rest of what a watch answer, and takes the store for lost.

    A reader refuses one value with an error of the same family as the store's own. The
    watch goes on after all that it answer, so that the rest is never looked at.
    """
    heard: list[str] = []

    def read(key: str, found: Item | None) -> None:
        if key == "odd":
            raise InputError("odd", step="read", peer=key)
        heard.append(key)

    mirror.add_listener(read)
    store.answer_watch(events(12, item("odd", 11), item("c", 12)))
    assert heard == ["c"]
    assert mirror.silent_s() == 0


def test_host_that_starts_beside_an_odd_value_reads_all_others(clock: Clock) -> None:
    """A host that is started again knows nothing at all, and answers 503.

    An odd value stands in the store; reading everything stops at it each time.
    """
    store = WatchedStore(
        page=Page(items=(item("a", 3), item("odd", 4), item("z", 5)), revision=10)
    )
    mirror = mirror_of(store, clock)
    heard: list[str] = []

    def read(key: str, found: Item | None) -> None:
        if key == "odd":
            raise KeyError(key)
        heard.append(key)

    mirror.add_listener(read)
    mirror.start()
    advance(clock, 1)
    assert heard == ["a", "z"]
    assert mirror.is_current
    assert [after for after, _ in store.watches] == [10]


def test_fault_in_reading_an_answer_is_tried_again(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """An answer of the store meets a fault of the host's own, of no expected kind.

    The copy ended with it, and the host kept to what it knew until its end.
    """
    store.watches[-1][1].errback(ValueError("expected base64"))
    advance(clock, 1)
    assert [after for after, _ in store.watches] == [10, 10]
    store.answer_watch(events(12, item("b", 12)))
    assert revisions(mirror) == {"a": 3, "b": 12}


def test_fault_in_telling_others_does_not_end_the_copy(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """The leader can't tell one change, and from then on hears no other one itself."""

    def tell(after_revision: int, answer: Events) -> None:
        raise OverflowError("can't serialize")

    mirror.on_events = tell
    store.answer_watch(events(12, item("b", 12)))
    advance(clock, 1)
    assert [after for after, _ in store.watches] == [10, 12]


def test_mirror_that_is_stopped_asks_no_more(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    mirror.stop()
    advance(clock, 5)
    assert len(store.watches) == 1


def test_watch_that_does_not_bring_what_was_told_is_asked_anew(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """A host sends to a server that left up to 20 s ago; all others know of it.

    The host was cut off, and its watch's answer is lost. Back again, it is told of
    what changes now, after a change that it never got: it has to fetch that one, and
    waits for the lost watch to run out instead.
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


def test_watch_that_was_asked_for_what_was_told_gets_its_time(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """A host on a slow link never gets a large value: it gives each answer up midway.

    News come every 0.4 s and tell each time that something is missing.
    """
    mirror.receives_changes = lambda: True
    for _ in range(20):
        mirror.apply_forwarded(events(14, item("b", 14)), after_revision=13)
        advance(clock, 0.4)
    assert len(store.watches) == 2
    wait_s = default_pace(1).wait_s
    assert store.waits_s == [wait_s, min(wait_s, REISSUE_AFTER_S)], (
        "it has to end by itself"
    )


def test_watch_that_brings_what_was_told_is_left_alone(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    # News often come ahead of the host's own watch.
    mirror.receives_changes = lambda: True
    mirror.apply_forwarded(events(14, item("b", 14)), after_revision=13)
    advance(clock, REISSUE_AFTER_S / 2)
    store.answer_watch(events(14, item("a", 12), item("b", 14)))
    advance(clock, 2 * REISSUE_AFTER_S)
    assert len(store.watches) == 1
    assert revisions(mirror) == {"a": 12, "b": 14}


def test_mirror_knows_for_how_long_it_lacks_what_it_was_told_of(
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


def test_mirror_tells_what_changed_after_a_revision(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    store.answer_watch(events(12, item("b", 11), Removal(key="a", revision=12)))
    advance(clock, 1)
    store.answer_watch(events(14, item("c", 13), item("b", 14)))
    assert mirror.changes_after(10) == events(
        14, Removal(key="a", revision=12), item("c", 13), item("b", 14)
    )
    assert mirror.changes_after(12) == events(14, item("c", 13), item("b", 14))


def test_mirror_does_not_tell_of_times_that_it_has_not_seen(
    store: WatchedStore, mirror: Mirror, clock: Clock
) -> None:
    """A host sends to a server that has left: nobody told it that its entry went.

    The one that tells it has read the store after that, and has no mark of what stood
    there before.
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


def test_what_a_host_missed_is_logged_once_the_store_is_back(
    store: WatchedStore,
    mirror: Mirror,
    clock: Clock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing tells a host that is told late from one that fetches for long."""
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
