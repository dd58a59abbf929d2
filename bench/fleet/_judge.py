"""What servers got, against what operators allow and against what hosts state."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import final

import msgspec
from soak._retry_checks import (
    Repeats,
    count_excess_runs,
    describe_excess,
    find_excess_runs,
    worst_window,
)
from soak._uploads import find_unasked

from gentianwharf.load import RetryAgreement
from gentianwharf.platform.standin import (
    Arrival,
    BodyReport,
    RequestRun,
    StoreOrder,
    StoreOrderReport,
)

from ._callers import SentRequest
from ._orders import AddressReassigned, HeldBytes, Order, RuleMove, ServerEnd
from ._rules_in_force import (
    Delays,
    HostRules,
    Span,
    delays,
    describe_delays,
    find_late,
    store_outages_s,
)
from ._sheet import (
    CONTACT_S,
    LARGE,
    MAX_ATTEMPTS,
    MAX_CRASHES,
    MAX_LATE_SENDS,
    Sheet,
)

LATE_S = 0.5
"""Beyond this, a send is a late one, and a deadline is a longer one."""

MAX_LONG_DEADLINES = 20
MAX_LONG_SHARE = 0.2

QUARANTINE_REASON = "refused: the request has ended servers"
"""Begin of the title of a host's answer to such a request."""


@final
@dataclass(kw_only=True)
class Record:
    """Everything that was counted in one run."""

    agreement: RetryAgreement
    sheet: Sheet = LARGE
    sent: list[SentRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    runs: list[RequestRun] = field(default_factory=list)
    bodies: list[BodyReport] = field(default_factory=list)
    moves: list[RuleMove] = field(default_factory=list)
    ends: list[ServerEnd] = field(default_factory=list)
    reassigned: list[AddressReassigned] = field(default_factory=list)
    held: list[HeldBytes] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    """What servers were ordered to do."""
    store_orders: list[StoreOrder] = field(default_factory=list)
    store_reports: list[StoreOrderReport] = field(default_factory=list)
    store_pauses_s: list[Span] = field(default_factory=list)
    hosts: list[HostRules] = field(default_factory=list)
    begun_s: float = 0.0
    """When callers began to send; only later versions of the rules are checked."""
    stated: Counter[tuple[str, str]] = field(default_factory=Counter)
    """Writes by service and cause, as the hosts that run at the end state them."""


def read_server_lines(lines: Iterable[bytes], record: Record) -> None:
    """Add the output of servers to the record."""
    for text in lines:
        if not text.startswith(b"{"):
            continue
        try:
            fields = msgspec.json.decode(text)
        except msgspec.DecodeError:
            # The last line of a process that was ended while it wrote.
            continue
        if "moved_at_s" in fields:
            record.moves.append(msgspec.convert(fields, RuleMove))
        elif "ended_at_s" in fields:
            record.ends.append(msgspec.convert(fields, ServerEnd))
        elif "reassigned_at_s" in fields:
            record.reassigned.append(msgspec.convert(fields, AddressReassigned))
        elif "delivered_at_s" in fields:
            record.held.append(msgspec.convert(fields, HeldBytes))
        elif "received_bytes" in fields:
            record.bodies.append(msgspec.convert(fields, BodyReport))
        elif "arrived_s" in fields:
            record.arrivals.append(msgspec.convert(fields, Arrival))
        else:
            record.runs.append(msgspec.convert(fields, RequestRun))


def repeats_by_service(arrivals: Sequence[Arrival]) -> dict[str, list[float]]:
    """Return the times of arrivals beyond the first of each request, at any service."""
    first_at: dict[str, Arrival] = {}
    repeated_s: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda arrival: arrival.arrived_s):
        if first_at.setdefault(arrival.request_id, arrival) is not arrival:
            repeated_s[arrival.service].append(arrival.arrived_s)
    return repeated_s


def service_of(request: SentRequest, moves: Sequence[RuleMove], *, sheet: Sheet) -> str:
    """Return the service that the rules had for a request when it was sent."""
    if request.kind != sheet.moving.name:
        return request.service
    moved = [move.moved for move in moves if move.moved_at_s <= request.sent_s]
    return sheet.moved_service if moved and moved[-1] else request.service


def worst_windows(record: Record) -> dict[str, Repeats]:
    """Return the worst window of each service."""
    repeated_s = repeats_by_service(record.arrivals)
    sent_s: dict[str, list[float]] = defaultdict(list)
    for request in record.sent:
        service = service_of(request, record.moves, sheet=record.sheet)
        sent_s[service].append(request.sent_s)
    return {
        service.name: worst_window(
            sorted(sent_s[service.name]),
            repeated_s.get(service.name, []),
            agreement=record.agreement,
        )
        for service in record.sheet.services
    }


def most_in_window(times_s: Sequence[float], window_s: float) -> int:
    """Return the largest number of times within any window; ``times_s`` in order."""
    most = first = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def _run_places(record: Record) -> list[tuple[str, str]]:
    """Return a request's id and a server for each run."""
    return [(run.request_id, run.server) for run in record.runs]


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
    """Compare the time given to servers with the time that callers had.

    What a link has held is not counted: the time that is left is stated when a request
    is written.
    """
    sent = {request.id: request for request in record.sent}
    held_s: dict[str, list[float]] = defaultdict(list)
    for held in record.held:
        held_s[held.server].append(held.delivered_at_s)
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
            if any(
                0 <= arrival.arrived_s - at_s < CONTACT_S
                for at_s in held_s[arrival.server]
            ):
                continue
            given_ms = arrival.deadline_ms
            is_longer = (
                given_ms is None or given_ms > request.deadline_ms + LATE_S * 1000
            )
            ends_later = _end_s(arrival) > max(end_s, first_end_s) + LATE_S
            count += bool(is_longer or (is_late and ends_later))
    return LongDeadlines(count=count, late_sends=late_sends)


def _end_s(arrival: Arrival) -> float:
    return arrival.arrived_s + (arrival.deadline_ms or 0) / 1000


@final
@dataclass(frozen=True, kw_only=True)
class Crashes:
    """What became of the request that ends its servers, and of others beside it.

    ``late_sends`` came to servers later than ``CONTACT_S`` after the third of them had
    ended. ``innocents`` are other requests that a host refused as if they were it.
    """

    sent: int
    arrived: int
    ended: int
    late_sends: int
    innocents: int


def crashes(record: Record) -> Crashes | None:
    """Return what became of the request that ends its servers, None without one."""
    ids = {request.id for request in record.sent if request.is_crashing}
    if not ids:
        return None
    ends_s = sorted(end.ended_at_s for end in record.ends if end.by_request)
    arrivals_s = [
        arrival.arrived_s for arrival in record.arrivals if arrival.request_id in ids
    ]
    late_sends = 0
    if len(ends_s) >= MAX_CRASHES:
        end_s = ends_s[MAX_CRASHES - 1] + CONTACT_S
        late_sends = sum(at_s > end_s for at_s in arrivals_s)
    return Crashes(
        sent=len(ids),
        arrived=len(arrivals_s),
        ended=len(ends_s),
        late_sends=late_sends,
        innocents=sum(
            request.reason.startswith(QUARANTINE_REASON) and not request.is_crashing
            for request in record.sent
        ),
    )


def describe_crashes(crashes: Crashes) -> list[str]:
    """Return a line for each way in which hosts dealt wrongly with such a request."""
    lines = []
    if crashes.late_sends > MAX_LATE_SENDS:
        lines.append(
            f"BUDGET: {crashes.late_sends} sends of a request that ends its servers,"
            f" later than {CONTACT_S} s after the third end, expected"
            f" {MAX_LATE_SENDS} at most"
        )
    if crashes.innocents:
        lines.append(
            f"DENIED: {crashes.innocents} requests refused as if they ended servers"
        )
    return lines


def rule_delays(record: Record) -> list[Delays]:
    """Return how long each version of the rules took until hosts had it in force."""
    return list(
        delays(
            [
                (move.version, move.moved_at_s)
                for move in record.moves
                if move.moved_at_s >= record.begun_s
            ],
            record.hosts,
            outages_s=store_outages_s(record.store_reports) + record.store_pauses_s,
        )
    )


def revoked_items(record: Record) -> int:
    """Return how many items the store has taken away before their time."""
    return sum(report.revoked_items for report in record.store_reports)


def missing_effects(record: Record) -> list[str]:
    """Return a line for each order to servers that has had no effect."""
    lines = []
    if any(order.reassigned_share for order in record.orders) and not record.reassigned:
        lines.append("expected addresses that pass on, got none")
    if any(order.ended_share for order in record.orders) and not record.ends:
        lines.append("expected servers that end, got none")
    if any(order.held_share for order in record.orders) and not record.held:
        lines.append("expected links that hold bytes, got none")
    reported = [report.order for report in record.store_reports]
    if reported != record.store_orders:
        lines.append(
            f"expected the store to carry out {len(record.store_orders)} orders, got"
            f" {len(reported)}"
        )
    if any(order.revokes for order in reported) and not revoked_items(record):
        lines.append("expected leases or items that the store revokes, got none")
    if any(
        order.moves_rule is not None or order.added_rules is not None
        for order in record.orders
    ) and not rule_delays(record):
        lines.append("expected acknowledged versions of the rules, got none")
    return lines


def violations(record: Record) -> list[str]:
    """Return a line for each violated guarantee."""
    lines = [
        line
        for service, worst in worst_windows(record).items()
        for line in describe_excess(service, worst, agreement=record.agreement)
    ]
    lines += find_excess_runs(_run_places(record), max_attempts=MAX_ATTEMPTS)
    has_ended = {
        request.id: request.has_ended_body
        for request in record.sent
        if request.is_upload
    }
    lines += find_unasked(has_ended, record.bodies, _run_places(record))
    crashed = crashes(record)
    if crashed is not None:
        lines += describe_crashes(crashed)
    long = long_deadlines(record)
    if long.is_excess:
        lines.append(
            f"BUDGET: {long.count} sends gave servers more time than was left, of"
            f" {long.late_sends} that came late"
        )
    return lines + find_late(rule_delays(record), begun_s=record.begun_s)


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
    sent = [request for request in record.sent if not request.is_crashing]
    first = [request for request in sent if request.is_first]
    served = sum(request.status == 200 for request in sent)
    statuses = Counter(request.status for request in sent)
    long = long_deadlines(record)
    excess = count_excess_runs(_run_places(record), max_attempts=MAX_ATTEMPTS)
    lines.append(
        f"{len(first)} calls in {len(sent)} requests, {served} served"
        f" ({served / max(1, len(first)):.3f}); statuses"
        f" {dict(sorted(statuses.items()))}; {excess} ran on too many"
        f" servers; {long.count} of {long.late_sends} late sends with too much time"
    )
    held = {delivered.server for delivered in record.held}
    lines.append(
        f"{len(record.ends)} servers ended, {len(record.reassigned)} addresses passed"
        f" on, links held bytes for {len(held)} servers, {revoked_items(record)} items"
        " revoked"
    )
    lines.append(_describe_uploads(record))
    crashed = crashes(record)
    if crashed is not None:
        answers = Counter(
            f"{request.status} {request.reason}".strip()
            for request in record.sent
            if request.is_crashing
        )
        lines.append(
            f"the request that ends its servers: {crashed.sent} sends,"
            f" {crashed.arrived} arrivals, {crashed.ended} servers ended,"
            f" {crashed.late_sends} arrivals later than {CONTACT_S} s after the third;"
            f" {dict(sorted(answers.items()))}; {crashed.innocents} other requests"
            " refused like it"
        )
    return lines + describe_delays(rule_delays(record), begun_s=record.begun_s)


def _describe_uploads(record: Record) -> str:
    uploads = [request for request in record.sent if request.is_upload]
    answers = Counter(request.status for request in uploads)
    unfinished = sum(not request.has_ended_body for request in uploads)
    ended = sum(body.has_ended for body in record.bodies)
    return (
        f"{len(uploads)} uploads, {unfinished} not ended by their callers, answers"
        f" {dict(sorted(answers.items()))}; {ended} of {len(record.bodies)} bodies at"
        " servers whole"
    )
