"""Connections that are not opened are counted by how they fail."""

from random import Random
from unittest.mock import Mock

import pytest
from twisted.internet import error as twisted_errors
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.relay import (
    ConnectFailure,
    LinkMonitor,
    ProbeResult,
    Reachability,
    ServerConnectionPool,
    ServerLinks,
)
from gentianwharf.topology import BackendServer
from tests.builders_links import linked_pools
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
    reachability, pools = linked_pools(reactor)
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


def test_connection_by_tunnel_that_takes_all_the_time_left_is_not_opened() -> None:
    """Guards against a direct connection with a timeout of no time at all."""
    reactor = MemoryReactorClock()
    reachability = Reachability(now_s=reactor.seconds)
    monitor = LinkMonitor(
        reachability=reachability,
        pools=list,
        domain="lac",
        reactor=reactor,
        rng=Random(1),
    )

    class SlowTunnels:
        async def open(self, server: BackendServer, *, timeout_s: float) -> None:
            await deferLater(reactor, timeout_s)

    pool = ServerConnectionPool(
        server=make_server(0, 9200),
        reactor=reactor,
        links=ServerLinks(monitor=monitor, tunnels=SlowTunnels()),
    )
    reachability.note_all_failed()
    done = Deferred.fromCoroutine(pool.acquire(timeout_s=0.2))
    reactor.advance(0.2)
    with pytest.raises(PeerUnavailableError, match="no time"):
        result_of(done)


@pytest.mark.parametrize(
    ("error", "others_open", "result"),
    [
        pytest.param(
            twisted_errors.ConnectionRefusedError, True, ProbeResult.REFUSED, id="ended"
        ),
        pytest.param(
            twisted_errors.ConnectionRefusedError,
            False,
            ProbeResult.UNKNOWN,
            id="cut-off",
        ),
        pytest.param(
            twisted_errors.TimeoutError, True, ProbeResult.UNKNOWN, id="silent"
        ),
    ],
)
def test_refused_connection_proves_an_end_only_where_links_work(
    error: type[Exception], others_open: bool, result: ProbeResult
) -> None:
    """Guards against hosts without links that take living servers for ended ones."""
    reactor = MemoryReactorClock()
    reachability, pools = linked_pools(reactor)
    done = Deferred.fromCoroutine(pools[0].probe(0.15))
    if others_open:
        reachability.note_opened("s1")
    while reactor.tcpClients:
        reactor.tcpClients.pop()[2].clientConnectionFailed(Mock(), Failure(error()))
    assert result_of(done).result is result
