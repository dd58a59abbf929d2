"""What one host spends on rights, grants and control, by the size of its domain.

One real ``OwnershipSystem`` on a virtual clock; its fellow hosts and servers are
small fakes that answer at once. Messages pass through their real encoding, so that
bytes and processor time are those of a daemon, without its sockets.

Hosts differ by what they do for rights: two of a domain ask the witnesses (``asker``);
all others ask a host that is nearer to these (``control`` without more).
"""

from collections.abc import Iterator, Mapping, Sequence
from functools import partial
from random import Random
from time import process_time
from typing import Any, final

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.infra import GrantOutcome, ServerReport, VersionedValue
from gentianwharf.ownership import TICK_S, Message, OwnershipSystem, decode, encode
from gentianwharf.ownership._asking import tree_order
from gentianwharf.ownership._messages import (
    ControlAlive,
    Item,
    Items,
    RightAnswer,
    RightAsk,
    ShareAnswer,
    ShareAsk,
)
from gentianwharf.ownership._pace import aimed_age_s, steps_from_askers
from gentianwharf.ownership._rights import shorten
from gentianwharf.ownership._tables import (
    WitnessList,
    checksum_of,
    chunk_key,
    witness_key,
)
from gentianwharf.ownership._timing import RIGHT_USE_S
from gentianwharf.placement import PlacementWeights
from gentianwharf.topology import BackendServer, Domain, Host, Service

from ._figure import Figure
from ._timing import time_us
from .capacity_memory import SERVERS, SERVICE, chunk_values

SEED = 1
SHARDS = 1_024
HOST_SIZES = (3, 12, 36, 150, 500)
DOMAIN_SIZES = (3, 6, 12, 24)
HOSTS_WITH_MANY_DOMAINS = 12
DOMAINS = 3
VERSION_SIZES = (4, 16, 64, 256)
WITNESSES = 5
# Calendrier's 16 servers over 12 entry hosts, as Tunis has them.
SERVERS_A_HOST = 16 / 12
MEASURED_S = 1.0
# Rounds are numbered from a number of 48 bits that is drawn at each start.
ROUND = 1 << 47
ROUNDS = 3
# Answers arrive, and hosts ask anew, between ticks.
STEPS_A_TICK = 10
# Two ways of 0.5 ms between domains.
ANSWER_S = 0.001
MILLISECONDS = 1_000


@final
class QuietStore:
    """A store that holds the tables, and in which another host has the control."""

    def __init__(self, clock: Clock, values: dict[str, bytes]) -> None:
        self._values = [
            VersionedValue(key=key, value=value, revision=number)
            for number, (key, value) in enumerate(values.items(), start=1)
        ]
        self.calls = 0

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Return the values below a prefix."""
        self.calls += 1
        return [one for one in self._values if one.key.startswith(prefix)]

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> list[VersionedValue]:
        """Never return: nothing changes."""
        self.calls += 1
        await Deferred()
        return []


@final
class AnsweringServers:
    """Servers that hold what they should."""

    async def report(self, server: BackendServer) -> ServerReport:
        """Return a healthy report."""
        number = int(server.id.rpartition("-")[2])
        held = {shard: shard + 1 for shard in range(number, SHARDS, SERVERS)}
        return ServerReport(
            server=server.id,
            stamp_s=0.0,
            healthy=True,
            draining=False,
            cold=False,
            load=0.0,
            held=held if number < SERVERS else {},
        )

    async def grant(self, server: BackendServer, grant: Any) -> GrantOutcome:
        """Accept."""
        return GrantOutcome.ACCEPTED


@final
class CountingLink:
    """Counts what is sent, and answers questions for rights as witnesses do."""

    def __init__(
        self, clock: Clock, hosts: dict[str, list[str]], *, left_s: float
    ) -> None:
        self._clock = clock
        self._hosts = hosts
        self._left_s = left_s
        self.system: OwnershipSystem | None = None
        self._answers: list[tuple[str, bytes]] = []
        self.sent = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, host: str, message: Message) -> None:
        """Encode and count; an ask is answered a millisecond later."""
        self.sent += 1
        self.sent_bytes += len(encode(message))
        if isinstance(message, RightAsk):
            self._answer(
                host,
                RightAnswer(domain=message.domain, round=message.round, good_s=0.4),
            )
        elif isinstance(message, ShareAsk):
            domains = [message.domain] if message.domain else self._hosts
            left_s = dict.fromkeys(domains, self._left_s)
            answer = ShareAnswer(round=message.round, good_s=left_s)
            if message.domain is None:
                answer = shorten(answer, self._hosts, exact=next(iter(self._hosts)))
            self._answer(host, answer)

    def _answer(self, host: str, message: Message) -> None:
        # One call of the virtual clock for all: it sorts its calls at each new one,
        # which a daemon's loop does not.
        if not self._answers:
            self._clock.callLater(ANSWER_S, self._deliver_answers)
        self._answers.append((host, encode(message)))

    def _deliver_answers(self) -> None:
        answers, self._answers = self._answers, []
        for host, data in answers:
            self.deliver(host, data)

    def deliver(self, host: str, data: bytes) -> None:
        """Decode and hand in, as a daemon does."""
        self.received_bytes += len(data)
        assert self.system is not None
        self.system.received(host, decode(data, peer=host))

    def hosts_of(self, domain: str) -> Sequence[str]:
        """Return the listed hosts."""
        return self._hosts[domain]

    def is_live(self, host: str) -> bool:
        """All are."""
        return True


@final
class MeasuredHost:
    """One ownership system among fakes; ``is_asker`` lets it ask the witnesses."""

    def __init__(
        self, *, hosts_a_domain: int, domains: int, is_asker: bool = False
    ) -> None:
        self.clock = Clock()
        names = [f"domain-{number}" for number in range(domains)]
        hosts = {
            name: [f"{name}-host-{number}" for number in range(hosts_a_domain)]
            for name in names
        }
        listed = WitnessList(hosts=tuple(hosts[names[0]][:WITNESSES]))
        own = tree_order(hosts[names[0]], listed, hosts[names[0]])[
            0 if is_asker else -1
        ]
        values = _store_values(hosts)
        self.store = QuietStore(self.clock, values)
        # Shares come as old as they should be, so that the host keeps its pace.
        steps = 0 if is_asker else steps_from_askers(hosts_a_domain - 1)
        left_s = RIGHT_USE_S - aimed_age_s(steps)
        self.link = CountingLink(self.clock, hosts, left_s=left_s)
        self._control_host = hosts[names[-1]][0]
        self.system = OwnershipSystem(
            host=Host(id=own, domain=names[0], peer_address="127.0.0.1:1"),
            domains=[Domain(name=name, site="ancien") for name in names],
            services=[_service(names, hosts_a_domain)],
            clock=self.clock,
            store=self.store,  # type: ignore[arg-type]
            prefix="",
            servers=AnsweringServers(),  # type: ignore[arg-type]
            peers=self.link,
            site_of=lambda service, shard: None,
            deadline_caps_s={SERVICE: 1.0},
            weights=PlacementWeights(),
            rng=Random(SEED),
            log=lambda event, **fields: None,
        )
        self.link.system = self.system

    def run(self, duration_s: float) -> float:
        """Let virtual time pass; return the processor seconds that it took."""
        began_s = process_time()
        for number in range(round(duration_s / TICK_S)):
            if number % 4 == 0:
                alive = encode(
                    ControlAlive(
                        service=SERVICE,
                        holder=self._control_host,
                        term=1,
                        number=number // 4,
                    )
                )
                self.link.deliver(self._control_host, alive)
            self.system.tick()
            for _ in range(STEPS_A_TICK):
                self.clock.advance(TICK_S / STEPS_A_TICK)
        return process_time() - began_s


def _store_values(hosts: dict[str, list[str]]) -> dict[str, bytes]:
    values = {
        chunk_key(SERVICE, number): value
        for number, value in enumerate(chunk_values(SHARDS))
    }
    for name, members in hosts.items():
        listed = WitnessList(hosts=tuple(members[:WITNESSES]))
        values[witness_key(name)] = msgspec.msgpack.encode(listed)
    return values


def _service(domains: list[str], hosts_a_domain: int) -> Service:
    count = max(1, round(hosts_a_domain * SERVERS_A_HOST)) * len(domains)
    servers = tuple(
        BackendServer(
            id=f"{SERVICE}-{number}",
            service=SERVICE,
            domain=domains[number % len(domains)],
            address="127.0.0.1:1",
            slots=6,
            connections=130,
        )
        for number in range(count)
    )
    return Service(name=SERVICE, keyed=True, shards=SHARDS, servers=servers)


def _host_figures(hosts_a_domain: int, domains: int) -> Iterator[Figure]:
    for is_asker in (False, True):
        host = MeasuredHost(
            hosts_a_domain=hosts_a_domain, domains=domains, is_asker=is_asker
        )
        size = {"hosts_a_domain": hosts_a_domain, "domains": domains}
        yield from _measured(host, "asker" if is_asker else "control", size)


def _measured(
    host: MeasuredHost, role: str, size: Mapping[str, float]
) -> Iterator[Figure]:
    host.run(MEASURED_S)
    link, store = host.link, host.store
    sent, sent_bytes, calls = link.sent, link.sent_bytes, store.calls
    received_bytes = link.received_bytes
    spent_s = [host.run(MEASURED_S) for _ in range(ROUNDS)]
    span_s = MEASURED_S * ROUNDS
    rates = (
        (f"{role}_messages", link.sent - sent, "1/s"),
        (f"{role}_sent", link.sent_bytes - sent_bytes, "bytes/s"),
        (f"{role}_received", link.received_bytes - received_bytes, "bytes/s"),
        (f"{role}_store_calls", store.calls - calls, "1/s"),
    )
    for name, counted, unit in rates:
        yield Figure(name=name, value=counted / span_s, unit=unit, size=size, seed=SEED)
    yield Figure(
        name=f"{role}_processor",
        value=min(spent_s) / MEASURED_S * MILLISECONDS,
        unit="ms/s",
        size=size,
        seed=SEED,
    )


def _witness_figures() -> Iterator[Figure]:
    host = MeasuredHost(hosts_a_domain=WITNESSES, domains=DOMAINS)
    host.run(MEASURED_S)
    known = dict(host.system.state().versions)
    for versions in VERSION_SIZES:
        # Chunks of a service that this host has no settings for cost it their version
        # alone, which is what an ask carries.
        more = [
            Item(f"table/service/{number}", 1, b"")
            for number in range(versions - len(known))
        ]
        host.system.received("other", Items(items=more))
        all_versions = dict(host.system.state().versions)
        checksum = checksum_of(all_versions)
        same = RightAsk(domain="domain-0", round=ROUND, checksum=checksum)
        newer = RightAsk(
            domain="domain-0", round=ROUND, checksum=0, versions=all_versions
        )
        share = ShareAsk(round=ROUND, checksum=checksum)
        for ask, name in ((same, "ask"), (newer, "ask_fully"), (share, "share_ask")):
            size = {"versions": versions}
            data = encode(ask)
            yield Figure(name=name, value=len(data), unit="bytes", size=size)
            spent_us = time_us(partial(host.link.deliver, "other", data), times=2_000)
            yield Figure(name=f"witness_{name}", value=spent_us, unit="us", size=size)
    answer = RightAnswer(domain="domain-0", round=ROUND, good_s=0.4)
    yield Figure(name="answer", value=len(encode(answer)), unit="bytes", size={})


def figures() -> Iterator[Figure]:
    """Yield what a host spends, by hosts a domain and by domains."""
    for hosts_a_domain in HOST_SIZES:
        yield from _host_figures(hosts_a_domain, DOMAINS)
    for domains in DOMAIN_SIZES[1:]:
        yield from _host_figures(HOSTS_WITH_MANY_DOMAINS, domains)
    yield from _witness_figures()
