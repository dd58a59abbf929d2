"""Acquires slots from dispatchers for the requests of this host."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Any, final

import xxhash

from gentianwharf.topology import BackendServer

from ._acquisition import Acquisition, Result, Subject
from ._counters import ClientCounters
from ._messages import Answers
from ._pending import PendingRequests, SlotChannel
from ._selection import (
    DispatchHost,
    candidates,
    dispatchers_by_domain,
    domain_subject,
)
from ._types import SlotDemand, SlotLease, SlotOutcome, SlotReturn

MIN_DISPATCHED_HOSTS = 16
"""With fewer hosts, no service is dispatched."""


@final
class SlotClient:
    """The ``SlotSource`` of a host in the failure domain ``domain``.

    ``tick`` is called every 20 to 50 ms. ``clock`` is the event loop's.
    """

    def __init__(
        self, *, domain: str, channel: SlotChannel, clock: Any, rng: Random
    ) -> None:
        self.counters = ClientCounters()
        self._domain = domain
        self._clock = clock
        self._rng = rng
        self._pending = PendingRequests(
            channel=channel, clock=clock, counters=self.counters
        )
        self._host_count = 0
        self._dispatchers: dict[str, tuple[DispatchHost, ...]] = {}
        self._dispatched: frozenset[str] = frozenset()
        self._domain_of: dict[str, str] = {}
        self._domains: dict[str, tuple[str, ...]] = {}
        self._servers: dict[str, tuple[str, ...]] = {}

    # State that the owner of the client sets.

    def set_hosts(self, hosts: Sequence[DispatchHost]) -> None:
        """Set all listed hosts, also those that grant no slots."""
        self._host_count = len(hosts)
        self._dispatchers = dispatchers_by_domain(hosts)
        self._pending.retain_hosts({host.name for host in hosts})

    def set_servers(self, service: str, servers: Iterable[BackendServer]) -> None:
        """Set the usable servers of a service."""
        for server_id in self._servers.pop(service, ()):
            self._domain_of.pop(server_id, None)
        by_id = {server.id: server.domain for server in servers}
        self._domain_of.update(by_id)
        self._servers[service] = tuple(by_id)
        self._domains[service] = tuple(sorted(set(by_id.values())))

    def set_dispatched(self, services: Iterable[str]) -> None:
        """Set the services whose slots are granted by dispatchers."""
        self._dispatched = frozenset(services)

    # ``SlotSource``.

    def is_dispatched(self, service: str) -> bool:
        """Return whether the slots of a service are granted by dispatchers.

        None are if no host can be a dispatcher: a leader of the previous release
        writes a list without their domains.
        """
        return (
            self._host_count >= MIN_DISPATCHED_HOSTS
            and bool(self._dispatchers)
            and service in self._dispatched
        )

    async def acquire(self, demand: SlotDemand) -> Result:
        """Return a lease, a refusal, or None to decide without a dispatcher.

        Cancelling the result withdraws the request.
        """
        subjects = self._subjects(demand)
        result: Result = None
        if subjects:
            acquisition = Acquisition(
                demand=demand,
                caller=xxhash.xxh3_64_intdigest(demand.caller.encode()),
                subjects=subjects,
                pending=self._pending,
                now_s=self._clock.seconds,
                rng=self._rng,
            )
            try:
                acquisition.start()
                result = await acquisition.result
            finally:
                acquisition.close()
        if result is None:
            self.counters.undispatched += 1
        return result

    def release(
        self,
        lease: SlotLease,
        outcome: SlotOutcome,
        *,
        work_s: float | None = None,
        running: int | None = None,
        waiting: int | None = None,
    ) -> None:
        """Return a slot to its dispatcher; a second return of a lease is ignored."""
        self._pending.release(
            SlotReturn(
                request_id=lease.request_id,
                outcome=outcome,
                work_s=work_s,
                running=running,
                waiting=waiting,
            )
        )

    # Dispatchers and their messages.

    def candidates(self, server_id: str) -> tuple[DispatchHost, ...]:
        """Return the candidates for a server's slots; none if it is not known."""
        domain = self._domain_of.get(server_id)
        return self._candidates(server_id, domain) if domain is not None else ()

    def dispatcher_of(self, subject: str) -> str:
        """Return the name of a subject's first candidate, empty if there is none."""
        domain = self._domain_of.get(subject) or subject.rpartition("/")[2]
        found = self._candidates(subject, domain)
        return found[0].name if found else ""

    def note_answers(self, message: Answers) -> None:
        """Apply the answers of a dispatcher."""
        self._pending.note_answers(message)

    def note_pause(self) -> None:
        """Apply a pause of this host, during which it could read no message."""
        self._pending.note_pause()

    def tick(self) -> None:
        """Run all periodic work."""
        self._pending.tick()

    def _subjects(self, demand: SlotDemand) -> list[Subject]:
        if demand.server is not None:
            return [
                Subject(name=demand.server, candidates=self.candidates(demand.server))
            ]
        domains = self._domains.get(demand.service, ())
        if not domains:
            return []
        # Without servers in the own domain, all hosts of it would ask the same other
        # domain if it were not drawn at random.
        first = self._domain if self._domain in domains else self._rng.choice(domains)
        others = [domain for domain in domains if domain != first]
        return [
            Subject(name=name, candidates=self._candidates(name, domain))
            for domain in (first, *others)
            for name in (domain_subject(demand.service, domain),)
        ]

    def _candidates(self, subject: str, domain: str) -> tuple[DispatchHost, ...]:
        return candidates(subject, self._dispatchers.get(domain, ()))
