"""Placement by load reports that servers give at the time of the request.

Load pattern: 84 hosts share servers with two slots. A host gets an answer of a given
server every 18 s, and the report in it is outdated after half a second: machines that
servers share with others slow down and recover within that time.

Before a request is sent, a few servers are queried for their load, and it is sent to
the one that is expected to answer first (power of d choices, as in Prequal). Requests
don't queue at the host while any of the queried servers has a free slot. If none has,
more servers are queried after a pause, and the request then joins the shortest queue
or, if it would wait there for too long, is refused.

Each host queries a part of the servers only, which differs from host to host
(subsetting), so that its connections to them stay open between two queries.

Servers whose load reports include their current slowdown answer queries at once; others
hold a query until a slot is free, and are not queried.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil
from random import Random
from typing import final

from ._server_state import LoadReport, ServerState

FIRST_QUERIED = 2
"""Servers of the host's own failure domain that are queried for each request."""

HELD_LOCAL_QUERIED, HELD_OTHERS_QUERIED = 4, 2
"""Servers that are queried for a request that is held: more of the own domain, and some
of the others."""

MIN_LOCAL_SUBSET, MIN_OTHERS_SUBSET = 5, 4
"""Servers that a host queries at all, so that its connections to them stay open. A
server closes connections that are idle for some seconds."""

HOSTS_PER_SERVER = 20
"""Hosts that should have each server in their subset. With fewer hosts the subsets are
larger: the servers' shares of the requests would differ too much by chance."""

OTHER_DOMAIN_FACTOR = 1.1
"""Weight of the expected time of answers from other domains: traffic between domains
has a price."""

MAX_REPORT_AGE_S = 0.1


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The server that is expected to answer first.

    ``wait_s`` is the expected wait for a slot, and ``work_ratio`` how long work takes
    there, relative to the mean of the service.
    """

    state: ServerState
    wait_s: float
    work_ratio: float


def servers_to_query(
    states: Sequence[ServerState],
    *,
    daemons: int,
    now_s: float,
    rng: Random,
    avoid: str | None,
    held: bool = False,
) -> tuple[str, ...]:
    """Return the ids of random servers of this host's subset.

    ``states`` are in this host's order of preference, so that a server that can't be
    queried is replaced by the next one. ``daemons`` is the number of hosts that send to
    them. ``avoid`` is the id of a server that has just failed the request. ``held``
    means that the servers queried before had no free slot.
    """
    share = HOSTS_PER_SERVER / max(1, daemons)
    local: list[str] = []
    others: list[str] = []
    for state in states:
        if state.server.id != avoid and state.can_be_queried(now_s):
            (local if state.local else others).append(state.server.id)
    local = local[: max(MIN_LOCAL_SUBSET, ceil(len(local) * share))]
    others = others[: max(MIN_OTHERS_SUBSET, ceil(len(others) * share))]
    if not held:
        queried = rng.sample(local, min(FIRST_QUERIED, len(local)))
        missing = FIRST_QUERIED - len(queried)
        return tuple(queried + rng.sample(others, min(missing, len(others))))
    queried = rng.sample(local, min(HELD_LOCAL_QUERIED, len(local)))
    missing = HELD_LOCAL_QUERIED - len(queried) + HELD_OTHERS_QUERIED
    return tuple(queried + rng.sample(others, min(missing, len(others))))


def choose_by_load(
    states: Iterable[ServerState], *, work_s: float, now_s: float
) -> Placement | None:
    """Return the best of the servers with recent reports, None if there is none.

    ``work_s`` is the usual time of the work, without waiting.
    """
    best: Placement | None = None
    best_s = 0.0
    for state in states:
        report = state.report
        if report is None or now_s > report.at_s + MAX_REPORT_AGE_S:
            continue
        if not state.has_capacity(now_s):
            continue
        wait_s = _expected_wait_s(state, report, work_s)
        ratio = state.work_ratio(report)
        expected_s = wait_s + work_s * ratio
        if not state.local:
            expected_s *= OTHER_DOMAIN_FACTOR
        if best is None or expected_s < best_s:
            best_s = expected_s
            best = Placement(state=state, wait_s=wait_s, work_ratio=ratio)
    return best


def _expected_wait_s(state: ServerState, report: LoadReport, work_s: float) -> float:
    """Return how long a request waits for a slot, 0 if one is free."""
    slots = state.server.slots
    sent_since = sum(
        flight.started_s >= report.at_s for flight in state.flights.values()
    )
    ahead = report.running + report.waiting + sent_since + 1 - slots
    return max(0, ahead) / slots * work_s * state.work_ratio(report)
