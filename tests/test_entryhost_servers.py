"""A host's view of a backend server follows the server's entry in the store."""

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from gentianwharf.entryhost import EntryHost
from gentianwharf.entryhost._peer_messages import ServerNoticeReport
from gentianwharf.errors import PeerUnavailableError
from gentianwharf.load._registry import Registry
from gentianwharf.platform import (
    CONFIG_KEY,
    SERVERS_PREFIX,
    ServerEntry,
    decode_host_settings,
)
from gentianwharf.relay import ServerConnectionPool, ServerNotice
from gentianwharf.store import Item
from gentianwharf.topology import BackendServer
from tests.builders_load import server, service
from tests.builders_transport import ProbedTransport
from tests.builders_users_platform import SETTINGS, configuration, server_entry

SERVER_ID = "i-1"


@pytest.fixture
def host() -> EntryHost:
    clock: Any = Clock()
    host = EntryHost(
        settings=decode_host_settings(SETTINGS, peer="test"), reactor=clock
    )
    note_configuration(host, revision=1)
    note_entry(host, revision=2)
    return host


def note_configuration(host: EntryHost, *, revision: int, **services: Any) -> None:
    value = configuration(version=f"r{revision}", **services)
    item = Item(key=CONFIG_KEY, value=value, revision=revision, lease_id=0)
    host._coordinator.rules.note_item(item)


def note_entry(host: EntryHost, *, revision: int, **fields: Any) -> None:
    key = SERVERS_PREFIX + SERVER_ID
    value = server_entry(**({"service": "seats"} | fields))
    item = Item(key=key, value=value, revision=revision, lease_id=0)
    host._coordinator.directory.note_item(key, item)


def test_server_restarted_at_another_address_is_reached_there(host: EntryHost) -> None:
    """Guards against connecting to the former address of a restarted server.

    The server restarts elsewhere under the same id. Hosts listed its new address but
    kept connecting to the former one; only restarted hosts reached it.
    """
    note_entry(host, revision=3, address="10.128.0.77:8080", born=1_780_000_009_000)
    assert host.relay.connections[SERVER_ID].server.address == "10.128.0.77:8080"


def test_connections_follow_the_configured_limit(host: EntryHost) -> None:
    """Guards against more connections to a server than operators allow.

    After operators lowered the limit, hosts kept the former one, and the servers reset
    the excess connections.
    """
    host._coordinator._set_host_count(2)
    assert host.relay.connections[SERVER_ID].max_connections == 65
    seats = {"max-connections": 10}
    note_configuration(host, revision=4, services={"seats": seats, "calendar": seats})
    assert host.relay.connections[SERVER_ID].max_connections == 5


@pytest.mark.parametrize("limited_first", [True, False])
def test_cold_server_is_limited_whenever_its_limit_is_set(
    host: EntryHost, limited_first: bool
) -> None:
    """Guards against full load on a cold server whose limit operators set later."""
    seats = {"max-connections": 10, "cold-per-s": 1.6}
    changes = [
        lambda: note_configuration(
            host, revision=4, services={"seats": seats, "calendar": seats}
        ),
        lambda: note_entry(host, revision=5, **{"cold-remaining": "3000ms"}),
    ]
    for change in changes if limited_first else reversed(changes):
        change()
    state = host._gate._registry.servers[SERVER_ID]
    assert state.notices.cold_until_s == 3.0
    assert not state.has_capacity(1.0), "this host knows no other host"
    assert state.has_capacity(3.0)


def test_gate_follows_changes_of_a_listed_server() -> None:
    """Guards against a restarted server that is used with its former slots."""
    registry = Registry(
        services=[service(servers=0)],
        classes=[],
        domain="lac",
        rng=Random(1),
        daemons=2,
    )
    before = server(0, slots=2)
    registry.set_servers(before.service, [before], 0.0)
    state = registry.servers[before.id]
    after = replace(before, slots=8, connections=80)
    pool = registry.set_servers(before.service, [after], 1.0)
    assert registry.servers[before.id] is state
    assert (state.server.slots, state.max_connections) == (8, 40)
    assert pool is not None
    assert pool.limit.maximum == 8.0


def with_another_address(server: BackendServer) -> BackendServer:
    return replace(server, address="10.128.0.77:8080")


@pytest.fixture
def pool() -> ServerConnectionPool:
    reactor: Any = MemoryReactorClock()
    return ServerConnectionPool(server=server(0), reactor=reactor)


def connected(pool: ServerConnectionPool) -> Any:
    """Complete the connection that the pool is making."""
    reactor: Any = pool._reactor
    protocol = reactor.tcpClients[-1][2].buildProtocol(None)
    protocol.makeConnection(ProbedTransport())
    return protocol


def test_connections_to_a_former_address_are_closed(pool: ServerConnectionPool) -> None:
    """Guards against requests to another server that now has the former address."""
    connection = Deferred.fromCoroutine(pool.acquire())
    connected(pool)
    connection.addCallback(pool.release)
    assert len(pool.idle()) == 1
    pool.update_server(with_another_address(pool.server))
    assert pool.idle() == ()


def test_connection_made_after_an_address_change_is_not_used(
    pool: ServerConnectionPool,
) -> None:
    """Guards against the same through a connection that was being established."""
    connection = Deferred.fromCoroutine(pool.acquire())
    failed: list[Failure] = []
    connection.addErrback(failed.append)
    pool.update_server(with_another_address(pool.server))
    connected(pool)
    assert failed
    assert failed[0].check(PeerUnavailableError)
    assert pool.idle() == ()


@pytest.mark.parametrize("services", [20, 40])
def test_new_configuration_scans_all_servers_once(
    host: EntryHost, services: int
) -> None:
    """Guards against blocking a host by a configuration with many services.

    All listed servers were scanned for each service: 1,219 services with one server
    each took 4.3 s.
    """
    scans = 0
    all_entries = host._coordinator.directory.all

    def counted() -> list[ServerEntry]:
        nonlocal scans
        scans += 1
        return all_entries()

    host._coordinator.directory.all = counted  # type: ignore[method-assign]
    many = {f"s{number}": {"max-connections": 10} for number in range(services)}
    note_configuration(host, revision=5, services=many, routes={})
    assert scans <= 1


def test_server_that_changes_its_service_serves_the_new_one() -> None:
    """Guards against a service without servers after its server changed its service."""
    registry = Registry(
        services=[service(servers=0), service(name="documents", servers=0)],
        classes=[],
        domain="lac",
        rng=Random(1),
        daemons=2,
    )
    before = server(0)
    registry.set_servers(before.service, [before], 0.0)
    after = replace(before, service="documents", domain="ariana")
    registry.set_servers(before.service, [], 1.0)
    pool = registry.set_servers("documents", [after], 1.0)
    assert pool is not None
    assert [state.server for state in pool.states] == [after]
    assert [state.local for state in pool.states] == [False]
    former = registry.set_servers(before.service, [], 2.0)
    assert former is not None
    assert former.states == []
    assert registry.servers[after.id].listed


def test_answer_of_a_server_reaches_the_gate_and_the_leader(host: EntryHost) -> None:
    """Guards against what a server states being known to its own host only."""
    notice = ServerNotice(max_requests_per_s=2.2, is_leaving=True)
    host._admission.note_notice(host._listed.by_id[SERVER_ID], notice)
    assert host._gate.notices.limit_of(SERVER_ID) == 2.2
    assert host._gate.notices.leaving_servers == 1
    assert not host._coordinator.directory.candidates("seats")
    _, _, reported = host._coordinator.peers.observed.collect()
    assert reported == {SERVER_ID: ServerNoticeReport(2.2, True)}


def test_what_the_leader_tells_of_a_server_reaches_the_gate(host: EntryHost) -> None:
    """Guards against hosts that learn what servers state by their own answers only."""
    host._coordinator.peers.on_notices({SERVER_ID: ServerNoticeReport(2.2, True)})
    assert host._gate.notices.limit_of(SERVER_ID) == 2.2
    assert host._gate.notices.leaving_servers == 1
    assert not host._coordinator.directory.candidates("seats")
    host._coordinator.peers.on_notices({SERVER_ID: ServerNoticeReport(None, True)})
    assert host._gate.notices.limit_of(SERVER_ID) is None


def test_leaving_owner_is_used_for_less_than_the_drain_timeout(host: EntryHost) -> None:
    """Guards against a time of the gate's own that exceeds what operators allow."""
    host._admission.note_notice(
        host._listed.by_id[SERVER_ID], ServerNotice(is_leaving=True)
    )
    state = host._gate._registry.servers[SERVER_ID]
    drain_timeout_s = host.settings.agreements.drain_timeout_s
    assert state.accepts_pinned(drain_timeout_s / 2)
    assert not state.accepts_pinned(drain_timeout_s * 0.8)
