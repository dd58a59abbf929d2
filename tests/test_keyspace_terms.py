"""Who may state the grants of earlier terms: only who has led in just that term.

In each test a leader loses the store and goes on granting for a while, each time for
the longest duration. The next host that leads must wait for these grants, whatever
happens in between. A server that answers no orders shows whether it does.
"""

import pytest

from gentianwharf.entryhost import _previous_leader
from gentianwharf.keyspace._timing import RENEW_EVERY_S
from tests.builders_keyspace import TIMING, holder
from tests.builders_terms import STEP_S, Terms

WITHOUT_STORE_S = 2.5
"""A leader grants for the longest duration after a second without the store."""

PAUSE_S = 0.8
"""Shorter than the rest of the leader's lease."""

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


def test_resignation_after_a_pause_counts_grants_from_the_end_of_their_calls(
    terms: Terms,
) -> None:
    """Guards against a grant that a resumed leader writes just before it resigns."""
    a, b, _ = terms.hosts
    terms.run_until(lambda: terms.servers.holders(0), a)
    terms.servers.is_sender_paused = True
    terms.run(RENEW_EVERY_S + STEP_S, a)
    terms.clock.advance(PAUSE_S)
    terms.servers.resume_sender()
    a.resign()
    terms.servers[1].is_unreachable = True
    terms.run(CHECKED_S, b)
    assert b.leads


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


def test_wait_for_earlier_grants_counts_from_the_claim_and_not_from_the_campaign(
    terms: Terms,
) -> None:
    """Guards against a leader that renewed its lease while a slow campaign went on.

    Host b takes it for lost by pages of the store that were read at different times.
    """
    a, b, _ = terms.hosts
    terms.run_until(lambda: terms.servers.holders(0), a)
    terms.cut_links()
    a.cut()
    terms.run(0.6, a)
    b.faults.lease_delay_s, b.faults.change_delay_s = 0.35, 0.35
    b.leadership.note_item(None)
    terms.run_until(lambda: b.leads, a, b)
    assert b.leadership.holds_lease()
    longest_s = TIMING.earlier_grants_expiry_s(took_over_s=0.0)
    assert b.manager.holders.earlier_grants_s() >= longest_s - STEP_S


def test_host_that_is_stopped_does_not_lead_by_a_campaign_in_flight(
    terms: Terms,
) -> None:
    """Guards against keys without a leader until the lease of a stopped host ends."""
    lead_and_lose_the_store(terms)
    a, b, c = terms.hosts
    b.heal()
    b.faults.change_delay_s = 0.5
    terms.run(0.3, b)
    b.resign()
    b.faults.change_delay_s = 0.0
    before_the_claim = terms.store.revision
    terms.run(0.5, b)
    assert terms.store.revision > before_the_claim
    assert not b.leads
    assert terms.leader_item() is None
    assert terms.recorded_value() == a.leadership.value, "host a is the one to ask"
    terms.run(CHECKED_S, b, c)
    assert c.leads


def test_leader_that_cannot_decode_a_table_waits_for_its_grants(terms: Terms) -> None:
    """Guards against a table of a newer version that is read as no grants."""
    a = terms.hosts[0]
    terms.store_table(b"a table of another version")
    terms.run_until(lambda: a.leads, a)
    terms.run(STEP_S, a)
    assert a.held_s() > TIMING.longest_grant_s


def test_leader_that_cannot_decode_a_table_carries_out_no_older_one(
    terms: Terms,
) -> None:
    """Guards against grants to holders from which a newer table moves the shards."""
    a, b, _ = terms.hosts
    terms.run_until(lambda: terms.servers.holders(0), a)
    a.cut()
    terms.store_table(b"a table of another version")
    terms.run_until(lambda: b.leads, b)
    for server in terms.servers.by_address.values():
        server.orders.clear()
    terms.run(1.0, b)
    assert not any(server.orders for server in terms.servers.by_address.values())


@pytest.mark.parametrize("held_s", [None, 0.0], ids=["lost", "resigned"])
def test_record_without_a_lease_shortens_no_wait(
    terms: Terms, held_s: float | None
) -> None:
    """Guards against hosts of an older version that state grants they do not know."""
    lead_and_lose_the_store(terms)
    _, b, c = terms.hosts
    terms.store_record(b, held_s=held_s)
    b.states_no_grants()
    b.receives_changes = False
    c.heal()
    terms.silence(holder(1))
    terms.run(CHECKED_S, c)
    assert c.leads
