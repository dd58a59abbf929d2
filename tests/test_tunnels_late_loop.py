"""Tunnels of a host whose event loop is late, on a virtual clock."""

import struct
from random import Random
from typing import Any

import msgspec
import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from gentianwharf.pauses import PAUSE_THRESHOLD_S
from gentianwharf.tunnels import TunnelClient, TunnelHost
from gentianwharf.tunnels._messages import HostState
from gentianwharf.tunnels._peer import SILENCE_CHECK_INTERVAL_S, STATE_TIMEOUT_S


def client_with_a_host(reactor: MemoryReactorClock) -> TunnelClient:
    client = TunnelClient(
        name="host-x",
        domain="lac",
        secret=lambda: "known-to-all-hosts",
        reactor=reactor,
        rng=Random(1),
    )
    client.set_hosts([TunnelHost(name="h", address="10.0.0.1:7201", domain="lac")])
    client.start()
    factory: Any = reactor.tcpClients[-1][2]
    protocol = factory.buildProtocol(None)
    protocol.makeConnection(StringTransport())
    frame = msgspec.msgpack.encode(HostState(accepts=True))
    protocol.dataReceived(struct.pack("!H", len(frame)) + frame)
    assert client.usable_peers == 1
    return client


def run(reactor: MemoryReactorClock, duration_s: float) -> None:
    for _ in range(round(duration_s / SILENCE_CHECK_INTERVAL_S)):
        reactor.advance(SILENCE_CHECK_INTERVAL_S)


@pytest.mark.parametrize("pause_s", [2 * PAUSE_THRESHOLD_S, 0.45, 2.0])
def test_pauses_of_a_host_without_links_are_no_silence_of_others(
    pause_s: float,
) -> None:
    """Guards against a late loop that resets tunnels and leaves no host for others."""
    reactor = MemoryReactorClock()
    client = client_with_a_host(reactor)
    for _ in range(3):
        run(reactor, 2 * SILENCE_CHECK_INTERVAL_S)
        reactor.advance(pause_s)
    assert client.usable_peers == 1


def test_host_that_is_silent_after_a_pause_is_given_up_in_time() -> None:
    """Guards against requests that go on through a host that is frozen."""
    reactor = MemoryReactorClock()
    client = client_with_a_host(reactor)
    reactor.advance(2.0)
    run(reactor, STATE_TIMEOUT_S + 2 * SILENCE_CHECK_INTERVAL_S)
    assert client.usable_peers == 0
