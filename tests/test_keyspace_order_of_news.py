"""Who has ended is told by servers and by time, never by the order of news."""

from dataclasses import dataclass

import pytest
from twisted.internet.task import Clock

from gentianwharf.keyspace import GrantManager, Holder, KeyTable, Span
from tests.builders_keyspace import SERVICE, TIMING, run_manager
from tests.builders_lives import Addresses, Way

X, Y, Z = "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"
SHARD = 5


@dataclass(frozen=True)
class Case:
    """``former`` lived at X before ``living``; hosts list ``listed`` in this order."""

    former: Holder
    living: Holder
    listed: tuple[str, ...]


def _case(
    *listed: str, former_born_ms: int = 0, born_ms: int = 0, living_id: str = "b"
) -> Case:
    return Case(
        former=Holder(server_id="a", born_ms=former_born_ms, address=X),
        living=Holder(server_id=living_id, born_ms=born_ms, address=X),
        listed=listed,
    )


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(_case("living", "former"), id="older-entry-later"),
        pytest.param(_case("former", "living"), id="older-entry-first"),
        pytest.param(_case("former"), id="older-entry-alone"),
        pytest.param(_case("living"), id="newer-entry-alone"),
        pytest.param(_case(), id="none-listed"),
        pytest.param(
            _case("living", "former", former_born_ms=10, born_ms=20),
            id="older-entry-later-both-births-known",
        ),
        pytest.param(
            _case("living", "former", former_born_ms=10), id="newer-birth-unknown"
        ),
        pytest.param(_case("living", "former", born_ms=20), id="older-birth-unknown"),
        pytest.param(
            _case("former", former_born_ms=10, born_ms=20, living_id="a"),
            id="older-life-of-the-same-id",
        ),
        pytest.param(
            _case("former", born_ms=20, living_id="a"),
            id="older-life-of-the-same-id-birth-unknown",
        ),
    ],
)
def test_living_server_is_not_taken_for_ended_by_an_old_entry(case: Case) -> None:
    """Two servers run bookings of one key for seconds.

    A server ended and another got its address. Then the ended one's entry appears once
    more: it was written late, or told late. The manager took the living one for ended,
    neither told it to release its keys nor waited, and granted them to a third.
    """
    clock = Clock()
    addresses = Addresses(clock)
    addresses.start(case.living.server_id, X, born_ms=case.living.born_ms)
    other = addresses.start("c", Y)
    manager = GrantManager(orders=Way(addresses), timing=TIMING, now_s=clock.seconds)
    manager.take_over(clock.seconds())
    manager.note_listed([case.living, other])
    manager.follow(_table(case.living, 1))
    run_manager(manager, clock, 20.0)
    assert addresses.holders(SHARD) == [case.living]
    # Told to release, it would answer late; its grant lasts for as long.
    addresses.living[X].is_silent = True
    news = {"living": case.living, "former": case.former}
    manager.note_listed([*(news[one] for one in case.listed), other])
    manager.follow(_table(other, 2, former=(case.living,)))
    run_manager(manager, clock, 5.0, look=lambda: _assert_one(addresses))
    assert addresses.holders(SHARD) == [other]


def test_next_life_that_got_the_former_ones_renewal_is_asked_to_release() -> None:
    """A booking runs twice after a server was born again under its id.

    Its renewal reached the new life, which knows nothing of tokens and took it. Then
    the list told of the new life, the former one was taken for ended, and its keys
    went to another server at once.
    """
    clock = Clock()
    addresses = Addresses(clock)
    first_life = addresses.start("a", X, born_ms=10)
    other = addresses.start("c", Y)
    manager = GrantManager(orders=Way(addresses), timing=TIMING, now_s=clock.seconds)
    manager.take_over(clock.seconds())
    manager.follow(_table(first_life, 1))
    run_manager(manager, clock, 20.0)
    addresses.end(X)
    next_life = addresses.start("a", X, born_ms=20)
    run_manager(manager, clock, 1.0)
    assert addresses.holders(SHARD) == [next_life]
    manager.note_listed([next_life, other])
    manager.follow(_table(other, 2, former=(first_life,)))
    run_manager(manager, clock, 1.0, look=lambda: _assert_one(addresses))
    assert addresses.holders(SHARD) == [other]


def test_replaced_leader_renews_nothing_of_a_server_that_has_failed() -> None:
    """A server born again holds keys that the new leader gave to another one.

    The former leader hears the store no more and goes on renewing for a while. The
    server has released the keys, ends and is born again under its id; it has seen no
    tokens, and took a renewal that was meant for its former life.
    """
    clock = Clock()
    addresses = Addresses(clock)
    first_life = addresses.start("a", X)
    other = addresses.start("c", Y)
    managers = [
        GrantManager(orders=Way(addresses), timing=TIMING, now_s=clock.seconds)
        for _ in range(2)
    ]
    former, leader = managers
    former.take_over(clock.seconds())
    former.follow(_table(first_life, 1))
    run_manager(former, clock, 20.0)
    run_manager(former, clock, 2.0, store_contact=False)
    leader.take_over(clock.seconds())
    leader.follow(_table(first_life, 1))
    leader.follow(_table(other, 2, former=(first_life,)))
    run_manager(leader, clock, 0.2)
    assert addresses.holders(SHARD) == [other]
    addresses.end(X)
    run_manager(former, clock, 1.0, store_contact=False)
    addresses.start("a", X)
    run_manager(
        former, clock, 1.5, store_contact=False, look=lambda: _assert_one(addresses)
    )


@pytest.mark.parametrize("passed_on", [1, 2], ids=["once", "twice"])
def test_server_whose_address_was_passed_on_is_not_waited_for(passed_on: int) -> None:
    """Keys of a server that has ended stay unserved although its address answers."""
    clock = Clock()
    addresses = Addresses(clock)
    ended = addresses.start("a", X)
    other = addresses.start("c", Y)
    manager = GrantManager(orders=Way(addresses), timing=TIMING, now_s=clock.seconds)
    manager.take_over(clock.seconds())
    manager.follow(_table(ended, 1))
    run_manager(manager, clock, 1.0)
    for number in range(passed_on):
        addresses.end(X)
        addresses.start(f"next-{number}", X)
    manager.follow(_table(other, 2, former=(ended,)))
    run_manager(manager, clock, 0.2, look=lambda: _assert_one(addresses))
    assert addresses.holders(SHARD) == [other]


def _table(holder: Holder, token: int, *, former: tuple[Holder, ...] = ()) -> KeyTable:
    span = Span(first=0, last=9, holder=holder, token=token, former=former)
    return KeyTable(service=SERVICE, highest_token=token, spans=(span,))


def _assert_one(addresses: Addresses) -> None:
    assert len(addresses.holders(SHARD)) <= 1
