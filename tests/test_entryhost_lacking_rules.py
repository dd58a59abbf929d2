"""Hosts that know of newer rules than those that they have."""

import json
from random import Random

import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost import _coordinator
from gentianwharf.entryhost._newest_rules import STATED_VALID_S, NewestRules
from gentianwharf.entryhost._readiness import can_serve
from gentianwharf.platform import CONFIG_KEY
from gentianwharf.relay import Problem, RunStatus
from gentianwharf.rules import RequestFacts
from tests.builders_entryhost import Fleet, Host
from tests.builders_users_platform import configuration, route

MAX_LACKING_S = 1.0
"""Half of the time within which accepted rules must be in force."""

RULES_DELAY_S = 2.0
THIN_BYTES_PER_S = 20_000.0


def long_list(version: str, *, moved_to: str, routes: int = 400) -> bytes:
    """Return rules that compress badly, of which one routes ``/moved/``."""
    rng = Random(version)
    added = {
        f"r-{number}": route(prefix=f"/{rng.getrandbits(64):x}/", service="seats")
        for number in range(routes)
    }
    moved = route(prefix="/moved/", service=moved_to)
    return configuration(version=version, routes={**added, "moved": moved})


def service_of(host: Host, path: str = "/moved/1") -> str | None:
    """Return the service that a host chooses, None for 404."""
    facts = RequestFacts(method="GET", path=path, host=HOST)
    match = host.coordinator.rules.match(facts)
    return match.service if match is not None else None


HOST = str(json.loads(configuration())["routes"]["visits"]["host"])


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    """Return hosts to which the leader can send no long list."""
    fleet = Fleet(monkeypatch, hosts=4)
    fleet.write(CONFIG_KEY, long_list("r7", moved_to="calendar"))
    fleet.run(4)
    fleet.leader().coordinator.peers.broadcaster._max_broadcast_bytes = 0.0
    return fleet


def make_slow(fleet: Fleet) -> Host:
    """Give a host a thin link to the store; return the host."""
    host = next(host for host in fleet.hosts if host is not fleet.leader())
    host.store.bytes_per_s = THIN_BYTES_PER_S
    return host


def test_host_that_lacks_the_newest_rules_does_not_route_by_old_ones(
    fleet: Fleet,
) -> None:
    """Guards against routing by replaced rules while a long list is on its way."""
    slow = make_slow(fleet)
    fleet.write(CONFIG_KEY, long_list("r8", moved_to="seats"))
    fleet.run(MAX_LACKING_S / 2)
    assert service_of(slow) == "calendar", "the list may still arrive in time"
    fleet.run(MAX_LACKING_S / 2 + 0.3)
    with pytest.raises(Problem) as refused:
        service_of(slow)
    assert (refused.value.status, refused.value.run) == (503, RunStatus.NOT_RUN)
    assert refused.value.retry_after_s is not None
    assert not can_serve(slow.coordinator)
    others = [host for host in fleet.hosts if host is not slow]
    assert {service_of(host) for host in others} == {"seats"}
    fleet.run(8)
    assert service_of(slow) == "seats"
    assert slow.coordinator.rules.newest.lacking_s() == 0.0


def test_leader_that_lacks_the_newest_rules_does_not_route_by_old_ones(
    fleet: Fleet,
) -> None:
    """Guards against a leader that alone reads the store too late."""
    leader = fleet.leader()
    leader.store.loses_watches = True
    fleet.run(2)
    fleet.write(CONFIG_KEY, long_list("r8", moved_to="seats"))
    fleet.run(RULES_DELAY_S)
    for host in fleet.hosts:
        try:
            assert service_of(host) == "seats"
        except Problem as refused:
            assert refused.status == 503


def test_host_without_contact_serves_by_the_rules_that_it_has(fleet: Fleet) -> None:
    """Guards against refusing all requests where nobody can tell of newer rules."""
    slow = make_slow(fleet)
    slow.store.is_silent = True
    fleet.net.cut.add(slow.address)
    fleet.run(2)
    fleet.write(CONFIG_KEY, long_list("r8", moved_to="seats"))
    fleet.run(5)
    assert service_of(slow) == "calendar"


def test_storm_of_short_changes_refuses_nobody(fleet: Fleet) -> None:
    """Guards against refusals while each version replaces one that has not arrived."""
    fleet.leader().coordinator.peers.broadcaster._max_broadcast_bytes = 1e9
    for number in range(8, 40):
        fleet.write(CONFIG_KEY, configuration(version=f"r{number}"))
        fleet.run(0.2)
        for host in fleet.hosts:
            service_of(host, "/visits/1")


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def newest(clock: Clock) -> NewestRules:
    newest = NewestRules(now_s=clock.seconds)
    newest.note_received(10)
    return newest


def test_lacking_counts_from_the_oldest_revision_that_is_missing(
    newest: NewestRules, clock: Clock
) -> None:
    newest.note_stated(11)
    clock.advance(0.5)
    newest.note_stated(12)
    assert (newest.revision, newest.lacking_s()) == (12, 0.5)
    newest.note_received(11)
    assert newest.lacking_s() == 0.0
    clock.advance(0.25)
    assert newest.lacking_s() == 0.25
    newest.note_received(13)
    assert (newest.revision, newest.lacking_s()) == (13, 0.0)


def test_older_statements_are_ignored(newest: NewestRules, clock: Clock) -> None:
    newest.note_stated(10)
    newest.note_stated(3)
    assert (newest.revision, newest.lacking_s()) == (10, 0.0)


def test_statement_that_nobody_repeats_is_dropped(
    newest: NewestRules, clock: Clock
) -> None:
    """Guards against a host that refuses for ever after one damaged message."""
    newest.note_stated(2**62)
    for _ in range(3):
        clock.advance(STATED_VALID_S - 1)
        newest.note_stated(2**62)
    assert newest.lacking_s() > STATED_VALID_S
    clock.advance(STATED_VALID_S - 1)
    newest.note_stated(11)
    clock.advance(2)
    assert newest.lacking_s() == 0.0


def test_refusals_begin_well_before_the_rules_delay_has_passed() -> None:
    assert _coordinator.MAX_OUTDATED_SHARE <= 0.5
