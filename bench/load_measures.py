"""Computes the columns of docs/LOAD.md from the answers that callers received."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any, final

from bench.load_fakes import Request
from bench.load_scenarios import (
    DISTURBANCE_END_S,
    DISTURBANCE_START_S,
    LATENCY_LIMITS_S,
    Scenario,
    Stream,
)

# Start of the reference period that ends when the fault or burst begins.
BEFORE_START_S = 3.0
SETTLING_S = 1.0
BIN_S = 1.0
NORMAL_P99_GROWTH = 1.5
NORMAL_GOODPUT = 0.95
MIN_NORMAL_BINS = 3
LONG_WORK_S = 0.5
# Value of a request without answer in a quantile.
NO_ANSWER_MS = 1e6


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ClassFigures:
    """Figures of one request class during the disturbance, without its first second."""

    goodput_per_s: float
    offered_per_s: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    before_p99_ms: float
    refused_share: float
    failed_share: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Figures:
    """A row of results: the figures of one scenario with one router."""

    scenario: str
    router: str
    seed: int
    classes: dict[str, ClassFigures]
    goodput_per_s: float
    slots_busy_share: float
    others_p99_ms: float
    others_refused_share: float
    refusals_p99_ms: float
    unserved_caller_s: float
    unserved_key_s: float
    gave_up_share: float
    wrong_runs: int
    runs_per_request: float
    normal_after_s: float | None

    def to_json(self) -> dict[str, Any]:
        """Return the row as it is recorded."""
        return asdict(self)


def quantile(values: list[float], share: float) -> float:
    """Return the exact quantile, or 0 if there are no values.

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * share))]


def measure(
    scenario: Scenario, router: str, seed: int, requests: list[Request]
) -> Figures:
    """Return the figures of one trial."""
    extra_s = 2 * scenario.size.client_latency_s
    during = [
        request
        for request in requests
        if DISTURBANCE_START_S + SETTLING_S <= request.submitted_s < DISTURBANCE_END_S
    ]
    before = [
        request
        for request in requests
        if BEFORE_START_S <= request.submitted_s < DISTURBANCE_START_S
    ]
    names = sorted({request.ticket.request_class for request in requests})
    classes = {
        name: _class_figures(_of_class(name, during), _of_class(name, before), extra_s)
        for name in names
    }
    refused_ms = [
        (request.ended_s - request.submitted_s) * 1000
        for request in requests
        if request.result == "refused" and request.submitted_s >= BEFORE_START_S
    ]
    others = [request for request in during if _is_other(request)]
    return Figures(
        scenario=scenario.name,
        router=router,
        seed=seed,
        classes=classes,
        goodput_per_s=round(
            sum(figures.goodput_per_s for figures in classes.values()), 1
        ),
        slots_busy_share=_slots_busy_share(scenario, during),
        others_refused_share=round(
            sum(request.result == "refused" for request in others)
            / max(1, len(others)),
            4,
        ),
        others_p99_ms=_latency_ms(others, 0.99, extra_s),
        refusals_p99_ms=round(quantile(refused_ms, 0.99), 2),
        unserved_caller_s=_longest_unserved_s(
            (request.ticket.caller, request) for request in requests
        ),
        unserved_key_s=_longest_unserved_s(
            (request.ticket.key, request)
            for request in requests
            if request.ticket.key is not None
        ),
        gave_up_share=_gave_up_share(scenario, requests),
        wrong_runs=sum(_ran_wrongly(request) for request in requests),
        runs_per_request=round(
            sum(request.runs for request in requests) / max(1, len(requests)), 3
        ),
        normal_after_s=_normal_after_s(scenario, requests, extra_s),
    )


def _of_class(name: str, requests: list[Request]) -> list[Request]:
    return [request for request in requests if request.ticket.request_class == name]


def _is_other(request: Request) -> bool:
    """Whether a request is short, and neither the hot caller's nor for the hot key."""
    ticket = request.ticket
    if ticket.caller == "hot" or ticket.key == "0":
        return False
    return request.work_s < LONG_WORK_S


def _latency_ms(requests: list[Request], share: float, extra_s: float) -> float:
    """Return a latency quantile; a failed request counts as ``NO_ANSWER_MS``."""
    values = [
        request.ended_s - request.submitted_s + extra_s
        if request.result == "ok"
        else NO_ANSWER_MS
        for request in requests
        if request.result in ("ok", "failed")
    ]
    return round(min(quantile(values, share) * 1000, NO_ANSWER_MS), 1)


def _class_figures(
    during: list[Request], before: list[Request], extra_s: float
) -> ClassFigures:
    span_s = DISTURBANCE_END_S - DISTURBANCE_START_S - SETTLING_S
    count = max(1, len(during))
    return ClassFigures(
        goodput_per_s=round(
            sum(_is_good(request, extra_s) for request in during) / span_s, 1
        ),
        offered_per_s=round(len(during) / span_s, 1),
        p50_ms=_latency_ms(during, 0.5, extra_s),
        p99_ms=_latency_ms(during, 0.99, extra_s),
        p999_ms=_latency_ms(during, 0.999, extra_s),
        before_p99_ms=_latency_ms(before, 0.99, extra_s),
        refused_share=round(
            sum(item.result == "refused" for item in during) / count, 4
        ),
        failed_share=round(sum(item.result == "failed" for item in during) / count, 5),
    )


def _slots_busy_share(scenario: Scenario, during: list[Request]) -> float:
    """Return the share of the slots' time that was spent on answered requests.

    When all slots are busy, the number of good answers per second depends on the
    random work of the requests served; this share does not.
    """
    span_s = DISTURBANCE_END_S - DISTURBANCE_START_S - SETTLING_S
    worked_s = sum(request.work_s for request in during if request.result == "ok")
    return round(worked_s / (span_s * scenario.servers * scenario.size.slots), 4)


def _is_good(request: Request, extra_s: float) -> bool:
    latency_s = request.ended_s - request.submitted_s + extra_s
    return (
        request.result == "ok"
        and latency_s <= LATENCY_LIMITS_S[request.ticket.request_class]
    )


def _gave_up_share(scenario: Scenario, requests: list[Request]) -> float:
    """Return the share of callers' requests that got no answer after all retries."""
    streams = {stream.request_class: stream for stream in scenario.streams}
    gave_up = sum(
        request.result != "ok" and request.retries >= _retry_limit(streams, request)
        for request in requests
    )
    first_attempts = sum(request.retries == 0 for request in requests)
    return round(gave_up / max(1, first_attempts), 4)


def _retry_limit(streams: dict[str, Stream], request: Request) -> int:
    stream = streams[request.ticket.request_class]
    hot = request.ticket.caller == "hot"
    return stream.hot_retry_limit if hot else stream.retry_limit


def _ran_wrongly(request: Request) -> bool:
    if request.result == "refused":
        return request.runs > 0
    return request.runs > 1 and not request.ticket.repeatable


def _longest_unserved_s(rows: Iterable[tuple[str, Request]]) -> float:
    """Return the longest time from a request without answer to the next answer."""
    since: dict[str, float] = {}
    longest = 0.0
    for name, request in sorted(rows, key=lambda row: row[1].submitted_s):
        if request.result != "ok":
            since.setdefault(name, request.submitted_s)
        elif name in since:
            longest = max(longest, request.ended_s - since.pop(name))
    return round(longest, 2)


def _normal_after_s(
    scenario: Scenario, requests: list[Request], extra_s: float
) -> float | None:
    """Return the time until look-ups are back to normal, or None if they never are.

    The time counts from the start of a fault, and otherwise from the end of the burst.
    """
    lookups = [
        request
        for request in requests
        if request.ticket.request_class == "consultation"
        and request.ticket.caller != "hot"
    ]
    before = [
        request
        for request in lookups
        if BEFORE_START_S <= request.submitted_s < DISTURBANCE_START_S
    ]
    max_p99_ms = _latency_ms(before, 0.99, extra_s) * NORMAL_P99_GROWTH
    bins: dict[int, list[Request]] = defaultdict(list)
    for request in lookups:
        bins[int(request.submitted_s / BIN_S)].append(request)
    from_s = DISTURBANCE_START_S if scenario.fault else DISTURBANCE_END_S
    normal_bins = 0
    for number in range(int(from_s / BIN_S), int(scenario.end_s / BIN_S)):
        normal_bins = (
            normal_bins + 1 if _is_normal(bins[number], max_p99_ms, extra_s) else 0
        )
        if normal_bins == MIN_NORMAL_BINS:
            return (number + 1 - MIN_NORMAL_BINS) * BIN_S - from_s
    return None


def _is_normal(requests: list[Request], max_p99_ms: float, extra_s: float) -> bool:
    if not requests:
        return False
    good = sum(_is_good(request, extra_s) for request in requests)
    if good < NORMAL_GOODPUT * len(requests):
        return False
    return _latency_ms(requests, 0.99, extra_s) <= max_p99_ms
