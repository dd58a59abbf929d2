"""What connections to servers tell a host about its own links."""

from unittest.mock import Mock

import pytest
from twisted.internet import error as twisted_errors
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.relay import ConnectFailure, Reachability, ServerConnectionPool
from tests.builders_platform import result_of
from tests.builders_relay import make_server


def failed_connection(
    reachability: Reachability,
    *,
    reactor: MemoryReactorClock,
    server: int,
    error: type[Exception],
) -> None:
    pool = ServerConnectionPool(
        server=make_server(server, 9200), reactor=reactor, reachability=reachability
    )
    done = Deferred.fromCoroutine(pool.acquire())
    reactor.tcpClients[-1][2].clientConnectionFailed(Mock(), Failure(error()))
    with pytest.raises(PeerUnavailableError):
        result_of(done)


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
    for server in (1, 1, 2):
        assert not reachability.is_cut_off
        failed_connection(reachability, reactor=reactor, server=server, error=error)
    assert reachability.failures == {failure: 3}
    assert (reachability.is_cut_off, reachability.cut_offs) == (True, 1)


def test_one_server_that_is_down_is_no_lost_link() -> None:
    reactor = MemoryReactorClock()
    reachability = Reachability(now_s=reactor.seconds)
    for _ in range(5):
        failed_connection(
            reachability,
            reactor=reactor,
            server=1,
            error=twisted_errors.ConnectionRefusedError,
        )
    assert not reachability.is_cut_off


def test_opened_connection_shows_that_links_are_back() -> None:
    now_s = 5.0
    reachability = Reachability(now_s=lambda: now_s)
    for server in ("s1", "s2"):
        reachability.note_failed(server, ConnectFailure.TIMED_OUT)
    now_s = 7.5
    assert (reachability.is_cut_off, reachability.unheard_s()) == (True, 2.5)
    reachability.note_opened("s1")
    assert (reachability.is_cut_off, reachability.unheard_s()) == (False, 0.0)
