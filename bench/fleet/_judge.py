"""What servers got, against what operators allow and against what hosts state."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import final

import msgspec
from soak._retry_checks import (
    Repeats,
    count_excess_runs,
    find_excess_runs,
    worst_window,
)

from gentianwharf.load import RetryAgreement
from gentianwharf.platform.standin import Arrival, RequestRun

from ._callers import SentRequest
from ._servers import RuleMove
from ._sheet import MAX_ATTEMPTS, MOVED_SERVICE, MOVING_RULE, SERVICES

LATE_S = 0.5
"""Beyond this, a send is a late one, and a deadline is a longer one."""

MAX_LONG_DEADLINES = 20
MAX_LONG_SHARE = 0.2


@final
@dataclass(kw_only=True)
class Record:
    """Everything that was counted in one run."""

    agreement: RetryAgreement
    sent: list[SentRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    runs: list[RequestRun] = field(default_factory=list)
    moves: list[RuleMove] = field(default_factory=list)
    stated: Counter[tuple[str, str]] = field(default_factory=Counter)
    """Writes by service and cause, as the hosts that run at the end state them."""


@final
class _Line(msgspec.Struct):
    """A line of a server.

    It is a run if it has ``begun_s``, a ``RuleMove`` if it has ``moved_at_s``, and
    otherwise an arrival.
    """

    server: str = ""
    request_id: str = ""
    service: str = ""
    arrived_s: float = 0.0
    deadline_ms: int | None = None
    shard: int | None = None
    begun_s: float | None = None
    ended_s: float = 0.0
    is_whole: bool = False
    moved: bool = False
    moved_at_s: float | None = None


def read_server_lines(lines: Iterable[bytes], record: Record) -> None:
    """Add the output of servers to the record."""
    for text in lines:
        if not text.startswith(b"{"):
            continue
        try:
            line = msgspec.json.decode(text, type=_Line)
        except msgspec.DecodeError:
            # The last line of a process that was ended while it wrote.
            continue
        if line.moved_at_s is not None:
            move = RuleMove(moved=line.moved, moved_at_s=line.moved_at_s)
            record.moves.append(move)
        elif line.begun_s is None:
            record.arrivals.append(
                Arrival(
                    server=line.server,
                    service=line.service,
                    request_id=line.request_id,
                    arrived_s=line.arrived_s,
                    deadline_ms=line.deadline_ms,
                )
            )
        else:
            record.runs.append(
                RequestRun(
                    server=line.server,
                    request_id=line.request_id,
                    shard=line.shard,
                    begun_s=line.begun_s,
                    ended_s=line.ended_s,
                    is_whole=line.is_whole,
                )
            )


def repeats_by_service(arrivals: Sequence[Arrival]) -> dict[str, list[float]]:
    """Return the times of arrivals beyond the first of each request, at any service."""
    first_at: dict[str, Arrival] = {}
    repeated_s: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda arrival: arrival.arrived_s):
        if first_at.setdefault(arrival.request_id, arrival) is not arrival:
            repeated_s[arrival.service].append(arrival.arrived_s)
    return repeated_s


def service_of(request: SentRequest, moves: Sequence[RuleMove]) -> str:
    """Return the service that the rules had for a request when it was sent."""
    if request.kind != MOVING_RULE.name:
        return request.service
    moved = [move.moved for move in moves if move.moved_at_s <= request.sent_s]
    return MOVED_SERVICE if moved and moved[-1] else request.service


def worst_windows(record: Record) -> dict[str, Repeats]:
    """Return the worst window of each service."""
    repeated_s = repeats_by_service(record.arrivals)
    worst = {}
    for service in SERVICES:
        sent_s = sorted(
            request.sent_s
            for request in record.sent
            if service_of(request, record.moves) == service.name
        )
        worst[service.name] = worst_window(
            sent_s, repeated_s.get(service.name, []), agreement=record.agreement
        )
    return worst


def most_in_window(times_s: Sequence[float], window_s: float) -> int:
    """Return the largest number of times within any window; ``times_s`` in order."""
    most = first = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def excess_runs(record: Record) -> int:
    """Return how many requests ran on more servers than their route allows."""
    runs = [(run.request_id, run.server) for run in record.runs]
    return count_excess_runs(runs, max_attempts=MAX_ATTEMPTS)


@final
@dataclass(frozen=True, kw_only=True)
class LongDeadlines:
    """Sends that gave a server more time than was left, of all that may have."""

    count: int
    late_sends: int

    @property
    def is_excess(self) -> bool:
        """Whether they break the rule."""
        is_large = self.count > MAX_LONG_SHARE * max(1, self.late_sends)
        return self.count > MAX_LONG_DEADLINES and is_large


def long_deadlines(record: Record) -> LongDeadlines:
    """Compare the time given to servers with the time that callers had."""
    sent = {request.id: request for request in record.sent}
    by_id: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(record.arrivals, key=lambda arrival: arrival.arrived_s):
        by_id[arrival.request_id].append(arrival)
    count = late_sends = 0
    for request_id, arrivals in by_id.items():
        request = sent.get(request_id)
        if request is None:
            continue
        end_s = request.sent_s + request.deadline_ms / 1000
        first_end_s = _end_s(arrivals[0])
        for number, arrival in enumerate(arrivals):
            is_late = number and arrival.arrived_s > arrivals[0].arrived_s + LATE_S
            late_sends += bool(is_late)
            given_ms = arrival.deadline_ms
            is_longer = (
                given_ms is None or given_ms > request.deadline_ms + LATE_S * 1000
            )
            ends_later = _end_s(arrival) > max(end_s, first_end_s) + LATE_S
            count += bool(is_longer or (is_late and ends_later))
    return LongDeadlines(count=count, late_sends=late_sends)


def _end_s(arrival: Arrival) -> float:
    return arrival.arrived_s + (arrival.deadline_ms or 0) / 1000


def violations(record: Record) -> list[str]:
    """Return a line for each way in which BUDGET was broken."""
    window_s = record.agreement.window_s
    lines = [
        f"BUDGET: {service} got {worst.sent} repeats within {window_s} s,"
        f" {worst.allowed:.1f} are allowed"
        for service, worst in worst_windows(record).items()
        if worst.sent > worst.allowed
    ]
    runs = [(run.request_id, run.server) for run in record.runs]
    lines += find_excess_runs(runs, max_attempts=MAX_ATTEMPTS)
    long = long_deadlines(record)
    if long.is_excess:
        lines.append(
            f"BUDGET: {long.count} sends gave servers more time than was left, of"
            f" {long.late_sends} that came late"
        )
    return lines


def summary(record: Record) -> list[str]:
    """Return the figures of a run, a line for each service and one for all."""
    arrived = Counter(arrival.service for arrival in record.arrivals)
    repeated_s = repeats_by_service(record.arrivals)
    causes: Mapping[str, Counter[str]] = defaultdict(Counter)
    for (service, cause), count in record.stated.items():
        causes[service][cause] += count
    lines = []
    for service, worst in worst_windows(record).items():
        stated = causes[service]
        again = sum(stated.values()) - stated["first"]
        lines.append(
            f"{service}: worst window {worst.sent} of {worst.allowed:.1f}, most in a"
            f" window {most_in_window(repeated_s[service], record.agreement.window_s)},"
            f" {len(repeated_s[service])} repeats of {arrived[service]} arrivals; hosts"
            f" state {again} of {sum(stated.values())}: {dict(sorted(stated.items()))}"
        )
    first = [request for request in record.sent if request.is_first]
    served = sum(request.status == 200 for request in record.sent)
    statuses = Counter(request.status for request in record.sent)
    long = long_deadlines(record)
    lines.append(
        f"{len(first)} calls in {len(record.sent)} requests, {served} served"
        f" ({served / max(1, len(first)):.3f}); statuses"
        f" {dict(sorted(statuses.items()))}; {excess_runs(record)} ran on too many"
        f" servers; {long.count} of {long.late_sends} late sends with too much time"
    )
    return lines
