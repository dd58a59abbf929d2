"""Notices of servers reach all hosts by way of the leader."""

from dataclasses import replace

import pytest

from gentianwharf.entryhost._fleet_notices import REPEAT_INTERVAL_S, FleetNotices
from gentianwharf.entryhost._peer_messages import Notices, ServerNoticeReport
from gentianwharf.relay import NO_NOTICE, ServerNotice
from tests.builders_entryhost import Fleet
from tests.builders_load import server

LIMITED = ServerNotice(max_requests_per_s=2.2)
LEAVING = ServerNotice(is_leaving=True)


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    fleet = Fleet(monkeypatch, hosts=3)
    fleet.run(5.0)
    return fleet


def told(fleet: Fleet) -> list[Notices]:
    """Return a dict for each host, to which the notices that it is told are added."""
    tables: list[Notices] = [{} for _ in fleet.hosts]
    for host, table in zip(fleet.hosts, tables, strict=True):
        host.coordinator.peers.on_notices = table.update
    return tables


def test_limit_that_one_host_learns_reaches_all_hosts(fleet: Fleet) -> None:
    """Guards against hosts that each learn of a limit by exceeding it."""
    tables = told(fleet)
    fleet.follower().coordinator.note_notice(server(0), LIMITED)
    fleet.run(0.5)
    assert tables == [{"inscription-0": ServerNoticeReport(2.2)}] * 3


def test_end_of_a_limit_reaches_all_hosts(fleet: Fleet) -> None:
    """Guards against hosts that get no answers of a server and avoid it for ever."""
    tables = told(fleet)
    follower = fleet.follower().coordinator
    follower.note_notice(server(0), LIMITED)
    fleet.run(1.0)
    follower.note_notice(server(0), NO_NOTICE)
    fleet.run(0.5)
    assert tables == [{"inscription-0": ServerNoticeReport(None)}] * 3


@pytest.mark.parametrize("store_is_down", [False, True])
def test_server_that_states_to_leave_may_hold_no_shards(
    fleet: Fleet, store_is_down: bool
) -> None:
    """Guards against a leader that waits for the store to say that a server leaves."""
    for name in ("s1", "s2"):
        fleet.list_server(name)
    fleet.run(1.0)
    for host in fleet.hosts:
        host.store.is_silent = store_is_down
    follower = fleet.follower()
    follower.coordinator.note_notice(replace(server(0), id="s1"), LEAVING)
    fleet.run(0.5)
    for host in fleet.hosts:
        directory = host.coordinator.directory
        assert [entry.id for entry in directory.candidates("calendar")] == ["s2"]
        assert len(directory.usable("calendar")) == 2


def test_server_that_left_stays_so_when_it_is_listed_again(fleet: Fleet) -> None:
    """Guards against a notice that is forgotten when an entry is written again."""
    fleet.list_server("s1")
    fleet.run(1.0)
    fleet.follower().coordinator.note_notice(replace(server(0), id="s1"), LEAVING)
    fleet.run(0.5)
    fleet.remove_server("s1")
    fleet.run(0.5)
    fleet.list_server("s1")
    fleet.run(0.5)
    for host in fleet.hosts:
        assert not host.coordinator.directory.candidates("calendar")


def test_notices_are_repeated() -> None:
    """Guards against a host that misses the only message about a limit."""
    now_s = 10.0
    notices = FleetNotices(now_s=lambda: now_s)
    notices.note("ledger-1", ServerNoticeReport(2.2))
    assert notices.due()
    assert not notices.due()
    now_s += REPEAT_INTERVAL_S
    assert notices.due() == {"ledger-1": ServerNoticeReport(2.2)}
