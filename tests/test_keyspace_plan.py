"""Shards go where there is room, and stay where they are without a reason to move."""

import random
from collections import Counter

import pytest

from gentianwharf.keyspace import Candidate, KeyTable, LostHolders, ShardLoad, plan
from tests.builders_keyspace import SHARDS, candidate, span, table

EVEN = ShardLoad(counts={}, shards=SHARDS)


def planned(
    before: KeyTable,
    *candidates: Candidate,
    load: ShardLoad = EVEN,
    rebalance: bool = False,
    utilization: float = 1.0,
    lost_holders: LostHolders | None = None,
) -> KeyTable:
    return plan(
        before,
        candidates,
        load,
        shards=SHARDS,
        rebalance=rebalance,
        utilization=utilization,
        lost_holders=lost_holders or LostHolders(),
    ).table


def shards_of(after: KeyTable, number: int) -> int:
    name = candidate(number).holder.server_id
    return sum(one.shards for one in after.spans if one.holder.server_id == name)


def check_whole(after: KeyTable) -> None:
    next_first = 0
    for one in after.spans:
        assert one.first == next_first
        next_first = one.last + 1
    assert next_first == SHARDS


def test_first_plan_gives_each_server_by_its_capacity() -> None:
    after = planned(
        KeyTable(service="roster"), candidate(1), candidate(2, capacity=3.0)
    )
    check_whole(after)
    assert shards_of(after, 1) == 250
    assert shards_of(after, 2) == 750


def test_nothing_moves_without_a_reason() -> None:
    before = table(span(0, 499, 1), span(500, 999, 2))
    assert planned(before, candidate(1), candidate(2), rebalance=True) is before


def test_nothing_moves_while_no_server_is_listed() -> None:
    before = table(span(0, 999, 1))
    assert planned(before) is before


def test_lost_server_s_shards_are_dealt_out_to_all() -> None:
    before = table(span(0, 332, 1), span(333, 665, 2), span(666, 999, 3))
    after = planned(before, candidate(1), candidate(2))
    check_whole(after)
    assert abs(shards_of(after, 1) - shards_of(after, 2)) < 120
    moved = [one for one in after.spans if one.former_holders]
    assert all(one.former_holders[0].server_id == "s3" for one in moved)
    assert all(one.token > before.highest_token for one in moved)
    kept = [one for one in after.spans if not one.former_holders]
    assert {one.token for one in kept} == {1}


def test_server_lost_in_the_middle_of_a_move_is_former_too() -> None:
    before = table(
        span(0, 499, 1),
        span(500, 999, 2, token=2, former_holders=(3,)),
        highest_token=2,
    )
    after = planned(before, candidate(1))
    moved = after.span_of(700)
    assert moved is not None
    assert [one.server_id for one in moved.former_holders] == ["s3", "s2"]


def test_server_that_joins_is_sent_its_part() -> None:
    before = table(span(0, 499, 1), span(500, 999, 2))
    after = planned(before, candidate(1), candidate(2), candidate(3), rebalance=True)
    check_whole(after)
    assert 200 < shards_of(after, 3) < 400


def test_busy_shards_close_together_are_parted() -> None:
    """A faculty's open day: two hundred keys side by side get a third of all requests.

    Their server is full and turns families away, while the others have room.
    """
    rng = random.Random(3)
    samples = [rng.randrange(300, 320) for _ in range(100)]
    samples += [rng.randrange(SHARDS) for _ in range(200)]
    load = ShardLoad(counts=Counter(samples), shards=SHARDS)
    servers = [candidate(number) for number in range(1, 9)]
    before = planned(KeyTable(service="roster"), *servers)
    busiest = max(load.share(one.first, one.last) for one in before.spans)
    assert busiest > 0.3
    after = planned(before, *servers, load=load, rebalance=True)
    after = planned(after, *servers, load=load, rebalance=True)
    check_whole(after)
    loads = {one.holder: 0.0 for one in servers}
    for one in after.spans:
        loads[one.holder] += load.share(one.first, one.last)
    assert max(loads.values()) < 0.2


@pytest.mark.parametrize("seed", range(40))
def test_every_plan_is_whole_and_tokens_only_grow(seed: int) -> None:
    """Servers come and go, some in the middle of moves; keys change their load."""
    rng = random.Random(seed)
    current = KeyTable(service="roster")
    for _ in range(12):
        servers = [
            candidate(number, capacity=rng.choice([1.0, 2.0]))
            for number in rng.sample(range(1, 9), rng.randint(1, 8))
        ]
        hot = rng.randrange(SHARDS - 30)
        samples = [rng.randrange(hot, hot + 30) for _ in range(rng.randint(0, 200))]
        load = ShardLoad(counts=Counter(samples), shards=SHARDS)
        lost = [candidate(number).holder for number in rng.sample(range(1, 9), 2)]
        known = {one.holder for one in servers}
        lost_holders = LostHolders(
            holders=frozenset(lost) - known, movable_load=rng.random() / 4
        )
        after = planned(
            current,
            *servers,
            load=load,
            rebalance=rng.random() < 0.7,
            lost_holders=lost_holders,
        )
        check_whole(after)
        holders = {one.holder for one in servers}
        assert all(one.holder in holders | lost_holders.holders for one in after.spans)
        _check_moves(current, after)
        current = after


def _check_moves(before: KeyTable, after: KeyTable) -> None:
    for shard in range(0, SHARDS, 3):
        old, new = before.span_of(shard), after.span_of(shard)
        assert new is not None
        if old is None or old.holder == new.holder:
            continue
        assert new.token > old.token
        # Whoever may still hold the shard is waited for.
        assert {old.holder, *old.former_holders} - {new.holder} <= set(
            new.former_holders
        )


def test_shard_that_fills_a_server_goes_to_the_fastest_and_has_it_alone() -> None:
    """One club's roster is asked for by a third of all callers, for some seconds.

    A single key can't be parted. On a slow server, beside the keys that this one has
    anyhow, most of its callers are turned away.
    """
    samples = [777] * 120 + list(range(0, SHARDS, 5))
    load = ShardLoad(counts=Counter(samples), shards=SHARDS)
    servers = [candidate(1, capacity=1.7), *(candidate(one) for one in range(2, 9))]
    current = planned(KeyTable(service="roster"), *servers)
    for _ in range(3):
        current = planned(current, *servers, load=load, rebalance=True)
    check_whole(current)
    hot = current.span_of(777)
    assert hot is not None
    assert hot.holder.server_id == "s1"
    assert shards_of(current, 1) < 30


def test_hot_shard_does_not_move_between_servers_that_are_alike() -> None:
    """A hot key moves every second, and each time nobody is served for a moment."""
    samples = [777] * 120 + list(range(0, SHARDS, 5))
    load = ShardLoad(counts=Counter(samples), shards=SHARDS)
    servers = [candidate(one, capacity=1 + one / 50) for one in range(1, 9)]
    current = planned(KeyTable(service="roster"), *servers)
    before = current.span_of(777)
    for _ in range(6):
        current = planned(current, *servers, load=load, rebalance=True)
    after = current.span_of(777)
    assert before is not None
    assert after is not None
    assert after.holder == before.holder


def test_shards_of_lost_servers_move_only_as_there_is_room_for_cold_ones() -> None:
    """A failure domain is cut off for five seconds, and then nobody is served well.

    A third of all shards moved at once, without what their holders knew of them. Each
    took four times the work, and the servers that were left were full.
    """
    before = table(*(span(100 * n, 100 * n + 99, n + 1) for n in range(9)))
    before = table(*before.spans, span(900, 999, 9))
    lost = frozenset(candidate(number).holder for number in (7, 8, 9))
    rest = [candidate(number) for number in range(1, 7)]
    after = planned(
        before, *rest, lost_holders=LostHolders(holders=lost, movable_load=0.15)
    )
    check_whole(after)
    moved = sum(one.shards for one in after.spans if one.former_holders)
    assert 140 <= moved <= 160
    kept = [one for one in after.spans if one.holder in lost]
    assert sum(one.shards for one in kept) == 400 - moved
    # The next round goes on where there is room again.
    later = planned(
        after, *rest, lost_holders=LostHolders(holders=lost, movable_load=0.5)
    )
    assert not [one for one in later.spans if one.holder in lost]


def test_servers_that_hand_over_are_emptied_at_once() -> None:
    before = table(span(0, 499, 1), span(500, 999, 2))
    after = planned(before, candidate(2), lost_holders=LostHolders(movable_load=0.0))
    assert shards_of(after, 2) == SHARDS


def test_nothing_is_evened_out_while_no_server_is_full() -> None:
    """On a calm day shards move every second, and each move costs a call of each host.

    Chance makes some servers busier than others; none of them is full.
    """
    before = table(span(0, 699, 1), span(700, 999, 2))
    servers = [candidate(1), candidate(2)]
    load = ShardLoad(counts=dict.fromkeys(range(SHARDS), 1.0), shards=SHARDS)
    assert (
        planned(before, *servers, load=load, rebalance=True, utilization=0.3) is before
    )
    after = planned(before, *servers, load=load, rebalance=True, utilization=0.8)
    assert shards_of(after, 1) < 600


def test_newcomer_gets_shards_on_a_calm_day_too() -> None:
    before = table(span(0, 499, 1), span(500, 999, 2))
    servers = [candidate(1), candidate(2), candidate(3)]
    after = planned(before, *servers, rebalance=True, utilization=0.2)
    assert shards_of(after, 3) > 150


def test_what_moves_is_as_few_shards_as_will_do() -> None:
    """Half of all keys change hands on a calm day to take a fifth off one server.

    The busy server has as much to do for a hundred shards side by side as for ten
    somewhere else; what it knows of each key has to be handed over.
    """
    counts = dict.fromkeys(range(400), 1.0)
    counts |= dict.fromkeys(range(700, 740), 10.0)
    load = ShardLoad(counts=counts, shards=SHARDS)
    before = table(span(0, 399, 1), span(400, 699, 2), span(700, 999, 1))
    after = planned(before, candidate(1), candidate(2), load=load, rebalance=True)
    moved = [one for one in after.spans if one.former_holders]
    assert sum(one.shards for one in moved) <= 200
    check_whole(after)
