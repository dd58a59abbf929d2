"""Tests for rights, witnesses and announcements at the level of single messages."""

from collections.abc import Sequence

import msgspec
import pytest

from gentianwharf.ownership._announce import Announcement
from gentianwharf.ownership._messages import (
    MOST_MESSAGE_BYTES,
    Acknowledge,
    Item,
    RightAnswer,
    batches,
    encode,
)
from gentianwharf.ownership._rights import Rights, Witness
from gentianwharf.ownership._table import Entry, first_chunk, pack_chunk
from gentianwharf.ownership._tables import Tables, WitnessList
from gentianwharf.ownership._timing import RIGHT_USE_S, RIGHT_WAIT_S

LAC = WitnessList(hosts=("w1", "w2", "w3"))
KEY = "table/ledger/0"


def item(revision: int, owner: str = "a") -> Item:
    value = pack_chunk(first_chunk("ledger", 0, {0: owner}))
    return Item(KEY, revision, value)


class FakeWitness:
    """A witness with its tables."""

    def __init__(self, name: str, *, revision: int, has_memory: bool = True) -> None:
        self.name = name
        self.incarnation = 1
        self.restart(has_memory=has_memory)
        self.tables.install(item(revision))

    def restart(self, *, has_memory: bool) -> None:
        """Restart without any tables."""
        self.incarnation += 1
        self.tables = Tables(shards={"ledger": 1})
        self.witness = Witness(
            host=self.name, domain="lac", incarnation=self.incarnation
        )
        self.witness.note_list(LAC)
        if has_memory:
            self.witness.store_read()

    def recover(self, witnesses: Sequence["FakeWitness"]) -> None:
        """Receive the values of other witnesses."""
        for witness in witnesses:
            for value in witness.tables.newer_than({}):
                self.tables.install(value)
            self.witness.recovered_from(witness.name, LAC)

    def confirms(self, revision: int) -> bool:
        """Whether this witness confirms ``revision``."""
        ask = Rights().ask(
            domain="lac", witnesses=LAC, versions={KEY: revision}, now_s=0
        )
        return self.witness.answer(ask, self.tables).good_s > 0

    def acknowledge(
        self, announcement: Announcement, number: int, now_s: float
    ) -> None:
        """Answer an announcement."""
        answer = Acknowledge(
            domain="lac",
            round=number,
            incarnation=self.incarnation,
            witness_revision=1,
        )
        announcement.record_acknowledgement(self.name, answer, now_s)


def right_until_s(answers: Sequence[str], listed: WitnessList = LAC) -> float:
    rights = Rights()
    ask = rights.ask(domain="lac", witnesses=listed, versions={KEY: 1}, now_s=10.0)
    for host in answers:
        rights.hear(
            host, RightAnswer(domain="lac", round=ask.round, good_s=RIGHT_USE_S)
        )
    return rights.until_s("lac")


@pytest.mark.parametrize(
    ("answers", "has_right"),
    [
        pytest.param(["w1"], False, id="one-of-three"),
        pytest.param(["w1", "w1"], False, id="the-same-twice"),
        pytest.param(["w1", "stranger"], False, id="not-a-witness"),
        pytest.param(["w1", "w3"], True, id="two-of-three"),
    ],
)
def test_right_needs_a_majority(answers: list[str], has_right: bool) -> None:
    assert (right_until_s(answers) > 0) is has_right


def test_right_counts_from_before_the_request() -> None:
    """A host sends a request, is paused for a second, and then reads the answers.

    If its right counted from the answer, it would last longer than the witnesses allow.
    """
    asked_s = 10.0
    assert right_until_s(["w1", "w2"]) == asked_s + RIGHT_USE_S


@pytest.mark.parametrize(
    ("answers", "has_right"),
    [
        pytest.param(["w1", "w2"], False, id="old-majority-only"),
        pytest.param(["w3", "w4"], False, id="new-majority-only"),
        pytest.param(["w2", "w3", "w4"], True, id="both"),
    ],
)
def test_changing_witness_list_needs_both_majorities(
    answers: list[str], has_right: bool
) -> None:
    change = WitnessList(hosts=("w3", "w4", "w5"), leaving=LAC.hosts)
    assert (right_until_s(answers, change) > 0) is has_right


def test_witness_that_restarted_confirms_nothing_before_it_has_a_memory() -> None:
    """Two of three witnesses acknowledge a move's version; one of them restarts.

    If it confirmed at once, it and the witness that never received the version would
    let hosts send to the old owner after the move.
    """
    w1, w2, w3 = (FakeWitness(name, revision=1) for name in ("w1", "w2", "w3"))
    w1.tables.install(item(2))
    w2.tables.install(item(2))
    w1.restart(has_memory=False)
    w1.tables.install(item(1))
    assert not w1.confirms(1)
    w1.recover([w3])
    assert not w1.confirms(1)
    w1.recover([w2, w3])
    assert not w1.confirms(1)
    assert w1.confirms(2)


def settle_without_instant(announcement: Announcement) -> None:
    """Count acknowledgements without checking that they hold at one instant."""
    if announcement.witnesses.is_majority(announcement._heard):
        announcement.complete_since_s = 0.0


@pytest.mark.parametrize(
    "guarded", [pytest.param(True, id="guard"), pytest.param(False, id="no-guard")]
)
def test_acknowledgement_of_a_witness_that_lost_its_memory_does_not_count(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A witness acknowledges, restarts, and recovers from two with the old version.

    Then a second witness acknowledges. One majority has acknowledged, yet another
    one confirms rights to the old version, which leads to two owners.
    """
    w1, w2, w3 = (FakeWitness(name, revision=1) for name in ("w1", "w2", "w3"))
    if not guarded:
        monkeypatch.setattr(Announcement, "_settle", settle_without_instant)
    announcement = Announcement(domain="lac", witnesses=LAC, witness_revision=1)
    announcement.record_round(1, 0.0)
    w1.tables.install(item(2))
    w1.acknowledge(announcement, 1, 0.1)
    w1.restart(has_memory=False)
    w1.recover([w2, w3])
    w2.tables.install(item(2))
    w2.acknowledge(announcement, 1, 0.2)
    assert w1.confirms(1)
    assert w3.confirms(1)
    assert (announcement.complete_since_s is None) is guarded


def test_announcement_stands_after_a_second_round_and_lapses_after_the_wait() -> None:
    announcement = Announcement(domain="lac", witnesses=LAC, witness_revision=1)
    witnesses = [FakeWitness(name, revision=2) for name in ("w1", "w2")]
    for number, now_s in ((1, 0.0), (2, 0.2)):
        announcement.record_round(number, now_s)
        for witness in witnesses:
            witness.acknowledge(announcement, number, now_s + 0.1)
    assert announcement.complete_since_s == 0.1
    assert not announcement.older_rights_expired(0.1 + RIGHT_USE_S)
    assert announcement.older_rights_expired(0.1 + RIGHT_WAIT_S)


def test_announcement_to_an_outdated_witness_list_is_abandoned() -> None:
    announcement = Announcement(domain="lac", witnesses=LAC, witness_revision=1)
    announcement.record_round(1, 0.0)
    answer = Acknowledge(domain="lac", round=1, incarnation=1, witness_revision=2)
    announcement.record_acknowledgement("w1", answer, 0.1)
    assert announcement.outdated


def test_newly_listed_witness_discards_its_memory_as_a_host() -> None:
    witness = Witness(host="w4", domain="lac", incarnation=1)
    witness.store_read()
    witness.note_list(WitnessList(hosts=("w4", "w2", "w3")))
    assert not witness.has_memory


def test_older_version_is_never_installed() -> None:
    """A peer that was cut off for an hour sends its old table."""
    tables = Tables(shards={"ledger": 1})
    assert tables.install(item(5, "b"))
    assert not tables.install(item(4, "a"))
    entry = tables.entry("ledger", 0)
    assert entry is not None and entry.target == "b"


def test_witness_list_round_trips_through_encoding() -> None:
    change = WitnessList(hosts=("w3",), leaving=("w1", "w2"))
    packed = msgspec.msgpack.encode(change)
    assert msgspec.msgpack.decode(packed, type=WitnessList) == change


def test_first_entry_has_no_holder() -> None:
    entry = first_chunk("ledger", 0, {0: "a"}).entries[0]
    assert entry.holders == ()
    assert entry.confirm() == Entry(owner="a", token=1)


def ask_once(rights: Rights, now_s: float) -> int:
    ask = rights.ask(domain="lac", witnesses=LAC, versions={KEY: 1}, now_s=now_s)
    return ask.round


@pytest.mark.parametrize(
    "guarded", [pytest.param(True, id="guard"), pytest.param(False, id="no-guard")]
)
def test_answer_from_before_a_restart_gives_no_right(guarded: bool) -> None:
    """A host asks, restarts and asks again, and then gets the first answers.

    The witnesses confirmed a second ago and may have acknowledged a move since.
    """
    seeds = [5, 9] if guarded else [0, 0]
    first = ask_once(Rights(first_round=seeds[0]), 10.0)
    rights = Rights(first_round=seeds[1])
    ask_once(rights, 11.0)
    for host in LAC.hosts:
        rights.hear(host, RightAnswer(domain="lac", round=first, good_s=RIGHT_USE_S))
    assert (rights.until_s("lac") < 11.0) is guarded


def test_shared_right_ends_no_later_than_the_one_it_is_a_part_of() -> None:
    """A host shares its remaining right; the receiver counts from its own request."""
    sharer, receiver = Rights(), Rights(first_round=100)
    number = ask_once(sharer, 10.0)
    for host in LAC.hosts:
        sharer.hear(host, RightAnswer(domain="lac", round=number, good_s=RIGHT_USE_S))
    ask = receiver.ask_share(versions={KEY: 1}, now_s=10.2)
    receiver.hear_share(sharer.share(ask, 10.25))
    assert receiver.until_s("lac") == pytest.approx(10.35)
    assert receiver.asked_s("lac") <= 10.0


def test_values_are_split_into_messages_within_the_size_limit() -> None:
    """After a restart, all tables together exceed the maximum message size."""
    items = [Item(f"table/ledger/{n}", n, b"x" * 200_000) for n in range(1, 8)]
    parts = list(batches(items))
    assert [value for part in parts for value in part.items] == items
    assert max(len(encode(part)) for part in parts) < MOST_MESSAGE_BYTES
