"""The order in which entries arrive is no evidence that a server has ended."""

from dataclasses import dataclass

import pytest
from twisted.internet.task import Clock

from gentianwharf.keyspace import GrantManager, Holder, KeyTable, Span
from tests.builders_keyspace import ESTABLISHED_S, SERVICE, TIMING, run_manager
from tests.builders_lives import Addresses, OrderSender

X, Y, Z = "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"
SHARD = 5


@dataclass(frozen=True)
class Case:
    """``former`` lived at X before ``current``; hosts list ``listed`` in this order."""

    former: Holder
    current: Holder
    listed: tuple[str, ...]


def _case(
    *listed: str, former_born_ms: int = 0, born_ms: int = 0, current_id: str = "b"
) -> Case:
    return Case(
        former=Holder(server_id="a", born_ms=former_born_ms, address=X),
        current=Holder(server_id=current_id, born_ms=born_ms, address=X),
        listed=listed,
    )


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(_case("current", "former"), id="older-entry-later"),
        pytest.param(_case("former", "current"), id="older-entry-first"),
        pytest.param(_case("former"), id="older-entry-alone"),
        pytest.param(_case("current"), id="newer-entry-alone"),
        pytest.param(_case(), id="none-listed"),
        pytest.param(
            _case("current", "former", former_born_ms=10, born_ms=20),
            id="older-entry-later-both-starts-known",
        ),
        pytest.param(
            _case("current", "former", former_born_ms=10), id="newer-start-unknown"
        ),
        pytest.param(_case("current", "former", born_ms=20), id="older-start-unknown"),
        pytest.param(
            _case("former", former_born_ms=10, born_ms=20, current_id="a"),
            id="older-instance-of-the-same-id",
        ),
        pytest.param(
            _case("former", born_ms=20, current_id="a"),
            id="older-instance-of-the-same-id-start-unknown",
        ),
    ],
)
def test_old_entry_does_not_mark_a_live_server_as_ended(case: Case) -> None:
    """Guards against two servers that execute requests of one key for seconds.

    A server ended and another one got its address. Then the entry of the ended server
    appeared again, written or delivered late. The grant manager considered the live
    server as ended, neither released its keys nor waited, and granted them to a third
    server.
    """
    clock = Clock()
    addresses = Addresses(clock)
    addresses.start(case.current.server_id, X, born_ms=case.current.born_ms)
    other = addresses.start("c", Y)
    manager = GrantManager(
        orders=OrderSender(addresses), timing=TIMING, now_s=clock.seconds
    )
    manager.take_over(clock.seconds())
    manager.note_listed([case.current, other])
    manager.follow(_table(case.current, 1))
    run_manager(manager, clock, 20.0)
    assert addresses.holders(SHARD) == [case.current]
    # It would answer a release late, and its grant stays valid until then.
    addresses.running[X].is_silent = True
    entries = {"current": case.current, "former": case.former}
    manager.note_listed([*(entries[name] for name in case.listed), other])
    manager.follow(_table(other, 2, former_holders=(case.current,)))
    run_manager(manager, clock, 5.0, check=lambda: _assert_one(addresses))
    assert addresses.holders(SHARD) == [other]


def test_restarted_server_that_accepted_a_renewal_is_released() -> None:
    """Guards against a request that is executed twice after a server restarted.

    A renewal reached the new instance under the same id, which has no tokens and
    accepted it. Then the list contained the new instance, the former one was considered
    as ended, and its keys were granted to another server at once.
    """
    clock = Clock()
    addresses = Addresses(clock)
    first_life = addresses.start("a", X, born_ms=10)
    other = addresses.start("c", Y)
    manager = GrantManager(
        orders=OrderSender(addresses), timing=TIMING, now_s=clock.seconds
    )
    manager.take_over(clock.seconds())
    manager.follow(_table(first_life, 1))
    run_manager(manager, clock, 20.0)
    addresses.end(X)
    next_life = addresses.start("a", X, born_ms=20)
    run_manager(manager, clock, 1.0)
    assert addresses.holders(SHARD) == [next_life]
    manager.note_listed([next_life, other])
    manager.follow(_table(other, 2, former_holders=(first_life,)))
    run_manager(manager, clock, 1.0, check=lambda: _assert_one(addresses))
    assert addresses.holders(SHARD) == [other]


def test_replaced_leader_renews_no_grant_of_a_failed_server() -> None:
    """Guards against a restarted server that holds keys granted to another one.

    The former leader lost contact to the store and goes on renewing for a while. The
    server has released the keys, ends and restarts under its id. It has no tokens then,
    and would accept a renewal that was meant for its former instance.
    """
    clock = Clock()
    addresses = Addresses(clock)
    first_life = addresses.start("a", X, born_ms=1)
    other = addresses.start("c", Y, born_ms=1)
    managers = [
        GrantManager(orders=OrderSender(addresses), timing=TIMING, now_s=clock.seconds)
        for _ in range(2)
    ]
    former, leader = managers
    former.take_over(clock.seconds())
    former.follow(_table(first_life, 1))
    run_manager(former, clock, 20.0)
    run_manager(former, clock, 2.0, store_contact=False)
    now_s = clock.seconds()
    leader.take_over(now_s, leading_since_s=now_s - ESTABLISHED_S)
    leader.follow(_table(first_life, 1))
    leader.follow(_table(other, 2, former_holders=(first_life,)))
    run_manager(leader, clock, 0.2)
    assert addresses.holders(SHARD) == [other]
    addresses.end(X)
    run_manager(former, clock, 1.0, store_contact=False)
    addresses.start("a", X, born_ms=2)
    run_manager(
        former, clock, 1.5, store_contact=False, check=lambda: _assert_one(addresses)
    )


@pytest.mark.parametrize("reuses", [1, 2], ids=["once", "twice"])
def test_server_whose_address_was_reused_is_not_waited_for(reuses: int) -> None:
    """Keys of an ended server must not stay unserved because its address answers."""
    clock = Clock()
    addresses = Addresses(clock)
    ended = addresses.start("a", X)
    other = addresses.start("c", Y)
    manager = GrantManager(
        orders=OrderSender(addresses), timing=TIMING, now_s=clock.seconds
    )
    manager.take_over(clock.seconds())
    manager.follow(_table(ended, 1))
    run_manager(manager, clock, 1.0)
    for number in range(reuses):
        addresses.end(X)
        addresses.start(f"next-{number}", X)
    manager.follow(_table(other, 2, former_holders=(ended,)))
    run_manager(manager, clock, 0.2, check=lambda: _assert_one(addresses))
    assert addresses.holders(SHARD) == [other]


def _table(
    holder: Holder, token: int, *, former_holders: tuple[Holder, ...] = ()
) -> KeyTable:
    span = Span(
        first=0, last=9, holder=holder, token=token, former_holders=former_holders
    )
    return KeyTable(service=SERVICE, highest_token=token, spans=(span,))


def _assert_one(addresses: Addresses) -> None:
    assert len(addresses.holders(SHARD)) <= 1
