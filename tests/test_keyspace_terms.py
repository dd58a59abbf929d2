"""Who may state the grants of earlier terms: only who has led in just that term.

In each test a leader loses the store and goes on granting for a while, each time for
the longest duration. The next host that leads must wait for these grants, whatever
happens in between. A server that answers no orders shows whether it does.
"""

import pytest

from gentianwharf.entryhost import _previous_leader
from tests.builders_keyspace import holder
from tests.builders_terms import Terms

WITHOUT_STORE_S = 2.5
"""A leader grants for the longest duration after a second without the store."""

CHECKED_S = 20.0


@pytest.fixture
def terms(monkeypatch: pytest.MonkeyPatch) -> Terms:
    return Terms(lambda dial: monkeypatch.setattr(_previous_leader, "dial", dial))


def lead_and_lose_the_store(terms: Terms) -> None:
    """Let host a lead, lose the store and grant for the longest duration."""
    a, b, _ = terms.hosts
    terms.run_until(lambda: terms.servers.holders(0), a)
    a.cut()
    b.receives_changes = False
    terms.run(WITHOUT_STORE_S, a)
    assert terms.leader_item() is None


def test_host_that_never_noticed_its_claim_states_no_grants(terms: Terms) -> None:
    """Guards against an empty memory that is read as no grants."""
    lead_and_lose_the_store(terms)
    a, b, _ = terms.hosts
    terms.claim_unnoticed(b)
    terms.silence(holder(1))
    a.heal()
    terms.run(CHECKED_S, a, b)
    assert a.leads


def test_leader_that_has_not_taken_over_resigns_without_stating_grants(
    terms: Terms,
) -> None:
    """Guards against a leader that is stopped before it has read the tables."""
    lead_and_lose_the_store(terms)
    a, b, c = terms.hosts
    b.faults.serves_no_tables = True
    b.heal()
    terms.run_until(lambda: b.leads, b)
    b.resign()
    assert terms.recorded_value() == a.leadership.value, "host a is the one to ask"
    terms.silence(holder(1))
    terms.run(CHECKED_S, b, c)
    assert c.leads


def test_leader_does_not_take_its_memory_of_an_older_term_for_the_last(
    terms: Terms,
) -> None:
    """Guards against grants of a term in between that a host forgets as it leads anew.

    Host b leads once and loses the store early; host a leads after it. Then b claims
    the leadership without noticing, and leads.
    """
    a, b, _ = terms.hosts
    terms.run_until(lambda: terms.servers.holders(0), b)
    b.cut()
    terms.run_until(lambda: a.leads, a, b)
    terms.run(20.0, a, b)
    assert not b.leads
    b.heal()
    a.cut()
    terms.run(WITHOUT_STORE_S, a)
    terms.claim_unnoticed(b)
    terms.silence(holder(1))
    b.heal()
    terms.run(CHECKED_S, b)
    assert b.leads
