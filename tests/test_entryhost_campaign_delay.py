"""Hosts that leave leadership to better suited ones."""

from random import Random

import pytest

from gentianwharf.entryhost._campaign_delay import slow_link_delay_s
from gentianwharf.entryhost._peer_messages import HostAddress
from tests.builders_thin_links import BYTES_PER_MEGABIT, ThinFleet, mixed_links

TAKEOVER_S = 1.5


@pytest.mark.parametrize("seed", range(10))
def test_lost_leader_is_replaced_by_a_host_with_a_fast_link(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a leader that takes seconds to read a long list of rules."""
    links_mbps = mixed_links(leader_mbps=5.0, hosts=12)
    Random(seed).shuffle(links_mbps)
    fleet = ThinFleet(monkeypatch, links_mbps=links_mbps, first_leads=False, seed=seed)
    fleet.run(6.0)
    lost = fleet.leader()
    links = dict(zip((host.address for host in fleet.hosts), links_mbps, strict=True))
    lost.coordinator.stop()
    fleet.hosts.remove(lost)
    fleet.net.cut.add(lost.address)
    fleet.run(TAKEOVER_S)
    assert links[fleet.leader().address] >= 25.0


@pytest.mark.parametrize(
    ("own_mbps", "listed_mbps", "expected_s"),
    [
        pytest.param(5.0, [], 0.0, id="none-listed"),
        pytest.param(5.0, [0.0, 0.0], 0.0, id="none-known"),
        pytest.param(5.0, [5.0, 5.0], 0.0, id="all-thin"),
        pytest.param(5.0, [5.0, 10.0], 0.1, id="one-faster"),
        pytest.param(5.0, [5.0, 100.0], 0.16, id="one-wide"),
        pytest.param(25.0, [5.0, 100.0], 0.0, id="fast-enough"),
    ],
)
def test_delay_is_relative_to_the_fastest_link(
    *, own_mbps: float, listed_mbps: list[float], expected_s: float
) -> None:
    """Guards against a fleet of thin links whose leader is replaced late."""
    listed = [
        HostAddress(
            f"h{number}",
            f"10.0.0.{number}:90",
            link_bytes_per_s=mbps * BYTES_PER_MEGABIT,
        )
        for number, mbps in enumerate(listed_mbps)
    ]
    delay_s = slow_link_delay_s(own_mbps * BYTES_PER_MEGABIT, listed)
    assert delay_s == pytest.approx(expected_s)
