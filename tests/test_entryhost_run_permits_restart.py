"""Permits of a process that has ended do not belong to the next one of its host."""

from typing import Any, cast

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.entryhost._host_links import HostLinks
from gentianwharf.entryhost._peer_messages import (
    HostAddress,
    HostIdentity,
    PermitAnswer,
    PermitRequest,
)
from gentianwharf.entryhost._run_permits import RunPermit, RunPermits
from tests.builders_store import LinkNet

RUN_S = 10.0
GRANTER = HostAddress("front-2", "10.1.0.2:90")


def permits_of(net: LinkNet, identity: HostIdentity, clock: Clock) -> RunPermits:
    """Return the permits of a process, which asks the one host that is listed."""
    permits = RunPermits(
        identity=identity,
        links=HostLinks(dial=cast(Any, net.dial), now_s=clock.seconds),
        listed=lambda: [GRANTER],
        reactor=clock,
    )

    def receive(data: bytes) -> None:
        permits.handle(msgspec.msgpack.decode(data, type=PermitRequest | PermitAnswer))

    net.listeners[identity.address] = receive
    return permits


def test_process_does_not_get_the_permit_of_the_one_before() -> None:
    """Guards against two copies of a request that ends servers."""
    clock = Clock()
    net = LinkNet()
    net.most_bytes = 10_000
    permits_of(net, HostIdentity(GRANTER.host, GRANTER.address, 5), clock)
    taken: list[RunPermit | None] = []
    for incarnation in (1_000, 2_000):
        host = permits_of(
            net, HostIdentity("front-1", "10.1.0.1:90", incarnation), clock
        )
        taking = Deferred.fromCoroutine(host.take(b"digest", duration_s=RUN_S))
        taking.addCallback(taken.append)
    assert [permit is not None for permit in taken] == [True, False]
