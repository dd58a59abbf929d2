"""From what callers received to the columns of docs/LOAD.md."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any, final

from bench.load_fakes import Request
from bench.load_scenarios import FROM_S, LIMITS_S, TO_S, Scenario, Stream

# What is at hand before the fault or burst begins.
BEFORE_FROM_S = 3.0
SETTLING_S = 1.0
BIN_S = 1.0
NORMAL_P99_GROWTH = 1.5
NORMAL_GOODPUT = 0.95
CALM_BINS = 3
LONG_WORK_S = 0.5
# What stands for "no answer at all" in a quantile.
ENDLESS_MS = 1e6


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ClassFigures:
    """What the callers of one class received; from FROM_S + 1 s to TO_S."""

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
    """A row of results."""

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
        """Return the row as recorded."""
        return asdict(self)


def quantile(values: list[float], share: float) -> float:
    """Return the exact quantile, 0 without values.

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
    """Return the figures of one run."""
    extra_s = 2 * scenario.place.client_latency_s
    during = [one for one in requests if FROM_S + SETTLING_S <= one.submitted_s < TO_S]
    before = [one for one in requests if BEFORE_FROM_S <= one.submitted_s < FROM_S]
    names = sorted({one.ticket.request_class for one in requests})
    classes = {
        name: _class_figures(_of(name, during), _of(name, before), extra_s)
        for name in names
    }
    refused_ms = [
        (one.ended_s - one.submitted_s) * 1000
        for one in requests
        if one.result == "refused" and one.submitted_s >= BEFORE_FROM_S
    ]
    others = [one for one in during if _is_other(one)]
    return Figures(
        scenario=scenario.name,
        router=router,
        seed=seed,
        classes=classes,
        goodput_per_s=round(sum(one.goodput_per_s for one in classes.values()), 1),
        slots_busy_share=_slots_busy_share(scenario, during),
        others_refused_share=round(
            sum(one.result == "refused" for one in others) / max(1, len(others)), 4
        ),
        others_p99_ms=_latency_ms(others, 0.99, extra_s),
        refusals_p99_ms=round(quantile(refused_ms, 0.99), 2),
        unserved_caller_s=_longest_unserved_s(
            (one.ticket.caller, one) for one in requests
        ),
        unserved_key_s=_longest_unserved_s(
            (one.ticket.key, one) for one in requests if one.ticket.key is not None
        ),
        gave_up_share=_gave_up_share(scenario, requests),
        wrong_runs=sum(_is_wrong(one) for one in requests),
        runs_per_request=round(
            sum(one.runs for one in requests) / max(1, len(requests)), 3
        ),
        normal_after_s=_normal_after_s(scenario, requests, extra_s),
    )


def _of(name: str, requests: list[Request]) -> list[Request]:
    return [one for one in requests if one.ticket.request_class == name]


def _is_other(request: Request) -> bool:
    """Whether the request is a short one, neither of the hot caller nor the hot key."""
    ticket = request.ticket
    if ticket.caller == "hot" or ticket.key == "0":
        return False
    return request.work_s < LONG_WORK_S


def _latency_ms(requests: list[Request], share: float, extra_s: float) -> float:
    """Return a quantile over answers, with what failed counted as endless."""
    values = [
        one.ended_s - one.submitted_s + extra_s if one.result == "ok" else ENDLESS_MS
        for one in requests
        if one.result in ("ok", "failed")
    ]
    return round(min(quantile(values, share) * 1000, ENDLESS_MS), 1)


def _class_figures(
    during: list[Request], before: list[Request], extra_s: float
) -> ClassFigures:
    span_s = TO_S - FROM_S - SETTLING_S
    count = max(1, len(during))
    return ClassFigures(
        goodput_per_s=round(sum(_is_good(one, extra_s) for one in during) / span_s, 1),
        offered_per_s=round(len(during) / span_s, 1),
        p50_ms=_latency_ms(during, 0.5, extra_s),
        p99_ms=_latency_ms(during, 0.99, extra_s),
        p999_ms=_latency_ms(during, 0.999, extra_s),
        before_p99_ms=_latency_ms(before, 0.99, extra_s),
        refused_share=round(sum(o.result == "refused" for o in during) / count, 4),
        failed_share=round(sum(o.result == "failed" for o in during) / count, 5),
    )


def _slots_busy_share(scenario: Scenario, during: list[Request]) -> float:
    """Return the part of the slots' time that went into answers.

    Where slots are full, good answers a second differ by the work that chance gave
    to those who were served; this does not.
    """
    span_s = TO_S - FROM_S - SETTLING_S
    worked_s = sum(one.work_s for one in during if one.result == "ok")
    return round(worked_s / (span_s * scenario.servers * scenario.place.slots), 4)


def _is_good(request: Request, extra_s: float) -> bool:
    took_s = request.ended_s - request.submitted_s + extra_s
    return request.result == "ok" and took_s <= LIMITS_S[request.ticket.request_class]


def _gave_up_share(scenario: Scenario, requests: list[Request]) -> float:
    """Return the part of callers' wishes that were never answered, in all tries."""
    streams = {one.request_class: one for one in scenario.streams}
    gave_up = sum(
        one.result != "ok" and one.attempt >= _tries(streams, one) for one in requests
    )
    wishes = sum(one.attempt == 0 for one in requests)
    return round(gave_up / max(1, wishes), 4)


def _tries(streams: dict[str, Stream], request: Request) -> int:
    stream = streams[request.ticket.request_class]
    hot = request.ticket.caller == "hot"
    return stream.hot_tries if hot else stream.comes_back


def _is_wrong(request: Request) -> bool:
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
    """Return when the look-ups were as before again, None for not at all.

    Counted from the end of a burst or a fault, and from the beginning of a fault
    that stays.
    """
    looked_up = [
        one
        for one in requests
        if one.ticket.request_class == "consultation" and one.ticket.caller != "hot"
    ]
    before = [one for one in looked_up if BEFORE_FROM_S <= one.submitted_s < FROM_S]
    most_ms = _latency_ms(before, 0.99, extra_s) * NORMAL_P99_GROWTH
    bins: dict[int, list[Request]] = defaultdict(list)
    for one in looked_up:
        bins[int(one.submitted_s / BIN_S)].append(one)
    from_s = FROM_S if scenario.fault else TO_S
    calm = 0
    for number in range(int(from_s / BIN_S), int(scenario.end_s / BIN_S)):
        calm = calm + 1 if _is_normal(bins[number], most_ms, extra_s) else 0
        if calm == CALM_BINS:
            return (number + 1 - CALM_BINS) * BIN_S - from_s
    return None


def _is_normal(requests: list[Request], most_ms: float, extra_s: float) -> bool:
    if not requests:
        return False
    good = sum(_is_good(one, extra_s) for one in requests)
    if good < NORMAL_GOODPUT * len(requests):
        return False
    return _latency_ms(requests, 0.99, extra_s) <= most_ms
