"""A new leader asks the one before what its grants hold."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost import _former_leader
from gentianwharf.entryhost._former_leader import FormerLeader
from gentianwharf.entryhost._messages import AskedHolds, LeaderItem, ToldHolds
from gentianwharf.keyspace import (
    GrantManager,
    Holder,
    KeyTable,
    Leadership,
    PreviousLeader,
    Span,
)
from gentianwharf.keyspace._grant_manager import GRANT_TIMEOUT_S
from gentianwharf.keyspace._leadership import Term
from gentianwharf.keyspace._timing import CLOCK_DRIFT, MARGIN_S
from tests.builders_keyspace import SERVICE, TIMING, run_manager
from tests.builders_keyspace_hosts import SimpleStore
from tests.builders_lives import Addresses, OrderSender
from tests.builders_store import LinkNet

SHARD = 5
Look = Callable[[], None]


@dataclass
class Leader:
    """One host's keeper and its part as a former or a new leader."""

    name: LeaderItem
    keeper: GrantManager
    leadership: Leadership
    former: FormerLeader

    def word(self, *, is_settled: bool = True) -> PreviousLeader:
        """Return what it has left in the store."""
        value = msgspec.json.encode(self.name)
        return PreviousLeader(
            value=value, earlier_grants_expired=is_settled, held_s=None
        )


class Place:
    """Hosts on one net, and two servers; the first one is lost."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock()
        self.clock.advance(100)
        self.net = LinkNet()
        self.net.most_bytes = 10_000
        monkeypatch.setattr(_former_leader, "dial", self.net.dial)
        self.addresses = Addresses(self.clock)
        self.lost = self.addresses.start("a", "10.0.0.1:80")
        self.other = self.addresses.start("b", "10.0.0.2:80")

    def host(self, number: int, *, process: int = 1) -> Leader:
        """Return a host that has just started."""
        clock = self.clock
        name = LeaderItem(f"h{number}", f"10.1.0.{number}:90", process)
        leadership = Leadership(
            store=SimpleStore(clock),
            key="leader",
            previous_leader_key="former",
            value=msgspec.json.encode(name),
            now_s=clock.seconds,
            rng=Random(number),
        )
        keeper = GrantManager(
            orders=OrderSender(self.addresses), timing=TIMING, now_s=clock.seconds
        )
        former = FormerLeader(
            name=name,
            keeper=keeper,
            leadership=leadership,
            timing=TIMING,
            reactor=clock,
        )
        leader = Leader(name, keeper, leadership, former)

        def received(data: bytes) -> None:
            message: Any = msgspec.msgpack.decode(data, type=AskedHolds | ToldHolds)
            if isinstance(message, AskedHolds):
                leader.former.note_asked(message)
            else:
                leader.former.note_told(message)

        self.net.listeners[name.address] = received
        return leader

    def lead(self, host: Leader, *, revision: int) -> None:
        """Let a host begin to lead by the table in which the lost server has all."""
        host.leadership.term = Term(lease_id=1, revision=revision)
        host.keeper.take_over(self.clock.seconds())
        host.keeper.follow(self._table(self.lost, 1))

    def move(self, host: Leader) -> None:
        """Let a leader give the lost server's shards to the other one."""
        host.keeper.follow(self._table(self.other, 2, former=(self.lost,)))

    def served_after_s(self, host: Leader, *others: Leader) -> float:
        """Return how long it takes until the shards are served, by one server only."""
        begun_s = self.clock.seconds()
        while self.addresses.holders(SHARD) != [self.other]:
            assert self.clock.seconds() < begun_s + 30
            host.keeper.note_store_contact(self.clock.seconds())
            for one in (host, *others):
                one.former.tick()
                one.keeper.tick()
            self.clock.advance(0.05)
            assert len(self.addresses.holders(SHARD)) <= 1
        return self.clock.seconds() - begun_s

    def _table(
        self, holder: Holder, token: int, *, former: tuple[Holder, ...] = ()
    ) -> KeyTable:
        span = Span(first=0, last=9, holder=holder, token=token, former_holders=former)
        return KeyTable(service=SERVICE, highest_token=token, spans=(span,))


@pytest.fixture
def place(monkeypatch: pytest.MonkeyPatch) -> Place:
    return Place(monkeypatch)


def led_until_replaced(place: Place) -> tuple[Leader, Leader]:
    """Return a leader that hears the store no more, and the next one."""
    former, leader = place.host(1), place.host(2)
    place.lead(former, revision=5)
    run_manager(former.keeper, place.clock, 20.0)
    place.addresses.running[place.lost.address].is_silent = True
    return former, leader


def test_word_of_the_former_leader_spares_the_wait_for_the_worst(place: Place) -> None:
    """A quarter of a minute without an owner, after each change of the leader.

    A server is lost, and so is the lead. The next leader does not know when the server
    was granted its keys last; the former one does, and is well.
    """
    former, leader = led_until_replaced(place)
    place.lead(leader, revision=9)
    leader.former.ask(former.word())
    place.move(leader)
    # The new leader's own try to renew may have arrived until it was given up.
    longest_s = GRANT_TIMEOUT_S + TIMING.grant_s * CLOCK_DRIFT + MARGIN_S
    assert place.served_after_s(leader, former) <= longest_s + TIMING.retry_every_s
    assert former.leadership.term is None


def test_process_that_has_ended_gives_nothing_any_more(place: Place) -> None:
    """All hosts are started again, and keys wait for a leader that is no more.

    It may have granted for as long as servers take, up to its end.
    """
    former, leader = led_until_replaced(place)
    former.keeper.stop()
    restarted = place.host(1, process=2)
    place.clock.advance(4.0)
    place.lead(leader, revision=9)
    leader.former.ask(former.word())
    place.move(leader)
    longest_s = TIMING.longest_grant_s * CLOCK_DRIFT + MARGIN_S - 4.0
    waited_s = place.served_after_s(leader, restarted)
    assert waited_s <= longest_s + TIMING.retry_every_s + 0.1


@pytest.mark.parametrize(
    "reached", [False, True], ids=["cut-off", "ended-before-it-was-settled"]
)
def test_without_a_word_the_worst_is_waited_for(place: Place, reached: bool) -> None:
    """Two servers run one key: the leader before the last one was forgotten."""
    former, leader = led_until_replaced(place)
    former.keeper.stop()
    restarted = place.host(1, process=2)
    if not reached:
        place.net.cut.add(former.name.address)
    place.lead(leader, revision=9)
    leader.former.ask(former.word(is_settled=not reached))
    place.move(leader)
    longest_s = TIMING.renew_without_store_s + TIMING.longest_grant_s
    assert place.served_after_s(leader, restarted) > longest_s


def test_late_question_of_an_earlier_leader_ends_nobody_s_lead(place: Place) -> None:
    former, leader = led_until_replaced(place)
    place.lead(former, revision=12)
    place.lead(leader, revision=9)
    leader.former.ask(former.word())
    assert former.leadership.leads
    run_manager(former.keeper, place.clock, 0.1)
    assert leader.keeper.holders.held_s() > TIMING.longest_grant_s


def test_answer_of_another_process_than_was_asked_counts_for_nothing(
    place: Place,
) -> None:
    former, leader = led_until_replaced(place)
    place.lead(leader, revision=9)
    place.net.cut.add(former.name.address)
    leader.former.ask(former.word())
    leader.former.note_told(ToldHolds(7, 9, None))
    assert leader.keeper.holders.held_s() > TIMING.longest_grant_s


def test_late_answer_to_an_earlier_question_counts_for_nothing(place: Place) -> None:
    """Two servers run one key: an answer had waited on a link that was cut.

    Since then the former leader has led again and granted for longer, and was replaced
    once more by the same host.
    """
    former, leader = led_until_replaced(place)
    place.lead(leader, revision=15)
    place.net.cut.add(former.name.address)
    leader.former.ask(former.word())
    leader.former.note_told(ToldHolds(former.name.process, 9, None))
    assert leader.keeper.holders.held_s() > TIMING.longest_grant_s
