"""How long a moved key waits for its former holder while the leader changes."""

import pytest

from gentianwharf.entryhost import _previous_leader
from tests.builders_keyspace import SERVICE, TIMING, candidate, holder
from tests.builders_terms import Terms

REMAINING = [candidate(2), candidate(3)]
LEADS_S = 6.0
GRANTED_WITHIN_S = 0.5


@pytest.fixture
def terms(monkeypatch: pytest.MonkeyPatch) -> Terms:
    return Terms(lambda dial: monkeypatch.setattr(_previous_leader, "dial", dial))


def test_wait_for_a_former_holder_does_not_begin_anew_with_each_leader(
    terms: Terms,
) -> None:
    """Guards against keys without a holder for as long as leaders are replaced."""
    a, b, c = terms.hosts
    terms.cut_links()
    terms.run_until(lambda: terms.servers.holders(0), a, b, c)
    leaders = [a, b, c]
    leader = next(host for host in leaders if host.leads)
    before = terms.table_revision()
    terms.silence(holder(1))
    for host in leaders:
        host.planner.set_candidates(SERVICE, REMAINING)
    terms.run_until(lambda: terms.table_revision() > before, *leaders)
    elected_s: list[float] = []
    while len(elected_s) < 2:
        leaders.remove(leader)
        leader.cut()
        terms.run_until(lambda: any(host.leads for host in leaders), *leaders)
        leader = next(host for host in leaders if host.leads)
        elected_s.append(terms.clock.seconds())
        if len(elected_s) < 2:
            terms.run(LEADS_S, *leaders)
    expired_s = TIMING.earlier_grants_expiry_s(took_over_s=elected_s[0])
    terms.run(expired_s + GRANTED_WITHIN_S - terms.clock.seconds(), leader)
    assert terms.servers.holders(0) not in ([], [holder(1).address])
