"""Checks of the repeats that backend servers receive and run.

Requests are counted where callers send them, and repeats where servers receive them,
never by what hosts state about themselves.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, final

from gentianwharf.load import RetryAgreement
from gentianwharf.platform.standin import (
    EXTRA_RETRIES,
    RETRY_BUDGET_RATIO,
    RETRY_WINDOW_S,
)

STANDIN_AGREEMENT = RetryAgreement(
    ratio=RETRY_BUDGET_RATIO, extra=EXTRA_RETRIES, window_s=RETRY_WINDOW_S
)
"""What the settings of hosts on the stand-in platform allow."""

MAX_EXCESS_RUNS = 3
"""Requests that may run on more servers than their route states."""

SHORT_S = 1e-6


@final
@dataclass(frozen=True, kw_only=True)
class Repeats:
    """The repeats in one window, and those allowed in it."""

    sent: int
    allowed: float


def repeats_of(arrivals_s: Iterable[tuple[str, float]]) -> list[float]:
    """Return the times of all arrivals beyond the first of each request, in order.

    ``arrivals_s`` has a request's id and the time for each that reached a server.
    """
    seen: set[str] = set()
    repeated_s: list[float] = []
    for request_id, arrived_s in sorted(arrivals_s, key=lambda arrival: arrival[1]):
        if request_id in seen:
            repeated_s.append(arrived_s)
        seen.add(request_id)
    return repeated_s


def worst_window(
    sent_s: Sequence[float], repeated_s: Sequence[float], *, agreement: RetryAgreement
) -> Repeats:
    """Return the window with the most repeats above those allowed.

    ``sent_s`` has the times at which callers sent requests, ``repeated_s`` those at
    which repeats reached a server; both in order. The requests count that were sent in
    the window, half a window before or a window before, whichever are most.
    """
    # The allowed number changes with the window: those that begin with a repeat and
    # those that end just after one are looked at.
    starts_s = [
        *repeated_s,
        *(at_s - agreement.window_s + SHORT_S for at_s in repeated_s),
    ]
    windows = [_window(start_s, sent_s, repeated_s, agreement) for start_s in starts_s]
    nothing = Repeats(sent=0, allowed=agreement.extra)
    return max(
        windows, key=lambda window: window.sent - window.allowed, default=nothing
    )


def _window(
    start_s: float,
    sent_s: Sequence[float],
    repeated_s: Sequence[float],
    agreement: RetryAgreement,
) -> Repeats:
    window_s = agreement.window_s

    def within(times_s: Sequence[float], from_s: float) -> int:
        return bisect_left(times_s, from_s + window_s) - bisect_left(times_s, from_s)

    requests = max(
        within(sent_s, start_s - shift_s) for shift_s in (0, window_s / 2, window_s)
    )
    return Repeats(
        sent=within(repeated_s, start_s),
        allowed=agreement.ratio * requests + agreement.extra,
    )


def count_excess_runs(runs: Iterable[tuple[str, str]], *, max_attempts: int) -> int:
    """Return how many requests ran on more than ``max_attempts`` servers.

    ``runs`` has a request's id and a server for each run.
    """
    servers: dict[str, set[str]] = defaultdict(set)
    for request_id, server in runs:
        servers[request_id].add(server)
    return sum(len(ran_on) > max_attempts for ran_on in servers.values())


def find_excess_runs(
    runs: Iterable[tuple[str, str]], *, max_attempts: int
) -> list[str]:
    """Return a line if more requests than tolerated ran on too many servers."""
    count = count_excess_runs(runs, max_attempts=max_attempts)
    if count <= MAX_EXCESS_RUNS:
        return []
    return [f"BUDGET: {count} requests ran on more than {max_attempts} servers"]


def find_excess_retries(
    sent_s: Mapping[str, Sequence[float]],
    arrivals: Iterable[Mapping[str, Any]],
    *,
    agreement: RetryAgreement,
) -> list[str]:
    """Return a line for each service that got more repeats than allowed.

    ``sent_s`` has the times of callers' requests for each service, in order.
    """
    by_service: dict[str, list[tuple[str, float]]] = defaultdict(list)
    for arrival in arrivals:
        by_service[arrival["service"]].append(
            (arrival["request_id"], arrival["arrived_s"])
        )
    violations = []
    for service, arrivals_s in sorted(by_service.items()):
        worst = worst_window(
            sent_s.get(service, ()), repeats_of(arrivals_s), agreement=agreement
        )
        violations += describe_excess(service, worst, agreement=agreement)
    return violations


def describe_excess(
    service: str, worst: Repeats, *, agreement: RetryAgreement
) -> list[str]:
    """Return a line if a service got more repeats in its worst window than allowed."""
    if worst.sent <= worst.allowed:
        return []
    return [
        f"BUDGET: {service} got {worst.sent} repeats within {agreement.window_s} s,"
        f" {worst.allowed:.1f} are allowed"
    ]
