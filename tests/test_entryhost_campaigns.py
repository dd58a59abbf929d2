"""Which hosts try to lead first."""

from dataclasses import replace
from random import Random

import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost import _coordinator
from gentianwharf.entryhost._coordinator import (
    SMALL_HOST_CAMPAIGN_DELAY_S,
    Coordinator,
    campaign_delay_s,
)
from gentianwharf.keyspace._leadership import CAMPAIGN_WITHIN_S
from gentianwharf.keyspace._timing import LEADER_LEASE_S
from gentianwharf.platform import decode_host_settings
from tests.builders_entryhost import FakeStore
from tests.builders_users_platform import SETTINGS

MEGABIT_BYTES = 125_000


@pytest.mark.parametrize("link_mbps", [5, 10, 25])
def test_host_with_a_thin_link_tries_to_lead_after_others(
    monkeypatch: pytest.MonkeyPatch, link_mbps: int
) -> None:
    """Guards against a leader whose link is too thin to send long lists of rules."""
    monkeypatch.setattr(_coordinator, "PlatformStore", lambda **_: FakeStore)
    settings = decode_host_settings(SETTINGS, peer="test")
    delays_s = []
    for mbps in (link_mbps, 200):
        link_bytes_per_s = mbps * MEGABIT_BYTES
        coordinator = Coordinator(
            settings=replace(settings, link_bytes_per_s=link_bytes_per_s, cores=2.0),
            server_by_id=lambda name: None,
            reactor=Clock(),
            rng=Random(1),
        )
        delays_s.append(coordinator.leadership._campaign_delay_s)
    assert delays_s[0] > CAMPAIGN_WITHIN_S, "later than most of the random delays"
    assert delays_s[1] == 0.0


def test_least_capable_host_tries_to_lead_well_within_a_lease() -> None:
    longest_s = campaign_delay_s(cores=0.0, link_bytes_per_s=0.0)
    assert longest_s == SMALL_HOST_CAMPAIGN_DELAY_S < LEADER_LEASE_S / 4
