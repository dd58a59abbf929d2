"""Leases that the store ends before their time, and items that go while leases live.

Until its lease runs out by its own clock, a leader can't tell that another host leads.
"""

import pytest

from gentianwharf.entryhost import _previous_leader
from gentianwharf.keyspace import MAX_DELIVERY_S
from tests.builders_keyspace import (
    LEADER_KEY,
    SERVICE,
    TABLE_KEY,
    candidate,
    holder,
)
from tests.builders_restarts import SHARD, RestartingServers, whole_span
from tests.builders_terms import Gate, TermHost, Terms

CHECKED_S = 20.0

REMAINING = [candidate(2), candidate(3)]


@pytest.fixture
def terms(monkeypatch: pytest.MonkeyPatch) -> Terms:
    return Terms(lambda dial: monkeypatch.setattr(_previous_leader, "dial", dial))


def let_b_begin_a_move(terms: Terms, *others: TermHost) -> None:
    """Let host b lead, grant, and store the move of a server that falls silent."""
    b = terms.hosts[1]
    terms.run_until(lambda: b.leads, b, *others)
    terms.run_until(lambda: terms.servers.holders(0), b, *others)
    before = terms.table_revision()
    terms.silence(holder(1))
    b.planner.set_candidates(SERVICE, REMAINING)
    terms.run_until(lambda: terms.table_revision() > before, b, *others)
    assert terms.servers.holders(0) == [holder(1).address]


def test_tables_read_after_an_early_end_begin_no_moves_of_the_next_leader(
    terms: Terms,
) -> None:
    """Guards against a leader that takes its successor's tables for its own."""
    terms.cut_links()
    terms.let_grants_of_a_expire()
    a = terms.hosts[0]
    reads = a.faults.reads = Gate()
    terms.run_until(lambda: a.leads, a)
    a.receives_changes = False
    terms.store.end_leases()
    let_b_begin_a_move(terms)
    assert a.leadership.holds_lease()
    reads.open()
    terms.run(CHECKED_S, a, terms.hosts[1])


def test_table_of_the_next_leader_is_not_carried_out_before_its_item(
    terms: Terms,
) -> None:
    """Guards against a table that arrives before the item of its leader."""
    a, b, _ = terms.hosts
    a.planner.set_candidates(SERVICE, [])
    terms.run_until(lambda: a.leads, a)
    terms.run(0.5, a)
    terms.cut_links()
    a.cut()
    terms.store.end_leases()
    let_b_begin_a_move(terms, a)
    assert a.leadership.holds_lease()
    a.planner.note_table(terms.store.items_by_key[TABLE_KEY])
    terms.run(CHECKED_S, a, b)


@pytest.mark.parametrize("hears_of_leader", [True, False], ids=["leader", "table"])
def test_claim_that_is_answered_after_the_next_leaders_table_is_not_acted_on(
    terms: Terms, hears_of_leader: bool
) -> None:
    """Guards against a leader whose tables are already those of a later one."""
    terms.cut_links()
    terms.let_grants_of_a_expire()
    a, b, _ = terms.hosts
    answers = a.faults.answers_to_changes = Gate()
    a.receives_changes = False
    terms.run_until(terms.leader_item, a)
    terms.store.end_leases()
    let_b_begin_a_move(terms)
    a.planner.note_table(terms.store.items_by_key[TABLE_KEY])
    if hears_of_leader:
        a.leadership.note_item(terms.store.items_by_key[LEADER_KEY])
    answers.open()
    terms.run(CHECKED_S, a, b)


@pytest.mark.parametrize("answers_reads", [True, False], ids=["reads", "no-reads"])
def test_leader_that_lost_its_item_and_keeps_its_lease_sends_no_more_orders(
    terms: Terms, answers_reads: bool
) -> None:
    """Guards against a renewed lease that counts as contact without the item."""
    terms.cut_links()
    a, b, _ = terms.hosts
    terms.run_until(lambda: terms.servers.holders(0), a)
    a.receives_changes = False
    if not answers_reads:
        a.faults.reads = Gate()
    terms.store.remove_leader_item()
    terms.cut_server(b, holder(1))
    b.planner.set_candidates(SERVICE, REMAINING)
    terms.run_until(lambda: b.leads, a, b)
    terms.run(CHECKED_S, a, b)
    assert terms.servers.holders(0) not in ([], [holder(1).address])


@pytest.mark.parametrize("refused_s", [10.0, 40.0])
def test_refused_reads_leave_no_shard_without_a_holder(
    terms: Terms, refused_s: float
) -> None:
    """Guards against a leader that gives up while the store refuses reads alone."""
    a = terms.hosts[0]
    terms.run_until(lambda: terms.servers.holders(0), a)
    terms.run(3.0, *terms.hosts)
    for host in terms.hosts:
        host.faults.refuses_reads = True
    for _ in range(round(refused_s)):
        terms.run(1.0, *terms.hosts)
        assert terms.servers.holders(0)
    assert a.leads


@pytest.mark.parametrize("delayed_from_s", [4.0 + 0.05 * step for step in range(10)])
def test_order_that_arrives_late_is_covered_by_the_wait_for_earlier_leaders(
    terms: Terms, delayed_from_s: float
) -> None:
    """Guards against a grant that outlasts the wait since it was held up on its way.

    The claim of the next leader follows the last contact of the former one at once.
    """
    terms.cut_links()
    a, b, _ = terms.hosts
    for server in terms.servers.by_address.values():
        server.drift = 1.02
    terms.run_until(lambda: terms.servers.holders(0), a)
    confirmed_s = a.leadership.confirmed_s
    terms.run_until(lambda: a.leadership.confirmed_s > confirmed_s, a)
    a.cut()
    terms.store.end_leases()
    terms.cut_server(b, holder(1))
    b.planner.set_candidates(SERVICE, REMAINING)
    terms.run_until(lambda: b.leads, a, b)
    terms.run(delayed_from_s, a, b)
    a.orders.delay_s = 0.95 * MAX_DELIVERY_S
    terms.run(CHECKED_S, a, b)
    assert terms.servers.holders(0) not in ([], [holder(1).address])


def test_next_leader_does_not_release_where_a_former_one_may_still_connect() -> None:
    """Guards against a renewal at a restarted server right after its release."""
    fleet = RestartingServers()
    fleet.follow(whole_span(fleet.first, token=1))
    fleet.run(1.0)
    fleet.run_with_next_leader(3.0)
    assert fleet.addresses.holders(SHARD) == [fleet.second]


def test_claim_that_is_answered_late_begins_no_term_after_a_later_claim(
    terms: Terms,
) -> None:
    """Guards against a host that leads although it has seen the next leader's item."""
    a, b, _ = terms.hosts
    answers = a.faults.answers_to_changes = Gate()
    a.receives_changes = False
    terms.run_until(terms.leader_item, a)
    terms.store.remove_leader_item()
    terms.run_until(lambda: b.leads, b)
    a.leadership.note_item(terms.leader_item())
    answers.open()
    assert not a.leads
