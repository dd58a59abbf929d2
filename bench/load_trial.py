"""A trial: one scenario with one router, on twelve hosts, seeded, in virtual time."""

from bisect import bisect
from collections.abc import Callable
from dataclasses import replace
from itertools import accumulate
from random import Random
from typing import final

from bench.load_baselines import LeastOutstanding, RoundRobin
from bench.load_fakes import (
    FakeHost,
    FakeServer,
    Request,
    Router,
    VirtualClock,
    make_rng,
)
from bench.load_scenarios import (
    DISTURBANCE_END_S,
    DISTURBANCE_START_S,
    DeploymentSize,
    Scenario,
    Stream,
)
from bench.load_shared_server import SharedServer
from gentianwharf.load import Gate, RequestClass, Ticket
from gentianwharf.topology import BackendServer, Service

HOSTS = 12
LONG_FACTOR = 100.0
SLOW_FACTOR = 10.0
# Callers whose request was refused or failed retry, up to their stream's limit.
RETRY_DELAY_S = 1.0
CLASSES = tuple(
    RequestClass.from_deadline(name=name, deadline_ms=deadline_ms, weight=weight)
    for name, deadline_ms, weight in (
        ("consultation", 2000, 8),
        ("posting", 5000, 8),
        ("upload", 30_000, 4),
        ("archive", 60_000, 1),
    )
)
DEADLINES_S = {class_.name: class_.deadline_ms / 1000 for class_ in CLASSES}


def make_gate(service: Service, domain: str, rng: Random) -> Router:
    """Return a gate that is configured as in the daemon."""
    return Gate(
        services=[service], classes=CLASSES, domain=domain, rng=rng, daemons=HOSTS
    )


def make_round_robin(service: Service, domain: str, rng: Random) -> Router:
    """Return the round-robin baseline."""
    return RoundRobin(services=[service], rng=rng)


def make_least_outstanding(service: Service, domain: str, rng: Random) -> Router:
    """Return the least-outstanding baseline."""
    return LeastOutstanding(services=[service], rng=rng)


MakeRouter = Callable[[Service, str, Random], Router]
ROUTERS: dict[str, MakeRouter] = {
    "gentianwharf": make_gate,
    "round-robin": make_round_robin,
    "least-outstanding": make_least_outstanding,
}


def make_service(scenario: Scenario) -> Service:
    """Return the scenario's service, with servers distributed over the domains."""
    size = scenario.size
    return Service(
        name=scenario.service,
        keyed=scenario.keyed,
        shards=1024 if scenario.keyed else 0,
        servers=tuple(
            _make_server(scenario.service, size, number, number)
            for number in range(scenario.servers)
        ),
    )


def _make_server(
    service: str, size: DeploymentSize, number: int, port: int
) -> BackendServer:
    return BackendServer(
        id=f"{service}-{port}",
        service=service,
        domain=size.domains[number % len(size.domains)],
        address=f"127.0.0.1:{9000 + port}",
        slots=size.slots,
        connections=size.connections,
    )


@final
class Trial:
    """A run of a scenario; ``requests`` holds all requests and their results."""

    def __init__(
        self, *, scenario: Scenario, make_router: MakeRouter, seed: int
    ) -> None:
        self.scenario = scenario
        self.requests: list[Request] = []
        self._seed = seed
        self._clock = VirtualClock()
        self._service = make_service(scenario)
        make = SharedServer if scenario.processor_sharing else FakeServer
        self._servers: dict[str, FakeServer] = {
            server.id: make(clock=self._clock, server=server, sheds=scenario.sheds)
            for server in self._service.servers
        }
        self.hosts = [self._make_host(make_router, n) for n in range(HOSTS)]
        self._balancer = make_rng(seed, "balancer")
        self._ids = 0
        self._sources = [
            _Source(
                stream=stream,
                scenario=scenario,
                rng=make_rng(seed, f"{number}-{stream.request_class}"),
            )
            for number, stream in enumerate(scenario.streams)
        ]

    def run(self) -> None:
        """Run to the end of the scenario, plus the deadline of the look-ups."""
        for number, host in enumerate(self.hosts):
            host.start(number * 0.001)
        for source in self._sources:
            self._clock.call_at(source.gap_s(0.0), self._arrive, source)
        self._schedule_fault()
        self._clock.run_until(self.scenario.end_s + 2.0)

    def _make_host(self, make_router: MakeRouter, number: int) -> FakeHost:
        domains = self.scenario.size.domains
        domain = domains[number % len(domains)]
        rng = make_rng(self._seed, f"host-{number}")
        router = make_router(self._service, domain, rng)
        host = FakeHost(
            clock=self._clock,
            domain=domain,
            router=router,
            servers=self._servers,
            on_end=self._on_end,
        )
        if isinstance(router, Gate):
            host.take_retry = router.retries.take
        return host

    def _arrive(self, source: "_Source") -> None:
        now_s = self._clock.now_s
        if now_s >= self.scenario.end_s:
            return
        self._clock.call_at(now_s + source.gap_s(now_s), self._arrive, source)
        ticket, work_s = source.make(self._next_id(), now_s)
        if ticket.key is not None:
            ticket = replace(ticket, server=self._owner_of(ticket.key))
        self._send(Request(ticket=ticket, work_s=work_s, submitted_s=now_s), source)

    def _send(self, request: Request, source: "_Source") -> None:
        hosts = self.hosts[: self.scenario.busy_hosts]
        running_hosts = [host for host in hosts if not host.lost]
        self.requests.append(request)
        self._sources_by_ticket[request.ticket.id] = source
        self._balancer.choice(running_hosts).submit(request)

    def _on_end(self, host: FakeHost, request: Request, retry_after_s: float) -> None:
        source = self._sources_by_ticket.pop(request.ticket.id)
        stream, hot = source.stream, request.ticket.caller == "hot"
        retry_limit = stream.hot_retry_limit if hot else stream.retry_limit
        if request.result == "ok" or request.retries >= retry_limit:
            return
        if hot and stream.hot_retry_limit:
            retry_after_s = 2 * self.scenario.size.client_latency_s
        now_s = self._clock.now_s
        at_s = now_s + retry_after_s
        if at_s < self.scenario.end_s:
            self._clock.call_at(at_s, self._retry, request, source)

    def _retry(self, request: Request, source: "_Source") -> None:
        now_s = self._clock.now_s
        old = request.ticket
        ticket = replace(
            old,
            id=self._next_id(),
            deadline_s=now_s + DEADLINES_S[old.request_class],
        )
        retried = Request(
            ticket=ticket,
            work_s=request.work_s,
            submitted_s=now_s,
            retries=request.retries + 1,
        )
        self._send(retried, source)

    def _next_id(self) -> str:
        self._ids += 1
        return str(self._ids)

    def _owner_of(self, key: str) -> str:
        servers = self._service.servers
        return servers[int(key) * 7919 % len(servers)].id

    @property
    def _sources_by_ticket(self) -> "dict[str, _Source]":
        return self.__dict__.setdefault("_comes_back_table", {})

    def _schedule_fault(self) -> None:
        fault = self.scenario.fault
        if not fault:
            return
        first = next(iter(self._servers.values()))
        schedule = self._clock.call_at
        if fault == "slow":
            schedule(DISTURBANCE_START_S, setattr, first, "slowness", SLOW_FACTOR)
            schedule(DISTURBANCE_END_S, setattr, first, "slowness", 1.0)
        elif fault == "frozen":
            schedule(DISTURBANCE_START_S, first.freeze)
            schedule(DISTURBANCE_END_S, first.thaw)
        elif fault == "domain":
            schedule(
                DISTURBANCE_START_S, self._lose_domain, self.scenario.size.domains[0]
            )
        elif fault == "cold":
            schedule(DISTURBANCE_START_S, self._replace_third)

    def _lose_domain(self, domain: str) -> None:
        for server in self._servers.values():
            server.lost = server.lost or server.server.domain == domain
        for host in self.hosts:
            if host.domain == domain:
                host.lose()

    def _replace_third(self) -> None:
        servers = list(self._service.servers)
        for number in range(0, len(servers), 3):
            joined = _make_server(
                self.scenario.service, self.scenario.size, number, number + 1000
            )
            fake = FakeServer(clock=self._clock, server=joined)
            fake.cold_since_s = self._clock.now_s
            self._servers[joined.id] = fake
            servers[number] = joined
        for host in self.hosts:
            host.apply(
                host.router.set_servers(
                    self.scenario.service, servers, self._clock.now_s
                )
            )


@final
class _Source:
    """Generates the arrivals, callers, keys and work of a stream."""

    def __init__(self, *, stream: Stream, scenario: Scenario, rng: Random) -> None:
        self.stream = stream
        self._service = scenario.service
        self._rng = rng
        mean_s = stream.work_s
        if stream.long_one_in:
            mean_s *= 1 + (LONG_FACTOR - 1) / stream.long_one_in
        slots = scenario.servers * scenario.size.slots
        self._rate_per_s = stream.load * slots / mean_s
        self._hot_share = stream.hot_caller_factor / stream.callers
        weights = [(rank + 1) ** -stream.zipf_exponent for rank in range(stream.keys)]
        self._zipf = list(accumulate(weights))

    def gap_s(self, now_s: float) -> float:
        """Return the time until the next arrival."""
        rate = self._rate_per_s
        if DISTURBANCE_START_S <= now_s < DISTURBANCE_END_S:
            rate *= self.stream.burst_factor + self._hot_share
        return self._rng.expovariate(rate)

    def make(self, id_: str, now_s: float) -> tuple[Ticket, float]:
        """Return a request and the time that a server needs for it."""
        stream, rng = self.stream, self._rng
        work_s = max(0.001, rng.expovariate(1 / stream.work_s))
        if stream.long_one_in and rng.random() * stream.long_one_in < 1:
            work_s = stream.work_s * LONG_FACTOR
        ticket = Ticket(
            id=id_,
            service=self._service,
            request_class=stream.request_class,
            caller=self._caller(now_s),
            key=self._key(now_s),
            deadline_s=now_s + DEADLINES_S[stream.request_class],
            repeatable=stream.repeatable,
        )
        return ticket, work_s

    def _caller(self, now_s: float) -> str:
        hot = (
            self._hot_share if DISTURBANCE_START_S <= now_s < DISTURBANCE_END_S else 0.0
        )
        if hot and self._rng.random() < hot / (1 + hot):
            return "hot"
        return str(self._rng.randrange(self.stream.callers))

    def _key(self, now_s: float) -> str | None:
        if not self.stream.keys:
            return None
        if (
            DISTURBANCE_START_S <= now_s < DISTURBANCE_END_S
            and self._rng.random() < self.stream.hot_key_share
        ):
            return "0"
        draw = self._rng.random() * self._zipf[-1]
        return str(bisect(self._zipf, draw) + 1)
