"""The contract of ``BackendControl``: the stand-in, or ``--servers-bench``.

A bench has ``control``, ``server`` (a ``BackendServer`` that has just started and holds
nothing), ``run(coroutine)`` and ``close()``.
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
    """The stand-in's backend server on a real socket."""

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
        """Run a call."""
        return self._loop.run(coroutine)

    def close(self) -> None:
        """Close every socket."""
        self._loop.run(self._adapter.close())
        self._loop.close()


SERVERS_BENCHES = [StandInServer]


@pytest.fixture
def bench(servers_bench_class: type[StandInServer]) -> Iterator[StandInServer]:
    made = servers_bench_class()
    yield made
    made.close()


def granted(bench: StandInServer, tokens: dict[int, int]) -> GrantOutcome:
    """Order the server to hold shards; it says what it made of it."""
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


def released(bench: StandInServer, tokens: dict[int, int]) -> GrantOutcome:
    service = bench.server.service
    outcome: GrantOutcome = bench.run(
        bench.control.release(bench.server, service, tokens)
    )
    return outcome


def report(bench: StandInServer) -> ServerReport:
    told: ServerReport = bench.run(bench.control.report(bench.server))
    return told


def test_granted_shards_are_held_under_their_tokens(bench: StandInServer) -> None:
    assert granted(bench, {7: 11, 8: 12}) is GrantOutcome.ACCEPTED
    assert granted(bench, {7: 11}) is GrantOutcome.ACCEPTED
    assert report(bench).held == {7: 11, 8: 12}


def test_lower_token_is_fenced_and_takes_nothing(bench: StandInServer) -> None:
    """An order that was delayed comes after the shard's next assignment.

    Taken, it would bring back an owner that has been replaced.
    """
    granted(bench, {7: 11})
    assert granted(bench, {7: 10, 9: 10}) is GrantOutcome.FENCED
    assert report(bench).held == {7: 11}


def test_release_fences_the_shard_for_good(bench: StandInServer) -> None:
    """The old owner's renewal is still on its way when the shard is given back."""
    granted(bench, {7: 11, 8: 11})
    assert released(bench, {7: 12}) is GrantOutcome.ACCEPTED
    assert report(bench).held == {8: 11}
    assert granted(bench, {7: 11}) is GrantOutcome.FENCED
    assert released(bench, {7: 11}) is GrantOutcome.FENCED
    assert released(bench, {7: 12}) is GrantOutcome.ACCEPTED


def test_draining_server_says_so_and_takes_no_new_shard(bench: StandInServer) -> None:
    granted(bench, {7: 11})
    bench.run(bench.control.drain(bench.server))
    assert report(bench).draining
    assert granted(bench, {7: 11}) is GrantOutcome.ACCEPTED
    assert granted(bench, {8: 11}) is GrantOutcome.LEAVING
    bench.run(bench.control.drain(bench.server))


def test_stamp_never_goes_back(bench: StandInServer) -> None:
    stamps_s = [report(bench).stamp_s for _ in range(3)]
    assert stamps_s == sorted(stamps_s)
    assert report(bench).server == bench.server.id


def test_server_that_is_gone_had_no_effect() -> None:
    bench = StandInServer()
    nobody = BackendServer(
        id="calendrier-2",
        service=SERVICE,
        domain="lac",
        address=bench._loop.free_address(),
        slots=6,
        connections=130,
    )
    with pytest.raises(PeerUnavailableError):
        bench.run(bench.control.report(nobody))
    bench.close()
