"""Hosts that follow a replaced leader use no rules for longer than agreed."""

from collections.abc import Callable
from random import Random

import pytest
from twisted.internet.defer import Deferred

from gentianwharf.entryhost._host_list import HostList
from gentianwharf.entryhost._store_keys import (
    HOSTS_KEY,
    LEADER_KEY,
    TUNNEL_SECRET_KEY,
)
from gentianwharf.entryhost._tunnel_secret import TunnelSecret
from gentianwharf.logs import log
from gentianwharf.platform import CONFIG_KEY
from gentianwharf.store import Change
from tests.builders_entryhost import Fleet
from tests.builders_late_changes import SMALL_KEY, LateFleet
from tests.builders_store_link import STEP_S
from tests.builders_two_leaders import HOSTS, TwoLeaders, end_lease, remove_item
from tests.builders_users_platform import configuration

IN_FORCE_S = 2.0
"""A change is in force at every host in touch this long after it was accepted."""

FOUND_SEEDS = (10, 27, 31, 62, 103)
"""Seeds in which hosts were late by the time of an answer."""


@pytest.mark.parametrize("replace", [end_lease, remove_item])
def test_late_answer_to_a_leader_makes_no_other_host_late(
    monkeypatch: pytest.MonkeyPatch, replace: Callable[[LateFleet], None]
) -> None:
    """Guards against a leader that takes its copy to be as recent as an answer's end.

    The answer to its watch takes a second. It is replaced as it arrives, by a host
    whose messages are lost, like its own later ones.
    """
    fleet = LateFleet(monkeypatch, hosts=3, seed=1)
    fleet.run(4.0)
    leader = fleet.leader()
    assert leader is not None
    mirror = leader.coordinator.mirror
    contact_s = mirror.last_contact_s
    while mirror.last_contact_s == contact_s:
        fleet.run(STEP_S)
    leader.link.watch_delay_s, leader.is_in_trouble = 1.0, True
    fleet.write(SMALL_KEY)
    fleet.run(0.05)
    fleet.write(SMALL_KEY)
    fleet.run(1.0)
    replace(fleet)
    for host in fleet.hosts:
        for other in fleet.hosts:
            fleet.net.losses[frozenset({host.address, other.address})] = 1.0
    fleet.run(4.0)
    assert fleet.worst_s <= IN_FORCE_S


@pytest.mark.parametrize("seed", [*range(4), *FOUND_SEEDS])
def test_no_host_in_touch_is_late_while_two_hosts_lead(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against hosts that use replaced rules since a replaced leader has them."""
    fleet = LateFleet(monkeypatch, hosts=HOSTS, seed=seed)
    TwoLeaders(fleet, Random(seed)).run()
    assert not fleet.late, "\n".join([*fleet.log, str(fleet.late[-1])])


def test_plays_have_two_leaders(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against plays that no longer show what they are meant to."""
    both_led = 0
    for seed in range(4):
        play = TwoLeaders(LateFleet(monkeypatch, hosts=HOSTS, seed=seed), Random(seed))
        play.run()
        both_led += play.both_led_s > 0.5
    assert both_led > 0


@pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.7])
def test_leader_that_leads_again_over_a_late_link_makes_no_host_late(
    monkeypatch: pytest.MonkeyPatch, phase_s: float
) -> None:
    """Guards against late updates that count as recent since another host led."""
    fleet = LateFleet(monkeypatch, hosts=3, seed=1)
    fleet.run(4.0)
    first = fleet.leader()
    assert first is not None
    second, other = [host for host in fleet.hosts if host is not first]
    other.coordinator.leadership.handicap_s = lambda: 5.0
    first.coordinator.resign(1.0)
    fleet.run(3.0)
    assert fleet.leader() is second
    pair = frozenset({first.address, other.address})
    fleet.net.delays_s[pair] = 0.9
    second.coordinator.resign(60.0)
    fleet.run(4.0 + phase_s)
    assert fleet.leader() is first
    fleet.net.losses[pair] = 1.0
    fleet.write(SMALL_KEY)
    fleet.run(4.0)
    assert fleet.worst_s <= IN_FORCE_S


def test_log_says_whom_a_host_followed_as_rules_came_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against records that can't tell from which leader rules came."""
    fleet = Fleet(monkeypatch, hosts=3)
    fleet.run(4.0)
    leader_item = fleet.items.get(LEADER_KEY)
    assert leader_item is not None
    logged: list[int] = []

    def note(line: str, *_: object, extra: dict[str, int]) -> None:
        if line == "configuration in force":
            logged.append(extra["leader_revision"])

    monkeypatch.setattr(log, "info", note)
    fleet.write(CONFIG_KEY, configuration())
    fleet.run(1.0)
    assert logged == [leader_item.revision] * 3


@pytest.mark.parametrize("key", [HOSTS_KEY, TUNNEL_SECRET_KEY])
def test_replaced_leader_writes_no_shared_item(
    monkeypatch: pytest.MonkeyPatch, key: str
) -> None:
    """Guards against a late write that replaces what the next leader has written."""
    fleet = Fleet(monkeypatch, hosts=2)
    fleet.run(6.0)
    coordinator = fleet.leader().coordinator
    writers: dict[str, HostList | TunnelSecret] = {
        HOSTS_KEY: coordinator._host_list,
        TUNNEL_SECRET_KEY: coordinator.tunnel_secret,
    }
    fleet.items.change(Change(removals=(key,)))
    leader_item = fleet.items.get(LEADER_KEY)
    assert leader_item is not None
    fleet.items.end_lease(leader_item.lease_id)
    assert coordinator.leadership.holds_lease(), "the host does not know yet"
    Deferred.fromCoroutine(writers[key]._write())
    assert fleet.items.get(key) is None
