"""The soak's proxies pass on a connection's bytes in order, or end it."""

from typing import Any

import pytest
from soak._proxy import DELAY_S, LinkFault, Proxy
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock, StringTransport


class Link:
    """A proxied connection from a host to a server, which ``connect`` completes."""

    def __init__(self, *, connects: bool = True) -> None:
        reactor: Any = MemoryReactorClock()
        self.reactor = reactor
        self.proxy = Proxy(
            reactor=reactor, listens_on="127.0.0.1:1", target="127.0.0.2:2"
        )
        self.host, self.server = StringTransport(), StringTransport()
        incoming: Any = self.proxy.buildProtocol(None)
        incoming.makeConnection(self.host)
        self.send = incoming.dataReceived
        self.close = incoming.connectionLost
        if connects:
            self.connect()

    def connect(self) -> bool:
        """Let the server accept; return whether the proxy still wants to connect."""
        outgoing = self.reactor.tcpClients[0][2].buildProtocol(None)
        if outgoing is not None:
            outgoing.makeConnection(self.server)
            self.end_server = outgoing.connectionLost
        return outgoing is not None


def test_later_data_does_not_overtake_delayed_data() -> None:
    """Guards against changed bodies that only the proxy has changed."""
    link = Link()
    link.proxy.begin(LinkFault.DELAY)
    link.send(b"first ")
    link.proxy.end()
    link.send(b"second")
    link.reactor.advance(2 * DELAY_S)
    assert link.server.value() == b"first second"


@pytest.mark.parametrize("later", [LinkFault.DELAY, LinkFault.SILENT_ANSWERS])
def test_connection_that_lost_data_is_reset_when_another_fault_begins(
    later: LinkFault,
) -> None:
    """Guards against bodies from which only the proxy has taken a part."""
    link = Link()
    link.proxy.begin(LinkFault.SILENCE)
    link.send(b"lost")
    link.proxy.begin(later)
    assert link.host.disconnecting or link.host.disconnected
    assert link.server.disconnecting or link.server.disconnected


def test_same_fault_again_resets_nothing() -> None:
    link = Link()
    link.proxy.begin(LinkFault.SILENCE)
    link.proxy.begin(LinkFault.SILENCE)
    assert not link.host.disconnected


def test_held_data_is_delivered_in_its_order_before_the_close() -> None:
    """Guards against a link that loses or reorders what it holds."""
    link = Link()
    link.proxy.buffer.hold()
    link.send(b"first ")
    link.send(b"second")
    link.reactor.advance(0)
    link.close()
    link.reactor.advance(2 * DELAY_S)
    assert not link.server.value()
    assert not link.server.disconnecting
    assert link.proxy.buffer.release() == 3
    assert link.server.value() == b"first second"
    assert link.server.disconnecting


def test_data_that_came_before_the_server_accepted_is_delivered() -> None:
    """Guards against requests that only the proxy has lost."""
    link = Link(connects=False)
    link.send(b"early")
    link.reactor.advance(0)
    assert link.connect()
    assert link.server.value() == b"early"


@pytest.mark.parametrize("end", ["closed", "reset"])
def test_server_is_not_reached_for_a_connection_that_has_ended(end: str) -> None:
    """Guards against orders that reach the life of a server after the one meant."""
    link = Link(connects=False)
    link.send(b"early")
    link.reactor.advance(0)
    if end == "reset":
        link.proxy.reset()
        assert link.host.disconnecting or link.host.disconnected
    else:
        link.close()
    assert not link.connect()
    assert not link.server.value()


@pytest.mark.parametrize("fault", [LinkFault.NONE, LinkFault.SILENCE, LinkFault.DELAY])
def test_connection_ends_with_the_process_of_its_server(fault: LinkFault) -> None:
    """Guards against connections that outlive a life of a server."""
    link = Link()
    link.proxy.begin(fault)
    link.end_server()
    assert link.host.disconnecting


def test_proxy_that_still_closes_listens_once_it_has(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs that end since an address is not free yet."""
    link = Link()
    closed: Deferred[None] = Deferred()
    monkeypatch.setattr(link.proxy._port, "stopListening", lambda: closed)
    link.proxy.stop_listening()
    link.proxy.listen()
    assert len(link.reactor.tcpServers) == 1
    closed.callback(None)
    assert len(link.reactor.tcpServers) == 2
