"""Rights, witnesses and announcements, message by message."""

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


class Fellow:
    """A witness with its tables."""

    def __init__(self, name: str, *, revision: int, has_memory: bool = True) -> None:
        self.name = name
        self.incarnation = 1
        self.restart(has_memory=has_memory)
        self.tables.install(item(revision))

    def restart(self, *, has_memory: bool) -> None:
        """Forget everything."""
        self.incarnation += 1
        self.tables = Tables(shards={"ledger": 1})
        self.witness = Witness(
            host=self.name, domain="lac", incarnation=self.incarnation
        )
        self.witness.note_list(LAC)
        if has_memory:
            self.witness.store_read()

    def recover(self, fellows: Sequence["Fellow"]) -> None:
        """Hear the other witnesses."""
        for fellow in fellows:
            for one in fellow.tables.newer_than({}):
                self.tables.install(one)
            self.witness.recovered_from(fellow.name, LAC)

    def confirms(self, revision: int) -> bool:
        """Whether it gives its part of a right to ``revision``."""
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
        announcement.hear(self.name, answer, now_s)


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


def test_right_counts_from_before_the_question() -> None:
    """A host asks, is paused for a second, and then finds the answers waiting.

    Counted from the answer, its right would outlast what the witnesses meant.
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

    If it confirmed at once, it and the one that never heard would keep the old
    owner's hosts sending after the move.
    """
    w1, w2, w3 = (Fellow(name, revision=1) for name in ("w1", "w2", "w3"))
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
    """Count acknowledgements without asking whether they hold at one instant."""
    if announcement.witnesses.is_majority(announcement._heard):
        announcement.stands_since_s = 0.0


@pytest.mark.parametrize(
    "guarded", [pytest.param(True, id="guard"), pytest.param(False, id="no-guard")]
)
def test_acknowledgement_of_a_witness_that_forgot_does_not_count(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A witness acknowledges, restarts, and recovers from two that have not heard.

    Then a second one acknowledges. A majority has acknowledged, yet another one
    gives rights to the old version: two owners a moment later.
    """
    w1, w2, w3 = (Fellow(name, revision=1) for name in ("w1", "w2", "w3"))
    if not guarded:
        monkeypatch.setattr(Announcement, "_settle", settle_without_instant)
    announcement = Announcement(domain="lac", witnesses=LAC, witness_revision=1)
    announcement.ask(1, 0.0)
    w1.tables.install(item(2))
    w1.acknowledge(announcement, 1, 0.1)
    w1.restart(has_memory=False)
    w1.recover([w2, w3])
    w2.tables.install(item(2))
    w2.acknowledge(announcement, 1, 0.2)
    assert w1.confirms(1)
    assert w3.confirms(1)
    assert (announcement.stands_since_s is None) is guarded


def test_announcement_stands_after_a_second_round_and_lapses_after_the_wait() -> None:
    announcement = Announcement(domain="lac", witnesses=LAC, witness_revision=1)
    fellows = [Fellow(name, revision=2) for name in ("w1", "w2")]
    for number, now_s in ((1, 0.0), (2, 0.2)):
        announcement.ask(number, now_s)
        for fellow in fellows:
            fellow.acknowledge(announcement, number, now_s + 0.1)
    assert announcement.stands_since_s == 0.1
    assert not announcement.has_lapsed(0.1 + RIGHT_USE_S)
    assert announcement.has_lapsed(0.1 + RIGHT_WAIT_S)


def test_announcement_to_an_outdated_witness_list_is_given_up() -> None:
    announcement = Announcement(domain="lac", witnesses=LAC, witness_revision=1)
    announcement.ask(1, 0.0)
    answer = Acknowledge(domain="lac", round=1, incarnation=1, witness_revision=2)
    announcement.hear("w1", answer, 0.1)
    assert announcement.outdated


def test_witness_that_is_named_forgets_what_it_knew_as_a_host() -> None:
    witness = Witness(host="w4", domain="lac", incarnation=1)
    witness.store_read()
    witness.note_list(WitnessList(hosts=("w4", "w2", "w3")))
    assert not witness.has_memory


def test_older_version_never_comes_back() -> None:
    """A peer that was cut off for an hour passes on the table that it knew."""
    tables = Tables(shards={"ledger": 1})
    assert tables.install(item(5, "b"))
    assert not tables.install(item(4, "a"))
    entry = tables.entry("ledger", 0)
    assert entry is not None and entry.target == "b"


def test_witness_list_survives_its_packing() -> None:
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
def test_answer_to_an_earlier_life_gives_no_right(guarded: bool) -> None:
    """A host asks, restarts, and asks again; the first answers come only then.

    The witnesses confirmed a second ago and may have heard of a move since.
    """
    seeds = [5, 9] if guarded else [0, 0]
    first = ask_once(Rights(first_round=seeds[0]), 10.0)
    rights = Rights(first_round=seeds[1])
    ask_once(rights, 11.0)
    for host in LAC.hosts:
        rights.hear(host, RightAnswer(domain="lac", round=first, good_s=RIGHT_USE_S))
    assert (rights.until_s("lac") < 11.0) is guarded


def test_shared_right_ends_no_later_than_the_one_it_is_a_part_of() -> None:
    """A host passes on what is left; the receiver counts from its own question."""
    giver, taker = Rights(), Rights(first_round=100)
    number = ask_once(giver, 10.0)
    for host in LAC.hosts:
        giver.hear(host, RightAnswer(domain="lac", round=number, good_s=RIGHT_USE_S))
    ask = taker.ask_share(versions={KEY: 1}, now_s=10.2)
    taker.hear_share(giver.share(ask, 10.25))
    assert taker.until_s("lac") == pytest.approx(10.35)
    assert taker.asked_s("lac") <= 10.0


def test_values_are_parted_into_messages_that_the_links_carry() -> None:
    """A host restarts; all tables together are larger than one message may be."""
    items = [Item(f"table/ledger/{n}", n, b"x" * 200_000) for n in range(1, 8)]
    parts = list(batches(items))
    assert [one for part in parts for one in part.items] == items
    assert max(len(encode(part)) for part in parts) < MOST_MESSAGE_BYTES
