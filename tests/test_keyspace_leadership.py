"""Leader election: one host leads at a time, and no shard has two holders."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.keyspace import ObservedLoad, decode_table
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
BUSY_SHARDS = range(300)
REPORT_INTERVAL_S = 0.25
REQUESTS_PER_REPORT = 1.0
BUSY_LOAD = ObservedLoad(running=5.0, waiting=0.0, answers=5.0, executed=5.0)


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


def check_one_holder(servers: Servers) -> None:
    assert all(len(servers.holders(shard)) <= 1 for shard in ALL)


def test_first_leader_assigns_all_shards() -> None:
    clock = Clock()
    store, servers, hosts = make_hosts(clock, "a", "b")
    run_hosts(clock, 2.0, *hosts, check=lambda: check_one_holder(servers))
    assert served(servers)
    assert [host.leads for host in hosts].count(True) == 1
    item = store.items_by_key[TABLE_KEY]
    assert len(decode_table(item.value, peer="test").spans) == 3


def test_first_requests_do_not_decide_about_the_first_table() -> None:
    """Guards against moves of most keys right after a system has started."""
    clock = Clock()
    store, _, hosts = make_hosts(clock, "a", "b")
    run_hosts(clock, 0.5, *hosts)
    leader = next(host for host in hosts if host.leads)
    demand = leader.planner.demand(SERVICE)
    assert demand is not None
    demand.note_requests({40: 1.0, 120: 1.0})
    run_hosts(clock, 1.5, *hosts)
    spans = decode_table(store.items_by_key[TABLE_KEY].value, peer="test").spans
    assert [span.shards for span in spans] == [334, 334, 332]


def test_next_leader_keeps_every_holder_and_every_grant() -> None:
    """The leader's process is killed; its keys must stay served.

    The next leader has to renew the grants before they expire, and to move nothing.
    """
    clock = Clock()
    store, servers, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, first, second)
    leader, other = (first, second) if first.leads else (second, first)
    before = store.items_by_key[TABLE_KEY].revision
    leader.receives_changes = False
    run_hosts(clock, 15.0, other, check=lambda: _assert_served(servers))
    assert other.leads
    assert store.items_by_key[TABLE_KEY].revision == before


def _assert_served(servers: Servers) -> None:
    assert served(servers)


def _run_with_load(
    clock: Clock, duration_s: float, leader: LeadingHost, *others: LeadingHost
) -> None:
    """Let hosts report to the leader that three in ten shards get all requests."""
    demand = leader.planner.demand(SERVICE)
    assert demand is not None
    for _ in range(round(duration_s / REPORT_INTERVAL_S)):
        run_hosts(clock, REPORT_INTERVAL_S, leader, *others)
        demand.note_requests(dict.fromkeys(BUSY_SHARDS, REQUESTS_PER_REPORT))
        for server_id in ("s1", "s2", "s3"):
            demand.note_load(server_id, BUSY_LOAD)


def test_next_leader_moves_no_shards_before_it_has_counted_requests() -> None:
    """Guards against keys without a holder since no request counts as even load."""
    clock = Clock()
    store, _, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 1.5, first, second)
    leader, other = (first, second) if first.leads else (second, first)
    _run_with_load(clock, 10.0, leader, other)
    before = decode_table(store.items_by_key[TABLE_KEY].value, peer="test")
    assert not any(span.former_holders for span in before.spans)
    Deferred.fromCoroutine(
        leader.leadership.resign(leader.manager.holders.held_s, campaign_pause_s=60.0)
    )
    run_hosts(clock, 0.25, leader, other)
    assert other.leads
    _run_with_load(clock, 5.0, other, leader)
    after = decode_table(store.items_by_key[TABLE_KEY].value, peer="test")
    assert after.spans == before.spans


def test_suspended_leader_sends_no_order_after_its_lease() -> None:
    """The leader's machine is suspended, and resumes after another host has taken over.

    It must not continue where it stopped: its lease has expired and shards have moved.
    """
    clock = Clock()
    store, servers, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, first, second)
    leader, other = (first, second) if first.leads else (second, first)
    leader.receives_changes = False
    run_hosts(clock, 6.0, other, check=lambda: check_one_holder(servers))
    other.planner.set_candidates(SERVICE, [candidate(2), candidate(3)])
    run_hosts(clock, 3.0, other, check=lambda: check_one_holder(servers))
    orders = sum(len(servers[number].orders) for number in (1, 2, 3))
    leader.tick()
    assert sum(len(servers[number].orders) for number in (1, 2, 3)) == orders
    run_hosts(clock, 3.0, leader, other, check=lambda: check_one_holder(servers))
    assert not leader.leads
    assert served(servers)


def test_leader_steps_down_when_its_item_is_removed() -> None:
    """The store removes the leader's item although its lease has not expired."""
    clock = Clock()
    store, servers, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, first, second)
    lease_id = store.items_by_key[LEADER_KEY].lease_id
    del store.leases[lease_id]
    run_hosts(clock, 3.0, first, second, check=lambda: check_one_holder(servers))
    assert [first.leads, second.leads].count(True) == 1
    assert store.items_by_key[LEADER_KEY].lease_id != lease_id
    assert served(servers)


def test_campaign_succeeds_although_its_answer_was_lost() -> None:
    """Otherwise no host would lead until the lease of the unaware leader expires."""
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
    held_s = leader.held_s()
    # The last renewal is at most 0.5 s old, and may be in flight.
    assert TIMING.grant_s * 0.75 < held_s < TIMING.grant_s * 1.02 + 0.6
    Deferred.fromCoroutine(
        leader.leadership.resign(leader.manager.holders.held_s, campaign_pause_s=10.0)
    )
    run_hosts(clock, 0.3, first, second, check=lambda: check_one_holder(servers))
    assert other.leads


def test_record_of_a_resigned_leader_shortens_the_wait_of_the_next() -> None:
    """Guards against keys that are not served for 15 s during rolling restarts.

    A server is lost meanwhile. Without the record the next leader does not have the
    time by which its predecessor's grants expire, and waits for the longest possible
    one.
    """
    clock = Clock()
    store, servers, (first, second) = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, first, second)
    leader, other = (first, second) if first.leads else (second, first)
    servers[1].is_silent = True
    Deferred.fromCoroutine(
        leader.leadership.resign(leader.manager.holders.held_s, campaign_pause_s=60.0)
    )
    other.planner.set_candidates(SERVICE, [candidate(2), candidate(3)])
    run_hosts(clock, 5.0, other, check=lambda: check_one_holder(servers))
    assert served(servers)
    record = decode_previous_leader(store.items_by_key[PREVIOUS_LEADER_KEY])
    assert record is not None
    assert record.value == other.leadership.value, (
        "the record of the first leader was replaced"
    )
    assert record.held_s is None


def test_record_of_a_resigned_leader_covers_grants_of_an_earlier_one() -> None:
    """The leader is lost, the next one resigns, and the third relies on its record.

    The first may go on renewing for seconds while it is cut off from the store. If the
    record of the second left its grants out, two servers would hold the same keys.
    """
    clock = Clock()
    store, servers, hosts = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, *hosts)
    lost, other = sorted(hosts, key=lambda host: not host.leads)
    lost.receives_changes = False
    run_hosts(clock, 3.0, other)
    assert other.leads
    assert other.held_s() > TIMING.longest_grant_s


def test_record_of_a_leader_before_the_last_one_is_not_used() -> None:
    """A resigned leader is followed by one that is lost while its grants are valid.

    If the record of the first were attributed to the second, two servers could hold a
    key.
    """
    clock = Clock()
    store, servers, (first, second, third) = make_hosts(clock, "a", "b", "c")
    run_hosts(clock, 3.0, first, second, third)
    hosts = [first, second, third]
    leader = next(host for host in hosts if host.leads)
    Deferred.fromCoroutine(
        leader.leadership.resign(leader.manager.holders.held_s, campaign_pause_s=60.0)
    )
    others = [host for host in hosts if host is not leader]
    run_hosts(clock, 3.0, *others)
    lost = next(host for host in others if host.leads)
    last = next(host for host in others if host is not lost)
    lost.receives_changes = False
    # It goes on renewing for the longest duration, cut off from the store.
    servers[1].is_silent = True
    last.planner.set_candidates(SERVICE, [candidate(2), candidate(3)])
    run_hosts(clock, 12.0, last, check=lambda: check_one_holder(servers))
    assert last.leads
    assert not served(servers)
    run_hosts(clock, 8.0, last, check=lambda: check_one_holder(servers))
    assert served(servers)


def test_write_that_takes_effect_late_does_no_harm() -> None:
    """A table whose write was not answered appears seconds later.

    The leader has planned again in the meantime. Only one of the two writes meets its
    condition.
    """
    clock = Clock()
    store, servers, (host,) = make_hosts(clock, "a")
    run_hosts(clock, 3.0, host)
    store.loses_answers = True
    host.planner.set_candidates(SERVICE, [candidate(1), candidate(2)])
    run_hosts(clock, 2.0, host, check=lambda: check_one_holder(servers))
    store.loses_answers = False
    run_hosts(clock, 8.0, host, check=lambda: check_one_holder(servers))
    assert served(servers)
    assert not servers[3].holds(0)


def test_store_outage_moves_nothing_and_keeps_shards_served() -> None:
    clock = Clock()
    store, servers, hosts = make_hosts(clock, "a", "b")
    run_hosts(clock, 3.0, *hosts)
    store.is_down = True
    run_hosts(clock, 10.0, *hosts, check=lambda: _assert_served(servers))
    store.is_down = False
    run_hosts(clock, 4.0, *hosts, check=lambda: _assert_served(servers))
    assert [host.leads for host in hosts].count(True) == 1


def test_small_host_leaves_the_leadership_to_a_larger_one() -> None:
    """The smallest hosts of a large deployment are too slow to lead."""
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
