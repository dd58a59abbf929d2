"""Builders for tests of spread: hosts of several failure domains on a fake network."""

from collections.abc import Callable, Iterable
from random import Random
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.platform import (
    Fault,
    FaultyStore,
    MemoryStore,
    VersionedValue,
)
from gentianwharf.spread import SpreadSystem
from gentianwharf.topology import Host

DOMAINS = ("lac", "charguia", "ariana")
PREFIX = "gentianwharf/tunis/"
RULES = PREFIX + "rules"
TICK_S = 0.05
SAME_DOMAIN_S = 0.000_2
OTHER_DOMAIN_S = 0.000_5
STORE_S = 0.003


def make_hosts(per_domain: int, domains: Iterable[str] = DOMAINS) -> list[Host]:
    """Build the hosts of a deployment."""
    return [
        Host(id=f"{domain}-{number}", domain=domain, peer_address=f"127.0.0.1:{number}")
        for domain in domains
        for number in range(1, per_domain + 1)
    ]


@final
class Member:
    """One host: its spread, its own view of the store, what it was told."""

    def __init__(self, *, cluster: "Cluster", host: Host, number: int) -> None:
        self.host = host
        self.store = FaultyStore(
            store=cluster.store, clock=cluster.clock, rng=Random(number)
        )
        self.seen: list[VersionedValue] = []
        self.alive = True
        self.spread = SpreadSystem(
            host=host,
            clock=cluster.clock,
            store=self.store,
            peers=_Outbox(cluster=cluster, sender=host),
            prefixes=[PREFIX + "rules", PREFIX + "table/"],
            on_value=self.seen.append,
            rng=Random(number),
        )

    def revision(self) -> int:
        """Return the revision of the rules that this host holds."""
        value = self.spread.value(RULES)
        return 0 if value is None else value.revision


@final
class _Outbox:
    def __init__(self, *, cluster: "Cluster", sender: Host) -> None:
        self._cluster = cluster
        self._sender = sender

    def send(self, host_id: str, message: bytes) -> bool:
        """Hand over to the fake network."""
        return self._cluster.deliver(self._sender, host_id, message)


@final
class Cluster:
    """Hosts that tick on a virtual clock, a store, and a network that can be cut."""

    def __init__(
        self, *, per_domain: int = 4, seed: int = 1, domains: Iterable[str] = DOMAINS
    ) -> None:
        self.clock = Clock()
        self.rng = Random(seed)
        self.store = MemoryStore(clock=self.clock)
        self.hosts = make_hosts(per_domain, domains)
        self.cut_domains: set[str] = set()
        self.cut_hosts: set[str] = set()
        self.loss = 0.0
        self.messages = 0
        self.bytes = 0
        self._made = seed * 1_000
        self.members: dict[str, Member] = {}
        for host in self.hosts:
            self.start(host.id)

    def start(self, host_id: str, faults: Iterable[Fault] = ()) -> Member:
        """Start a host, or start it again with nothing in it."""
        self.stop(host_id)
        self._made += 1
        host = next(one for one in self.hosts if one.id == host_id)
        member = Member(cluster=self, host=host, number=self._made)
        member.store.faults.extend(faults)
        member.spread.set_hosts(self.hosts)
        self.members[host_id] = member
        self.clock.callLater(self.rng.uniform(0, TICK_S), self._tick, member)
        return member

    def stop(self, host_id: str) -> None:
        """Lose a host."""
        member = self.members.pop(host_id, None)
        if member is not None:
            member.alive = False
            member.spread.close()

    def fault_all(self, *faults: Fault, domain: str | None = None) -> None:
        """Set the faults of every host's store, or of one failure domain's."""
        for member in self.members.values():
            if domain in (None, member.host.domain):
                member.store.faults[:] = faults

    def deliver(self, sender: Host, host_id: str, message: bytes) -> bool:
        """Deliver a message later, unless something is in its way."""
        self.messages += 1
        self.bytes += len(message)
        receiver = next((one for one in self.hosts if one.id == host_id), None)
        if receiver is None or self._is_cut(sender, receiver):
            return True
        if self.loss and self.rng.random() < self.loss:
            return True
        same = sender.domain == receiver.domain
        latency_s = SAME_DOMAIN_S if same else OTHER_DOMAIN_S
        self.clock.callLater(latency_s, self._arrive, sender.id, host_id, message)
        return True

    def write(self, value: bytes, key: str = RULES) -> VersionedValue:
        """Write to the store as an operator does."""
        found = self.store._entries.get(key)
        revision = 0 if found is None else found.value.revision
        written: list[VersionedValue] = []
        Deferred.fromCoroutine(
            self.store.compare_and_swap(key, value, expected_revision=revision)
        ).addCallback(written.append)
        return written[0]

    def run(self, duration_s: float) -> None:
        """Let time pass, from event to event."""
        self.run_until(lambda: False, limit_s=duration_s)

    def run_until(self, condition: Callable[[], bool], *, limit_s: float) -> float:
        """Let time pass until the condition holds; return how long it took."""
        start_s = self.clock.seconds()
        end_s = start_s + limit_s
        while not condition():
            calls = self.clock.getDelayedCalls()
            next_s = min((call.getTime() for call in calls), default=end_s)
            if next_s > end_s:
                self.clock.advance(end_s - self.clock.seconds())
                return limit_s
            self.clock.advance(max(0.0, next_s - self.clock.seconds()))
        return self.clock.seconds() - start_s

    def all_at(self, revision: int, members: Iterable[Member] | None = None) -> bool:
        """Say whether all hosts hold that revision of the rules."""
        some = self.members.values() if members is None else members
        return all(member.revision() == revision for member in some)

    def in_domain(self, domain: str) -> list[Member]:
        """Return the hosts of a failure domain."""
        return [one for one in self.members.values() if one.host.domain == domain]

    def ready(self) -> list[str]:
        """Return the hosts that are ready."""
        return [name for name, one in self.members.items() if one.spread.ready]

    def _is_cut(self, one: Host, other: Host) -> bool:
        if {one.id, other.id} & self.cut_hosts:
            return True
        return one.domain != other.domain and bool(
            {one.domain, other.domain} & self.cut_domains
        )

    def _arrive(self, sender_id: str, host_id: str, message: bytes) -> None:
        member = self.members.get(host_id)
        if member is not None:
            member.spread.received(sender_id, message)

    def _tick(self, member: Member) -> None:
        if member.alive:
            member.spread.tick()
            self.clock.callLater(TICK_S, self._tick, member)
