"""Tunnels of a host whose event loop is late, on a virtual clock."""

import struct
from random import Random
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred

from gentianwharf.pauses import PAUSE_THRESHOLD_S
from gentianwharf.tunnels import Tunnel, TunnelClient, TunnelHost
from gentianwharf.tunnels._client import FIRST_PEER_TIMEOUT_S
from gentianwharf.tunnels._messages import HostState, TunnelOpened
from gentianwharf.tunnels._peer import SILENCE_CHECK_INTERVAL_S, STATE_TIMEOUT_S

from .builders_relay import make_server
from .builders_tunnels import ConnectTimeoutReactor

LONG_PAUSES_S = (FIRST_PEER_TIMEOUT_S + 0.1, 2.0)
"""Pauses longer than the wait for the first host."""


def started_client(reactor: ConnectTimeoutReactor) -> TunnelClient:
    client = TunnelClient(
        name="host-x",
        domain="lac",
        secret=lambda: "known-to-all-hosts",
        reactor=reactor,
        rng=Random(1),
    )
    client.set_hosts([TunnelHost(name="h", address="10.0.0.1:7201", domain="lac")])
    client.start()
    return client


def client_with_a_host(reactor: ConnectTimeoutReactor) -> TunnelClient:
    client = started_client(reactor)
    receive(reactor.open_last_connection(), HostState(accepts=True))
    assert client.usable_peers == 1
    return client


def receive(protocol: Any, message: HostState | TunnelOpened) -> None:
    frame = msgspec.msgpack.encode(message)
    protocol.dataReceived(struct.pack("!H", len(frame)) + frame)


def begin_open(client: TunnelClient) -> "Deferred[Any]":
    """Begin to open a tunnel."""
    return Deferred.fromCoroutine(client.open(make_server(0, 7301), timeout_s=0.5))


def run(reactor: ConnectTimeoutReactor, duration_s: float) -> None:
    for _ in range(round(duration_s / SILENCE_CHECK_INTERVAL_S)):
        reactor.advance(SILENCE_CHECK_INTERVAL_S)


@pytest.mark.parametrize("pause_s", [2 * PAUSE_THRESHOLD_S, 0.45, 2.0])
def test_pauses_of_a_host_without_links_are_no_silence_of_others(
    pause_s: float,
) -> None:
    """Guards against a late loop that resets tunnels and leaves no host for others."""
    reactor = ConnectTimeoutReactor()
    client = client_with_a_host(reactor)
    for _ in range(3):
        run(reactor, 2 * SILENCE_CHECK_INTERVAL_S)
        reactor.advance(pause_s)
    assert client.usable_peers == 1


def test_host_that_is_silent_after_a_pause_is_given_up_in_time() -> None:
    """Guards against requests that go on through a host that is frozen."""
    reactor = ConnectTimeoutReactor()
    client = client_with_a_host(reactor)
    reactor.advance(2.0)
    run(reactor, STATE_TIMEOUT_S + 2 * SILENCE_CHECK_INTERVAL_S)
    assert client.usable_peers == 0


@pytest.mark.parametrize("pause_s", LONG_PAUSES_S)
@pytest.mark.parametrize(
    "is_begun_before_pause", [True, False], ids=["before", "after"]
)
def test_request_waits_for_the_first_host_after_a_pause(
    is_begun_before_pause: bool, pause_s: float
) -> None:
    """Guards against requests refused before received states of hosts are read."""
    reactor = ConnectTimeoutReactor()
    client = started_client(reactor)
    subscription = reactor.open_last_connection()
    if is_begun_before_pause:
        tunnel = begin_open(client)
        reactor.advance(pause_s)
    else:
        reactor.advance(pause_s)
        tunnel = begin_open(client)
    receive(subscription, HostState(accepts=True))
    assert not tunnel.called
    receive(reactor.open_last_connection(), TunnelOpened())
    assert isinstance(tunnel.result, Tunnel)


@pytest.mark.parametrize("pause_s", LONG_PAUSES_S)
def test_reply_that_waits_unread_during_a_pause_opens_the_tunnel(
    pause_s: float,
) -> None:
    """Guards against aborting tunnels that the other host has opened."""
    reactor = ConnectTimeoutReactor()
    client = client_with_a_host(reactor)
    tunnel = begin_open(client)
    handshake = reactor.open_last_connection()
    reactor.advance(pause_s)
    assert not handshake.transport.is_aborted
    receive(handshake, TunnelOpened())
    assert isinstance(tunnel.result, Tunnel)


def test_request_waits_for_no_host_that_stays_silent() -> None:
    """Guards against requests that wait indefinitely after a pause."""
    reactor = ConnectTimeoutReactor()
    tunnel = begin_open(started_client(reactor))
    reactor.advance(LONG_PAUSES_S[-1])
    run(reactor, FIRST_PEER_TIMEOUT_S + 2 * SILENCE_CHECK_INTERVAL_S)
    assert tunnel.result is None


@pytest.mark.parametrize("pause_s", LONG_PAUSES_S)
def test_connection_that_opened_during_a_pause_is_used(pause_s: float) -> None:
    """Guards against ending peers and refusing requests after a pause."""
    reactor = ConnectTimeoutReactor()
    client = started_client(reactor)
    tunnel = begin_open(client)
    reactor.advance(pause_s)
    receive(reactor.open_last_connection(), HostState(accepts=True))
    assert not tunnel.called
    reactor.advance(pause_s)
    receive(reactor.open_last_connection(), TunnelOpened())
    assert isinstance(tunnel.result, Tunnel)
