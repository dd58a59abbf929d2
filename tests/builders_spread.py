"""Builders for replication tests: hosts of several failure domains, a fake network."""

from collections.abc import Callable, Iterable, Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, final

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from zope.interface import implementer

from gentianwharf.infra import (
    Fault,
    FaultKind,
    FaultyStore,
    KeyValueStore,
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


def make_hosts(per_domain: int, domains: Iterable[str] = DOMAINS) -> list[Host]:
    """Build the hosts of a deployment."""
    return [
        Host(
            id=f"{domain}-{number}",
            domain=domain,
            peer_address=f"127.0.{place}.1:{number}",
        )
        for place, domain in enumerate(domains)
        for number in range(1, per_domain + 1)
    ]


@final
@implementer(IReactorTime)
class EventClock:
    """A virtual clock for many hosts, with a heap where ``task.Clock`` sorts a list."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._numbers = count()
        self._heap: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        """Return the virtual time."""
        return self._now_s

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: Any,  # noqa: A002
        *args: object,
        **kw: object,
    ) -> DelayedCall:
        """Schedule a call, which may be cancelled but not rescheduled."""
        call = DelayedCall(
            self._now_s + delay,
            callable,
            args,
            kw,
            lambda _: None,
            _reject_reschedule,
            self.seconds,
        )
        heappush(self._heap, (call.getTime(), next(self._numbers), call))
        return call

    def getDelayedCalls(self) -> list[DelayedCall]:  # noqa: N802
        """Return the pending calls."""
        return [call for _, _, call in self._heap if call.active()]

    def advance(self, duration_s: float) -> None:
        """Advance the clock, running each call at its time."""
        end_s = self._now_s + duration_s
        while self.run_next(end_s=end_s):
            pass

    def run_next(self, *, end_s: float) -> bool:
        """Advance to the next call and run it; False if there is none by ``end_s``."""
        while self._heap and not self._heap[0][2].active():
            heappop(self._heap)
        if not self._heap or self._heap[0][0] > end_s:
            self._now_s = end_s
            return False
        self._now_s, _, call = heappop(self._heap)
        call.called = 1
        call.func(*call.args, **call.kw)
        return True


def _reject_reschedule(_: DelayedCall) -> None:
    raise NotImplementedError


@final
class Member:
    """A host with its replication, its connection to the store and received values."""

    def __init__(self, *, cluster: "Cluster", host: Host, number: int) -> None:
        self.host = host
        self.store = FaultyStore(
            store=cluster.shared, clock=cluster.clock, rng=Random(number)
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
        """Return the revision of the rules on this host, 0 if it has none."""
        value = self.spread.value(RULES)
        return 0 if value is None else value.revision


@final
class _Outbox:
    def __init__(self, *, cluster: "Cluster", sender: Host) -> None:
        self._cluster = cluster
        self._sender = sender

    def send(self, host_id: str, message: bytes) -> bool:
        """Send through the fake network."""
        return self._cluster.deliver(self._sender, host_id, message)


@final
class Cluster:
    """Hosts on a virtual clock, a store, and a network that can be partitioned."""

    def __init__(
        self,
        *,
        per_domain: int = 4,
        seed: int = 1,
        domains: Iterable[str] = DOMAINS,
        tick_s: float = TICK_S,
        store_s: float = 0.0,
        busy_s: float = 0.0,
    ) -> None:
        self._tick_s = tick_s
        self._busy_s = busy_s
        self.clock = EventClock()
        self.rng = Random(seed)
        self.store = MemoryStore(clock=self.clock)
        late = Fault(kind=FaultKind.ANSWER_LATE, delay_s=store_s)
        self.shared: KeyValueStore = FaultyStore(
            store=self.store,
            clock=self.clock,
            rng=self.rng,
            faults=[late] if store_s else [],
        )
        self.hosts = make_hosts(per_domain, domains)
        self._by_id = {host.id: host for host in self.hosts}
        self.cut_domains: set[str] = set()
        self.cut_hosts: set[str] = set()
        self.loss = 0.0
        self.messages = 0
        self.bytes = 0
        self._start_count = seed * 1_000
        self.members: dict[str, Member] = {}
        for host in self.hosts:
            self.start(host.id)

    def start(self, host_id: str, faults: Iterable[Fault] = ()) -> Member:
        """Start a host, or restart it with empty state."""
        self.stop(host_id)
        self._start_count += 1
        host = self._by_id[host_id]
        member = Member(cluster=self, host=host, number=self._start_count)
        member.store.faults.extend(faults)
        member.spread.set_hosts(self.hosts)
        self.members[host_id] = member
        self.clock.callLater(self.rng.uniform(0, self._tick_s), self._tick, member)
        return member

    def stop(self, host_id: str) -> None:
        """Stop a host without notice to others."""
        member = self.members.pop(host_id, None)
        if member is not None:
            member.alive = False
            member.spread.close()

    def fault_all(self, *faults: Fault, domain: str | None = None) -> None:
        """Set the store faults of all hosts, or of those of one failure domain."""
        for member in self.members.values():
            if domain in (None, member.host.domain):
                member.store.faults[:] = faults

    def deliver(self, sender: Host, host_id: str, message: bytes) -> bool:
        """Deliver a message after its latency, unless it is lost or cut off."""
        self.messages += 1
        self.bytes += len(message)
        receiver = self._by_id.get(host_id)
        if receiver is None or self._is_cut(sender, receiver):
            return True
        if self.loss and self.rng.random() < self.loss:
            return True
        same = sender.domain == receiver.domain
        latency_s = SAME_DOMAIN_S if same else OTHER_DOMAIN_S
        # An event loop that serves callers handles a message with a delay.
        latency_s += self.rng.uniform(0, self._busy_s) if self._busy_s else 0.0
        self.clock.callLater(latency_s, self._arrive, sender.id, host_id, message)
        return True

    def write(self, value: bytes, key: str = RULES) -> VersionedValue:
        """Write a value to the store, as an operator does."""
        found = self.store._entries.get(key)
        revision = 0 if found is None else found.value.revision
        written: list[VersionedValue] = []
        Deferred.fromCoroutine(
            self.store.compare_and_swap(key, value, expected_revision=revision)
        ).addCallback(written.append)
        return written[0]

    def run(self, duration_s: float) -> None:
        """Advance the clock from event to event."""
        self.run_until(lambda: False, limit_s=duration_s)

    def run_until(self, condition: Callable[[], bool], *, limit_s: float) -> float:
        """Advance the clock until the condition holds; return the elapsed time."""
        start_s = self.clock.seconds()
        end_s = start_s + limit_s
        while not condition():
            if not self.clock.run_next(end_s=end_s):
                return limit_s
        return self.clock.seconds() - start_s

    def all_at(self, revision: int, members: Iterable[Member] | None = None) -> bool:
        """Return whether all hosts hold that revision of the rules."""
        selected = self.members.values() if members is None else members
        return all(member.revision() == revision for member in selected)

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
            self.clock.callLater(self._tick_s, self._tick, member)


WITHIN_S = 2.0
"""Target time within which a change of the rules is in force on all hosts."""


def running(cluster: Cluster) -> Cluster:
    """Return a cluster in which all hosts hold the first rules."""
    cluster.write(b"first")
    cluster.run(2)
    assert cluster.all_at(1)
    assert len(cluster.ready()) == len(cluster.hosts)
    return cluster


def assert_monotonic(member: Member) -> None:
    """Check that the revisions that a host received never decrease."""
    revisions = [value.revision for value in member.seen if value.key == RULES]
    assert revisions == sorted(set(revisions))


def watchers_of(cluster: Cluster, domain: str) -> list[Member]:
    """Return the members of a domain that watch the store."""
    return [one for one in cluster.in_domain(domain) if one.spread.state().watching]


def assert_reaches_all(cluster: Cluster, *, limit_s: float = WITHIN_S) -> None:
    """Write a value, and check that it reaches every host within ``limit_s``."""
    revision = cluster.write(b"next").revision
    took_s = cluster.run_until(lambda: cluster.all_at(revision), limit_s=limit_s)
    assert took_s < limit_s


def checked_cluster() -> Iterator[Cluster]:
    """Yield a running cluster; finally check that no host's revision decreased."""
    made = running(Cluster())
    yield made
    for member in made.members.values():
        assert_monotonic(member)
