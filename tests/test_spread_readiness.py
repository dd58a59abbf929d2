"""When a host that started empty may act on the values that it holds."""

import pytest

from gentianwharf.spread._readiness import Readiness

STARTED_S = 100.0
LAC = [f"lac-{number}" for number in range(1, 5)]
OTHERS = [f"{name}-{number}" for name in ("ariana", "charguia") for number in range(4)]


def _agreed(readiness: Readiness, hosts: list[str], *, ready: bool = True) -> Readiness:
    for host in hosts:
        readiness.record_agreement(host, last_contact_s=None, ready=ready)
    return readiness


@pytest.mark.parametrize(
    ("agreeing", "ready"),
    [
        pytest.param([], False, id="nobody"),
        pytest.param(LAC[1:3], False, id="half-of-domain"),
        pytest.param(LAC[1:4], True, id="majority-of-domain"),
        pytest.param(OTHERS[:6], False, id="half-of-all"),
        pytest.param(OTHERS[:7], True, id="majority-of-all"),
        pytest.param([*LAC[1:3], *OTHERS[:4]], False, id="half-of-each"),
        pytest.param(["stranger-1", "stranger-2", "stranger-3"], False, id="unlisted"),
    ],
)
def test_majority_of_domain_or_of_all_makes_ready(
    agreeing: list[str], ready: bool
) -> None:
    readiness = _agreed(Readiness(started_s=STARTED_S), agreeing)
    assert readiness.evaluate(LAC, LAC + OTHERS) is ready


def test_hosts_that_are_not_ready_do_not_count() -> None:
    readiness = _agreed(Readiness(started_s=STARTED_S), LAC + OTHERS, ready=False)
    assert not readiness.evaluate(LAC, LAC + OTHERS)


@pytest.mark.parametrize(
    ("contact_s", "ready"),
    [
        pytest.param(STARTED_S - 0.1, False, id="before-start"),
        pytest.param(STARTED_S, True, id="since-start"),
    ],
)
def test_store_contact_counts_only_since_the_start(
    contact_s: float, ready: bool
) -> None:
    """A host with new rules restarts, and agrees with a peer that lacks them.

    The peer's last store contact is recent but precedes the restart. If it were
    sufficient, the old rules would be in force again on this host.
    """
    readiness = Readiness(started_s=STARTED_S)
    readiness.record_agreement("lac-2", last_contact_s=contact_s, ready=True)
    assert readiness.evaluate(LAC, LAC + OTHERS) is ready


def test_ready_host_stays_ready_when_the_list_grows() -> None:
    readiness = _agreed(Readiness(started_s=STARTED_S), LAC[1:])
    assert readiness.evaluate(LAC, LAC)
    assert readiness.evaluate([*LAC, *OTHERS], [*LAC, *OTHERS])
