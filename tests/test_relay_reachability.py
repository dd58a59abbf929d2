"""Connections that are not opened are counted by how they fail."""

from random import Random
from unittest.mock import Mock

import pytest
from twisted.internet import error as twisted_errors
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.relay import (
    ConnectFailure,
    LinkMonitor,
    NoTunnels,
    Reachability,
    ServerConnectionPool,
    ServerLinks,
)
from tests.builders_platform import result_of
from tests.builders_relay import make_server


@pytest.mark.parametrize(
    ("error", "failure"),
    [
        pytest.param(
            twisted_errors.ConnectionRefusedError,
            ConnectFailure.REFUSED,
            id="refused",
        ),
        pytest.param(
            twisted_errors.TimeoutError, ConnectFailure.TIMED_OUT, id="hanging"
        ),
        pytest.param(twisted_errors.NoRouteError, ConnectFailure.OTHER, id="no-route"),
    ],
)
def test_unreachable_servers_are_counted_by_failure(
    error: type[Exception], failure: ConnectFailure
) -> None:
    """Guards against a host without links that looks like one with slow servers."""
    reactor = MemoryReactorClock()
    reachability = Reachability(now_s=reactor.seconds)
    pools: list[ServerConnectionPool] = []
    monitor = LinkMonitor(
        reachability=reachability,
        pools=lambda: pools,
        domain="lac",
        reactor=reactor,
        rng=Random(1),
    )
    links = ServerLinks(monitor=monitor, tunnels=NoTunnels())
    pools += [
        ServerConnectionPool(
            server=make_server(number, 9200), reactor=reactor, links=links
        )
        for number in range(4)
    ]
    reactor.advance(1.0)
    done = Deferred.fromCoroutine(pools[0].acquire())
    while reactor.tcpClients:
        reactor.tcpClients.pop()[2].clientConnectionFailed(Mock(), Failure(error()))
    with pytest.raises(PeerUnavailableError):
        result_of(done)
    assert reachability.failures == {failure: 4}
    assert reachability.unreachable == {"s0", "s1", "s2", "s3"}
    assert (reachability.is_cut_off, reachability.cut_offs) == (True, 1)


def test_opened_connections_show_that_links_are_back() -> None:
    now_s = 5.0
    reachability = Reachability(now_s=lambda: now_s)
    for server in ("s1", "s2"):
        reachability.note_failed(server, ConnectFailure.TIMED_OUT)
    reachability.note_all_failed()
    now_s = 7.5
    assert (reachability.is_cut_off, reachability.unheard_s()) == (True, 2.5)
    reachability.note_opened("s1")
    assert (reachability.is_cut_off, reachability.unheard_s()) == (True, 0.0)
    reachability.note_opened("s2")
    assert not reachability.is_cut_off
