"""What a host does that hears of its own term when another host leads already.

Its claim was stored and its lease has ended. What it reads then are the tables of the
next leader, and it doesn't know the grants of that leader.
"""

import pytest

from gentianwharf.entryhost import _previous_leader
from gentianwharf.keyspace._timing import LEADER_LEASE_S
from tests.builders_keyspace import (
    LEADER_KEY,
    SERVICE,
    TABLE_KEY,
    candidate,
    holder,
)
from tests.builders_terms import STEP_S, Gate, Terms

CHECKED_S = 20.0

REMAINING = [candidate(2), candidate(3)]


@pytest.fixture
def terms(monkeypatch: pytest.MonkeyPatch) -> Terms:
    return Terms(lambda dial: monkeypatch.setattr(_previous_leader, "dial", dial))


def let_b_begin_a_move(terms: Terms) -> None:
    """Let host b lead, grant, and store the move of a server that doesn't answer."""
    b = terms.hosts[1]
    terms.run_until(lambda: b.leads, b)
    terms.run_until(lambda: terms.servers.holders(0), b)
    before = terms.table_revision()
    terms.silence(holder(1))
    b.planner.set_candidates(SERVICE, REMAINING)
    terms.run_until(lambda: terms.table_revision() > before, b)
    assert terms.servers.holders(0) == [holder(1).address]


def test_claim_that_is_answered_late_begins_no_moves_of_the_next_leader(
    terms: Terms,
) -> None:
    """Guards against a host that carries out its successor's tables.

    Its copy of the store names the successor, whose item came together with its own.
    """
    terms.let_grants_of_a_expire()
    a, b, _ = terms.hosts
    answers = a.faults.answers_to_changes = Gate()
    a.receives_changes = False
    terms.run_until(terms.leader_item, a)
    let_b_begin_a_move(terms)
    a.heal()
    answers.open()
    terms.run(CHECKED_S, a, b)


def test_claim_that_is_noticed_late_begins_no_moves_of_the_next_leader(
    terms: Terms,
) -> None:
    """Guards against a host that leads by late news, after it was asked."""
    terms.let_grants_of_a_expire()
    a, b, _ = terms.hosts
    a.faults.loses_answers_to_changes = True
    a.receives_changes = False
    terms.run_until(terms.leader_item, a)
    a.faults.loses_answers_to_changes = False
    item = terms.leader_item()
    let_b_begin_a_move(terms)
    a.leadership.note_item(item)
    terms.run(CHECKED_S, a, b)


def test_tables_that_are_read_late_begin_no_moves_of_the_next_leader(
    terms: Terms,
) -> None:
    """Guards against a leader that reads its successor's tables as its own."""
    terms.cut_links()
    terms.let_grants_of_a_expire()
    a, b, _ = terms.hosts
    reads = a.faults.reads = Gate()
    terms.run_until(lambda: a.leads, a)
    a.receives_changes = False
    let_b_begin_a_move(terms)
    reads.open()
    terms.run(CHECKED_S, a, b)


@pytest.mark.parametrize("late", ["answers_to_changes", "reads"])
def test_first_tables_of_the_next_leader_are_not_carried_out(
    terms: Terms, late: str
) -> None:
    """Guards against grants before the first table that a leader knows of.

    It takes it that nobody has granted anything.
    """
    a, b, _ = terms.hosts
    gate = Gate()
    setattr(a.faults, late, gate)
    a.receives_changes = late == "reads"
    terms.run_until(terms.leader_item, a)
    a.receives_changes = False
    terms.run_until(lambda: b.leads, b)
    terms.run_until(lambda: terms.servers.holders(0), b)
    gate.open()
    terms.run(2 * STEP_S, a, b)
    terms.silence(holder(1))
    terms.run(CHECKED_S, a, b)


def test_first_table_is_not_carried_out_before_the_item_of_its_leader(
    terms: Terms,
) -> None:
    """Guards against a table that a full read applies before the leader's item."""
    a, b, _ = terms.hosts
    a.planner.set_candidates(SERVICE, [])
    terms.run_until(lambda: a.leads, a)
    terms.run(0.5, a)
    terms.cut_links()
    a.cut()
    terms.run_until(lambda: b.leads, a, b)
    terms.run_until(lambda: terms.servers.holders(0), a, b)
    assert a.leads
    a.receives_changes = True
    for key in (TABLE_KEY, LEADER_KEY):
        a.note_item(key, terms.store.items_by_key[key])
    a.heal()
    assert not a.leads
    terms.silence(holder(1))
    terms.run(CHECKED_S, a, b)


def test_tables_are_read_again_after_a_renewal(terms: Terms) -> None:
    """Guards against keys without a holder after one slow read."""
    a = terms.hosts[0]
    reads = a.faults.reads = Gate()
    terms.run_until(lambda: a.leads, a)
    term = a.leadership.term
    assert term is not None
    for _ in range(2):
        # A renewal is stored, and its answer does not arrive.
        terms.renew_lease(a)
        terms.clock.advance(LEADER_LEASE_S * 0.6)
    assert not a.leadership.holds_lease()
    reads.open()
    assert a.manager.holders.held_s(term.lease_id) is None
    terms.run_until(lambda: terms.servers.holders(0), a)
    assert a.leadership.term is term
