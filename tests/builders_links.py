"""A link monitor on a virtual clock, with servers that can or can't be reached."""

from dataclasses import dataclass, field
from random import Random
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater
from twisted.internet.testing import MemoryReactorClock

from gentianwharf.relay import (
    ConnectFailure,
    LinkMonitor,
    NoTunnels,
    Reachability,
    ServerConnectionPool,
    ServerLinks,
)
from gentianwharf.topology import BackendServer
from tests.builders_relay import make_server

CONNECT_S = 0.002


@final
@dataclass(kw_only=True)
class FakeConnection:
    """A direct connection with a request in flight."""

    server: str
    sent_s: float
    repeatable: bool = True
    unacknowledged: int = 0

    def server_id(self) -> str:
        """Return the id of its server."""
        return self.server

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes were sent and not acknowledged."""
        return self.unacknowledged

    __hash__ = object.__hash__


@final
@dataclass(kw_only=True)
class FakePool:
    """The connections to one server, as the monitor uses them."""

    server: BackendServer
    links: "Links"
    retired: list[str] = field(default_factory=list)

    def has_room(self) -> bool:
        """Return True."""
        return True

    async def warm_up(self, timeout_s: float) -> bool:
        """Connect, or fail in the way that is set for the server."""
        self.links.probed.append(self.server.id)
        failure = self.links.failures.get(self.server.id)
        hangs = failure is ConnectFailure.TIMED_OUT
        await deferLater(self.links.clock, timeout_s if hangs else CONNECT_S)
        if failure is not None:
            self.links.reachability.note_failed(self.server.id, failure)
            return False
        self.links.reachability.note_opened(self.server.id)
        return True

    def retire_direct(self) -> None:
        """Record the call."""
        self.retired.append("direct")

    def retire_tunnels(self) -> None:
        """Record the call."""
        self.retired.append("tunnels")


@final
class Links:
    """A host's links to ``servers`` servers; ``failures`` names those that fail."""

    def __init__(self, *, servers: int = 6, seed: int = 1, domain: str = "lac") -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.probed: list[str] = []
        self.failures: dict[str, ConnectFailure] = {}
        self.reachability = Reachability(now_s=self.clock.seconds)
        self.pools = [
            FakePool(server=make_server(number, 9200), links=self)
            for number in range(servers)
        ]
        self.monitor = LinkMonitor(
            reachability=self.reachability,
            pools=lambda: self.pools,
            domain=domain,
            reactor=self.clock,
            rng=Random(seed),
        )
        self.clock.advance(1.0)

    def fail(self, failure: ConnectFailure, *, except_for: int = 0) -> None:
        """Let connections to all servers fail but the first ``except_for``."""
        self.failures = {pool.server.id: failure for pool in self.pools[except_for:]}

    def run(self, duration_s: float, *, answered: bool = False) -> None:
        """Let time pass, with a tick every 20 ms; ``answered``: servers are heard."""
        for _ in range(round(duration_s / 0.02)):
            if answered:
                self.reachability.note_heard()
            self.monitor.tick()
            self.clock.advance(0.02)

    def send(
        self, server: int, *, unacknowledged: int = 0, age_s: float = 0.0
    ) -> FakeConnection:
        """Return a connection on which a request was sent ``age_s`` ago."""
        connection = FakeConnection(
            server=f"s{server}",
            sent_s=self.clock.seconds() - age_s,
            unacknowledged=unacknowledged,
        )
        self.monitor.in_flight[connection] = None
        return connection

    def confirm(self) -> "Deferred[bool]":
        """Report that a connection failed."""
        return Deferred.fromCoroutine(self.monitor.confirm())


def linked_pools(
    reactor: MemoryReactorClock,
) -> tuple[Reachability, list[ServerConnectionPool]]:
    """Return connections to four servers, of a host that started a second ago."""
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
    return reachability, pools
