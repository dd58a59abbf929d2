"""One host leads, another follows it soon, and no shard has two holders meanwhile."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.keyspace import decode_table
from gentianwharf.keyspace._previous_leader import decode_previous_leader
from tests.builders_keyspace import (
    LEADER_KEY,
    PREVIOUS_LEADER_KEY,
    SERVICE,
    SHARDS,
    TABLE_KEY,
    TIMING,
    Servers,
    candidate,
)
from tests.builders_keyspace_hosts import LeadingHost, SimpleStore, run_hosts

ALL = dict.fromkeys(range(0, SHARDS, 7))


def make_hosts(
    clock: Clock, *names: str, servers: int = 3
) -> tuple[SimpleStore, Servers, list[LeadingHost]]:
    store = SimpleStore(clock)
    granting = Servers(clock, *range(1, servers + 1))
    hosts = [LeadingHost(name=name, store=store, servers=granting) for name in names]
    for host in hosts:
        host.planner.set_candidates(
            SERVICE, [candidate(number) for number in range(1, servers + 1)]
        )
    return store, granting, hosts


def served(servers: Servers) -> bool:
    return all(len(servers.holders(shard)) == 1 for shard in ALL)


def one_each(servers: Servers) -> None:
    assert all(len(servers.holders(shard)) <= 1 for shard in ALL)


def test_first_leader_deals_out_all_shards() -> None:
    clock = Clock()
    store, servers, hosts = make_hosts(clock, "a", "b")
    run_hosts(clock, 2.0, *hosts, look=lambda: one_each(servers))
    assert served(servers)
    assert [host.leads for host in hosts].count(True) == 1
    item = store.items_by_key[TABLE_KEY]
    assert len(decode_table(item.value, peer="test").spans) == 3


def test_next_leader_keeps_every_holder_and_every_grant() -> None:
    """The leader's process is killed, and for a while no key is served.

    The next leader must renew before the grants run out, and move nothing.
    """
    clock = Clock()
    store, servers, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, first, second)
    leader, other = (first, second) if first.leads else (second, first)
    before = store.items_by_key[TABLE_KEY].revision
    leader.hears_store = False
    run_hosts(clock, 15.0, other, look=lambda: _assert_served(servers))
    assert other.leads
    assert store.items_by_key[TABLE_KEY].revision == before


def _assert_served(servers: Servers) -> None:
    assert served(servers)


def test_paused_leader_gives_no_order_after_its_lease() -> None:
    """The leader's machine stands still and wakes after another host has taken over.

    It must not go on where it stopped: its lease has ended, and shards have moved.
    """
    clock = Clock()
    store, servers, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, first, second)
    leader, other = (first, second) if first.leads else (second, first)
    leader.hears_store = False
    run_hosts(clock, 6.0, other, look=lambda: one_each(servers))
    other.planner.set_candidates(SERVICE, [candidate(2), candidate(3)])
    run_hosts(clock, 3.0, other, look=lambda: one_each(servers))
    orders = sum(len(servers[number].orders) for number in (1, 2, 3))
    leader.tick()
    assert sum(len(servers[number].orders) for number in (1, 2, 3)) == orders
    run_hosts(clock, 3.0, leader, other, look=lambda: one_each(servers))
    assert not leader.leads
    assert served(servers)


def test_leader_steps_down_when_its_item_is_gone() -> None:
    """The store takes the leader's item away although its lease has not run out."""
    clock = Clock()
    store, servers, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, first, second)
    lease_id = store.items_by_key[LEADER_KEY].lease_id
    del store.leases[lease_id]
    run_hosts(clock, 3.0, first, second, look=lambda: one_each(servers))
    assert [first.leads, second.leads].count(True) == 1
    assert store.items_by_key[LEADER_KEY].lease_id != lease_id
    assert served(servers)


def test_campaign_whose_answer_was_lost_is_won_all_the_same() -> None:
    """Nobody leads until the lease of a host that doesn't know that it leads ends."""
    clock = Clock()
    store, servers, (host,) = make_hosts(clock, "a")
    run_hosts(clock, 0.1, host)
    store.loses_answers = True
    run_hosts(clock, 0.8, host)
    store.loses_answers = False
    run_hosts(clock, 3.0, host)
    assert host.leads
    assert served(servers)


def test_resigned_leader_is_followed_at_once() -> None:
    clock = Clock()
    store, servers, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, first, second)
    leader, other = (first, second) if first.leads else (second, first)
    held_s = leader.manager.holders.held_s()
    # The last renewal is half a second old at the most, and may be on its way.
    assert TIMING.grant_s * 0.75 < held_s < TIMING.grant_s * 1.02 + 0.6
    Deferred.fromCoroutine(leader.leadership.resign(held_s, campaign_pause_s=10.0))
    run_hosts(clock, 0.3, first, second, look=lambda: one_each(servers))
    assert other.leads


def test_leader_s_word_on_its_grants_spares_the_next_one_a_wait() -> None:
    """Hosts are restarted one after the other while a server is lost.

    Its keys are not served for a quarter of a minute: the next leader does not know
    for how long the one before had granted them, and waits for the worst.
    """
    clock = Clock()
    store, servers, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, first, second)
    leader, other = (first, second) if first.leads else (second, first)
    servers[1].is_silent = True
    Deferred.fromCoroutine(
        leader.leadership.resign(leader.manager.holders.held_s(), campaign_pause_s=60.0)
    )
    other.planner.set_candidates(SERVICE, [candidate(2), candidate(3)])
    run_hosts(clock, 5.0, other, look=lambda: one_each(servers))
    assert served(servers)
    word = decode_previous_leader(store.items_by_key[PREVIOUS_LEADER_KEY])
    assert word is not None
    assert word.value == other.leadership.value, "the first one's word is gone"
    assert word.held_s is None


def test_resigning_leader_tells_of_an_earlier_one_s_grants_too() -> None:
    """The leader is lost, the next one resigns soon, and the third trusts its word.

    The first may go on renewing for seconds, cut off from the store. Were its grants
    left out of the second one's word, two servers would have the same keys.
    """
    clock = Clock()
    store, servers, hosts = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, *hosts)
    lost, other = sorted(hosts, key=lambda host: not host.leads)
    lost.hears_store = False
    run_hosts(clock, 3.0, other)
    assert other.leads
    assert other.manager.holders.held_s() > TIMING.longest_grant_s


def test_word_of_a_leader_before_the_last_one_counts_no_more() -> None:
    """A resigned leader is followed by one that is lost in the middle of a grant.

    Taken for the lost one's, the word of the first would let two servers have a key.
    """
    clock = Clock()
    store, servers, (first, second, third) = make_hosts(clock, "a", "b", "c")
    run_hosts(clock, 3.0, first, second, third)
    hosts = [first, second, third]
    leader = next(host for host in hosts if host.leads)
    Deferred.fromCoroutine(
        leader.leadership.resign(leader.manager.holders.held_s(), campaign_pause_s=60.0)
    )
    others = [host for host in hosts if host is not leader]
    run_hosts(clock, 3.0, *others)
    lost = next(host for host in others if host.leads)
    last = next(host for host in others if host is not lost)
    lost.hears_store = False
    # It goes on renewing for all it is worth, cut off from the store.
    servers[1].is_silent = True
    last.planner.set_candidates(SERVICE, [candidate(2), candidate(3)])
    run_hosts(clock, 12.0, last, look=lambda: one_each(servers))
    assert last.leads
    assert not served(servers)
    run_hosts(clock, 8.0, last, look=lambda: one_each(servers))
    assert served(servers)


def test_write_that_takes_effect_late_does_no_harm() -> None:
    """A table that was written without an answer appears seconds later.

    The leader has planned anew meanwhile. Only one of both writes meets its condition.
    """
    clock = Clock()
    store, servers, (host,) = make_hosts(clock, "a")
    run_hosts(clock, 3.0, host)
    store.loses_answers = True
    host.planner.set_candidates(SERVICE, [candidate(1), candidate(2)])
    run_hosts(clock, 2.0, host, look=lambda: one_each(servers))
    store.loses_answers = False
    run_hosts(clock, 8.0, host, look=lambda: one_each(servers))
    assert served(servers)
    assert not servers[3].holds(0)


def test_store_outage_moves_nothing_and_serves_on() -> None:
    clock = Clock()
    store, servers, hosts = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, *hosts)
    store.is_down = True
    run_hosts(clock, 10.0, *hosts, look=lambda: _assert_served(servers))
    store.is_down = False
    run_hosts(clock, 4.0, *hosts, look=lambda: _assert_served(servers))
    assert [host.leads for host in hosts].count(True) == 1


def test_small_host_leaves_the_lead_to_a_larger_one() -> None:
    """The smallest hosts of a large deployment take the lead and can't keep up."""
    for _ in range(5):
        clock = Clock()
        store, _, hosts = make_hosts(clock, "small", "large")
        hosts[0].leadership._campaign_delay_s = 0.15
        hosts[0].leadership._due_s = None
        hosts[0].leadership.note_item(None)
        run_hosts(clock, 2.0, *hosts)
        assert [host.leads for host in hosts] == [False, True]


def test_small_host_leads_where_there_is_no_other() -> None:
    clock = Clock()
    store, servers, hosts = make_hosts(clock, "small")
    hosts[0].leadership._campaign_delay_s = 0.15
    hosts[0].leadership._due_s = None
    hosts[0].leadership.note_item(None)
    run_hosts(clock, 2.0, *hosts)
    assert hosts[0].leads
