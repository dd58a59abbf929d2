"""Uploads under all kinds of trouble, against a relay on real sockets."""

import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from random import Random
from typing import final

from gentianwharf.platform import PlatformHeaderCodec
from gentianwharf.relay import LinkMonitor, Reachability, ServerLinks
from tests.builders_relay import (
    REACTOR,
    RunningRelay,
    in_reactor,
    running_relay,
)
from tests.builders_tunnels import Tunneling, tunneling
from tests.builders_uploads import (
    ANSWER_MARGIN_S,
    DEADLINE_S,
    Behaviour,
    Caller,
    CheckingServer,
    Dialect,
    Upload,
    Uploads,
    draw_batch,
    script_for,
)

SETTLE_TIMEOUT_S = 6.0
"""Longer than servers that have answered early may read on."""

SERVERS, CALLERS, CARRIERS = 3, 8, 2
RETRY_DELAYS_S = (0.0, 0.005, 0.02, 0.1)
TROUBLE_INTERVAL_S = 0.25
CARRIER_END_SHARE = 0.15
BROKEN_OFF = ("answer-cut", "answer-timed-out")

WEIGHTS = dict.fromkeys(Behaviour, 4) | {Behaviour.RUN: 16, Behaviour.END: 1}


class Way(StrEnum):
    """How requests reach the servers."""

    DIRECT = "direct"
    TUNNELS = "tunnels"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Played:
    """What came of a play."""

    uploads: Uploads
    connections_by_tunnel: int
    bodies_cut: int

    @property
    def behaviours(self) -> Counter[Behaviour]:
        """How often servers did what with a request."""
        return Counter(each.behaviour for each in self.uploads.arrivals)

    def __str__(self) -> str:
        uploads = self.uploads
        faults = {kind: len(cases) for kind, cases in uploads.faults().items()}
        return (
            f"{sum(uploads.statuses.values())} requests,"
            f" {len(uploads.arrivals)} arrivals, {self.bodies_cut} bodies cut,"
            f" {self.connections_by_tunnel} connections by tunnel,"
            f" answers {dict(sorted(uploads.statuses.items()))}, faults {faults}"
        )


def play_uploads(
    *,
    seed: int,
    duration_s: float,
    dialect: Dialect = Dialect.DEFAULT,
    way: Way = Way.DIRECT,
) -> Played:
    """Let callers upload for ``duration_s``, and return what came of it."""
    uploads = Uploads()
    servers = [
        CheckingServer(
            uploads,
            number=number,
            rng=Random(f"server-{seed}-{number}"),
            weights=WEIGHTS,
            varies=True,
        )
        for number in range(SERVERS)
    ]
    with ExitStack() as stack:
        relay: RunningRelay = stack.enter_context(
            running_relay(
                *[script_for(server) for server in servers],
                codec=PlatformHeaderCodec() if dialect is Dialect.PLATFORM else None,
                deadline_ms=int(DEADLINE_S * 1000),
            )
        )
        for number, server in enumerate(servers):
            address = relay.app.connections[f"s{number}"].server.address
            server.bind(relay.servers[number], int(address.rpartition(":")[2]))
        detour = None
        if way is Way.TUNNELS:
            detour = stack.enter_context(detour_of(relay))
        end_s = time.monotonic() + duration_s
        trouble = threading.Thread(
            target=_make_trouble, args=(Random(seed), end_s, relay, detour)
        )
        trouble.start()
        _run_callers(relay, uploads, seed=seed, dialect=dialect, end_s=end_s)
        trouble.join()
        for server in servers:
            server.wait_until_back()
        uploads.wait_until_settled(SETTLE_TIMEOUT_S)
        by_tunnel = detour.hosts.client.opened if detour else 0
        in_reactor(lambda: _close_connections(relay))
    uploads.broken_off = {
        record.ticket.request_id
        for record in relay.records.responses
        if record.reason in BROKEN_OFF
    }
    cut = sum(
        attempt.has_cut_body
        for record in relay.records.responses
        for attempt in record.attempts
    )
    return Played(uploads=uploads, connections_by_tunnel=by_tunnel, bodies_cut=cut)


def _run_callers(
    relay: RunningRelay, uploads: Uploads, *, seed: int, dialect: Dialect, end_s: float
) -> None:
    def batches(caller: int) -> Iterator[Sequence[Upload]]:
        rng, number = Random(f"caller-{seed}-{caller}"), caller * 100_000
        while time.monotonic() < end_s:
            yield draw_batch(rng, number, dialect)
            number += 2

    def run(number: int) -> None:
        within_s = DEADLINE_S + ANSWER_MARGIN_S
        caller = Caller(port=relay.port, uploads=uploads, answer_within_s=within_s)
        caller.run_batches(batches(number))

    with ThreadPoolExecutor(CALLERS) as pool:
        # Raises what a caller raised.
        list(pool.map(run, range(CALLERS)))


@final
class Detour:
    """Lets the connections of a relay lead through other hosts."""

    def __init__(self, *, relay: RunningRelay, hosts: Tunneling) -> None:
        self.hosts = hosts
        pools = relay.app.connections
        self._monitor = LinkMonitor(
            reachability=Reachability(now_s=REACTOR.seconds),
            pools=pools.values,
            domain="lac",
            reactor=REACTOR,
            rng=Random(1),
        )
        # Without probes, the links stay lost until servers are reached directly.
        self._monitor.stop()
        links = ServerLinks(monitor=self._monitor, tunnels=hosts.client)
        for pool in pools.values():
            pool.links = links
            hosts.servers[pool.server.id] = pool.server

    def cut_off(self) -> None:
        """Let the links of the relay's host be lost; to be called in the reactor."""
        self._monitor.reachability.note_all_failed()

    def end_carrier(self, number: int) -> None:
        """Reset all tunnels through a host; to be called in the reactor."""
        self.hosts.carriers[number].close()


@contextmanager
def detour_of(relay: RunningRelay) -> Iterator[Detour]:
    """Yield the tunnels of a relay whose host is cut off."""
    with tunneling(carriers=CARRIERS) as hosts:
        detour = Detour(relay=relay, hosts=hosts)
        in_reactor(detour.cut_off)
        yield detour


def _make_trouble(
    rng: Random, end_s: float, relay: RunningRelay, detour: Detour | None
) -> None:
    while time.monotonic() < end_s:
        relay.admission.retry_delay_s = rng.choice(RETRY_DELAYS_S)
        if detour is not None:
            in_reactor(detour.cut_off)
            if rng.random() < CARRIER_END_SHARE:
                in_reactor(partial(detour.end_carrier, rng.randrange(CARRIERS)))
        time.sleep(TROUBLE_INTERVAL_S)


def _close_connections(relay: RunningRelay) -> None:
    for pool in relay.app.connections.values():
        pool.close()
