"""Hosts with a quarantine each, on simulated links and servers."""

from dataclasses import dataclass, field
from functools import partial
from random import Random
from types import SimpleNamespace
from typing import Any, Protocol, cast

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from gentianwharf.entryhost._peer_messages import HostAddress, QuarantineNews
from gentianwharf.entryhost._quarantine import HostQuarantine
from gentianwharf.platform import ServerEntry, ServerState
from gentianwharf.relay import (
    ConnectProbe,
    GuardedRun,
    ProbeResult,
    Problem,
    Ticket,
)
from gentianwharf.topology import BackendServer
from tests.builders_peers import RecordingHost, Trio, make_trio
from tests.builders_store import LinkNet

SERVICE = "ledger"
DEADLINE_S = 6.0
SETTLED_S = 0.4
ADMITTED_S = 0.6
"""Also if two hosts that give permits don't answer."""

STEP_S = 0.01
MAX_ATTEMPTS = 2
"""How often a host sends a caller's request to servers."""


@dataclass
class FakePool:
    """The connections to one server, whose probes have a result that the test sets."""

    result: ProbeResult = ProbeResult.REFUSED
    probes: int = 0

    async def probe(self, timeout_s: float) -> ConnectProbe:
        """Return the result."""
        self.probes += 1
        return ConnectProbe(result=self.result)


@dataclass
class FakeExchange:
    """A request that is being served."""

    request: Any
    ticket: Ticket
    recalls: int = 0

    def recall(self) -> None:
        """Count the call."""
        self.recalls += 1


@dataclass
class Call:
    """A request at one host, and its guard."""

    exchange: FakeExchange
    run: GuardedRun
    problems: list[Problem] = field(default_factory=list)

    def admit(self) -> "Deferred[None]":
        """Ask for admission; a refusal is kept in ``problems``."""
        admitting = Deferred.fromCoroutine(self.run.admit())
        return admitting.addErrback(self._keep)

    def _keep(self, failure: Any) -> None:
        failure.trap(Problem)
        self.problems.append(failure.value)


class Fate(Protocol):
    """What becomes of a request at a server."""

    def __call__(
        self, hosts: "QuarantineHosts", call: Call, server: BackendServer
    ) -> bool:
        """Let it happen; return whether the host sends the request once more."""


def _lose(
    hosts: "QuarantineHosts", call: Call, server: BackendServer, result: ProbeResult
) -> bool:
    hosts.server(server.id, result)
    hosts.lose(call, server)
    return False


def _refuse(hosts: "QuarantineHosts", call: Call, server: BackendServer) -> bool:
    call.run.note_refused()
    return True


def _abandon(hosts: "QuarantineHosts", call: Call, server: BackendServer) -> bool:
    hosts.advance(0.5)
    call.run.note_abandoned(server)
    return False


def _hedge(hosts: "QuarantineHosts", call: Call, server: BackendServer) -> bool:
    assert not call.run.may_send(), "a permit is for one copy"
    return _lose(hosts, call, server, ProbeResult.REFUSED)


def _forget(hosts: "QuarantineHosts", call: Call, server: BackendServer) -> bool:
    return False


FATES: dict[str, Fate] = {
    "server-ends": partial(_lose, result=ProbeResult.REFUSED),
    "port-accepts": partial(_lose, result=ProbeResult.OPENED),
    "port-is-silent": partial(_lose, result=ProbeResult.UNKNOWN),
    "hedged": _hedge,
    "server-refuses": _refuse,
    "deadline": _abandon,
    "nothing-is-known": _forget,
}


@dataclass
class QuarantineHosts:
    """Three hosts, the first of which leads, and the servers that they know."""

    trio: Trio
    clock: Clock
    net: LinkNet
    pools: dict[str, FakePool] = field(default_factory=dict)
    entries: dict[str, ServerEntry] = field(default_factory=dict)
    quarantines: list[HostQuarantine] = field(default_factory=list)
    requests: int = 0
    paused: set[int] = field(default_factory=set)
    """Hosts that stand still."""

    def add(self, host: RecordingHost) -> None:
        """Give a host its quarantine."""
        peers = host.peers
        quarantine = HostQuarantine(
            peers=peers,
            entry_of=self.entries.get,
            pool_of=cast(Any, self.pools.get),
            listed=self.listed,
            knows_hosts=lambda: True,
            dial=cast(Any, self.net.dial),
            reactor=self.clock,
            rng=Random(1),
        )
        peers.on_quarantine_message = quarantine.handle
        self.quarantines.append(quarantine)

    def listed(self) -> list[HostAddress]:
        """Return all hosts."""
        identities = [host.peers.identity for host in self.trio.hosts]
        return [HostAddress(known.host, known.address) for known in identities]

    def server(
        self, name: str, result: ProbeResult = ProbeResult.REFUSED
    ) -> BackendServer:
        """Return a listed server, whose port is as told."""
        self.pools.setdefault(name, FakePool()).result = result
        self.entries[name] = ServerEntry(
            id=name,
            born_ms=1,
            service=SERVICE,
            address="10.0.9.1:80",
            domain="a",
            slots=2,
            state=ServerState.READY,
        )
        return BackendServer(
            id=name,
            service=SERVICE,
            domain="a",
            address="10.0.9.1:80",
            slots=2,
            connections=10,
        )

    def end_entry(self, name: str) -> None:
        """Let all hosts learn that a server has started again."""
        entry = self.entries[name]
        for quarantine in self.quarantines:
            quarantine.note_entry_ended(entry, True)
        self.advance(0.1)

    def call(
        self,
        host: int,
        *,
        path: str = "/culprit",
        repeatable: bool = True,
        deadline_s: float = DEADLINE_S,
    ) -> Call:
        """Return a request that has come to a host."""
        self.requests += 1
        ticket = Ticket(
            request_id=f"r{self.requests}",
            service=SERVICE,
            request_class="look-up",
            caller="10.1.0.1",
            key=None,
            shard=None,
            deadline_s=self.clock.seconds() + deadline_s,
            repeatable=repeatable,
        )
        request = SimpleNamespace(
            method=b"GET",
            uri=path.encode(),
            requestHeaders=Headers({b"host": [b"h"]}),
            body=None,
        )
        exchange = FakeExchange(request=request, ticket=ticket)
        return Call(exchange=exchange, run=self.quarantines[host].watch(exchange))

    def lose(self, call: Call, server: BackendServer) -> "Deferred[bool]":
        """Let a server's connection end on which a request was."""
        call.run.note_lost(server)
        settling = Deferred.fromCoroutine(call.run.settle())
        self.advance(SETTLED_S)
        return settling

    def crash(self, host: int, name: str, *, path: str = "/culprit") -> Call:
        """Let a server end under a request at a host."""
        call = self.call(host, path=path)
        admitted = call.admit()
        self.advance(ADMITTED_S)
        assert admitted.called
        server = self.server(name)
        call.run.note_written(server)
        self.lose(call, server)
        call.run.finish()
        return call

    def crash_beside_others(self, ends: int) -> None:
        """Let servers end under a request, and others at about the same time."""
        for number in range(ends):
            self.crash(number % len(self.quarantines), f"s{number}")
            for quarantine in self.quarantines:
                quarantine.records.note_end(f"other-{number}", self.clock.seconds())

    def send_often(self, fate: Fate, *, times: int = 40, gap_s: float = 0.9) -> int:
        """Send a request again and again; return how often it reached a server."""
        return sum(self._send(number, fate, gap_s=gap_s) for number in range(times))

    def _send(self, number: int, fate: Fate, *, gap_s: float) -> int:
        call = self.call(number % len(self.quarantines))
        admitted = call.admit()
        self.advance(ADMITTED_S)
        sends = 0
        while admitted.called and not call.problems and call.run.may_send():
            server = self.server(f"tried-{number}-{sends}")
            call.run.note_written(server)
            sends += 1
            if not fate(self, call, server) or sends == MAX_ATTEMPTS:
                break
            admitted = call.admit()
            self.advance(ADMITTED_S)
        call.run.finish()
        self.advance(gap_s)
        return sends

    def advance(self, duration_s: float) -> None:
        """Let time pass."""
        for _ in range(round(duration_s / STEP_S)):
            for host in self.trio.hosts:
                host.peers.tick()
            for number, quarantine in enumerate(self.quarantines):
                if number not in self.paused:
                    quarantine.tick()
            self.clock.advance(STEP_S)

    def standings(self, *, path: str = "/culprit") -> list[str]:
        """Return how each host deals with a request now."""
        calls = [self.call(host, path=path) for host in range(len(self.quarantines))]
        digests = [cast(Any, call.run).name.digest for call in calls]
        for call in calls:
            call.run.finish()
        return [
            str(quarantine.records.verdict(digest).standing)
            for quarantine, digest in zip(self.quarantines, digests, strict=True)
        ]


def make_hosts(monkeypatch: pytest.MonkeyPatch) -> QuarantineHosts:
    """Return three hosts that know each other."""
    clock, net = Clock(), LinkNet()
    clock.advance(100.0)
    trio = make_trio(monkeypatch, clock, net)
    hosts = QuarantineHosts(trio=trio, clock=clock, net=net)
    for host in trio.hosts:
        hosts.add(host)
    hosts.advance(0.1)
    return hosts


def news_of(data: bytes) -> QuarantineNews:
    """Decode news."""
    return msgspec.msgpack.decode(data, type=QuarantineNews)
