"""Contract tests of ``BackendControl``, for the stand-in or ``--servers-bench``.

A bench has ``control``, ``server`` (a ``BackendServer`` that has just started and holds
no shards), ``run(coroutine)`` and ``close()``.
"""

from collections.abc import Coroutine, Iterator
from typing import Any

import pytest

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.infra import (
    BackendControl,
    Grant,
    GrantOutcome,
    HttpBackendControl,
    ServerReport,
)
from gentianwharf.standin import StandInBackend
from gentianwharf.topology import BackendServer

from .builders_platform import Loop

SERVICE = "calendrier"


class StandInServer:
    """A stand-in backend server that listens on a real socket."""

    def __init__(self) -> None:
        self._loop = Loop()
        reactor = self._loop.reactor
        self.server = BackendServer(
            id="calendrier-1",
            service=SERVICE,
            domain="lac",
            address=self._loop.free_address(),
            slots=6,
            connections=130,
        )
        stand_in = StandInBackend(server=self.server, clock=reactor)
        ip, _, port = self.server.address.rpartition(":")
        reactor.listenTCP(int(port), stand_in.site(), interface=ip)
        self._adapter = HttpBackendControl(reactor=reactor)
        self.control: BackendControl = self._adapter

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a call and return its result."""
        return self._loop.run(coroutine)

    def close(self) -> None:
        """Close every socket."""
        self._loop.run(self._adapter.close())
        self._loop.close()


SERVERS_BENCHES = [StandInServer]


@pytest.fixture
def bench(servers_bench_class: type[StandInServer]) -> Iterator[StandInServer]:
    bench = servers_bench_class()
    yield bench
    bench.close()


def grant(bench: StandInServer, tokens: dict[int, int]) -> GrantOutcome:
    """Grant shards to the server and return the outcome."""
    order = Grant(
        service=bench.server.service,
        giver="lac-1",
        term=1,
        tokens=tokens,
        validity_s=30.0,
        server_stamp_s=None,
        void_after_stamp_s=None,
    )
    outcome: GrantOutcome = bench.run(bench.control.grant(bench.server, order))
    return outcome


def release(bench: StandInServer, tokens: dict[int, int]) -> GrantOutcome:
    service = bench.server.service
    outcome: GrantOutcome = bench.run(
        bench.control.release(bench.server, service, tokens)
    )
    return outcome


def report(bench: StandInServer) -> ServerReport:
    server_report: ServerReport = bench.run(bench.control.report(bench.server))
    return server_report


def test_granted_shards_are_held_under_their_tokens(bench: StandInServer) -> None:
    assert grant(bench, {7: 11, 8: 12}) is GrantOutcome.ACCEPTED
    assert grant(bench, {7: 11}) is GrantOutcome.ACCEPTED
    assert report(bench).held == {7: 11, 8: 12}


def test_lower_token_is_fenced_and_changes_nothing(bench: StandInServer) -> None:
    """A delayed grant arrives after the shard's next assignment.

    If it were accepted, the replaced owner would hold the shard again.
    """
    grant(bench, {7: 11})
    assert grant(bench, {7: 10, 9: 10}) is GrantOutcome.FENCED
    assert report(bench).held == {7: 11}


def test_release_fences_the_shard_permanently(bench: StandInServer) -> None:
    """The old owner's renewal is still in transit when the shard is released."""
    grant(bench, {7: 11, 8: 11})
    assert release(bench, {7: 12}) is GrantOutcome.ACCEPTED
    assert report(bench).held == {8: 11}
    assert grant(bench, {7: 11}) is GrantOutcome.FENCED
    assert release(bench, {7: 11}) is GrantOutcome.FENCED
    assert release(bench, {7: 12}) is GrantOutcome.ACCEPTED


def test_draining_server_reports_it_and_refuses_new_shards(
    bench: StandInServer,
) -> None:
    grant(bench, {7: 11})
    bench.run(bench.control.drain(bench.server))
    assert report(bench).draining
    assert grant(bench, {7: 11}) is GrantOutcome.ACCEPTED
    assert grant(bench, {8: 11}) is GrantOutcome.LEAVING
    bench.run(bench.control.drain(bench.server))


def test_stamp_never_decreases(bench: StandInServer) -> None:
    stamps_s = [report(bench).stamp_s for _ in range(3)]
    assert stamps_s == sorted(stamps_s)
    assert report(bench).server == bench.server.id


def test_unreachable_server_raises_peer_unavailable() -> None:
    bench = StandInServer()
    unreachable = BackendServer(
        id="calendrier-2",
        service=SERVICE,
        domain="lac",
        address=bench._loop.free_address(),
        slots=6,
        connections=130,
    )
    with pytest.raises(PeerUnavailableError):
        bench.run(bench.control.report(unreachable))
    bench.close()
