"""The state of one backend server, derived from this daemon's own requests.

Load pattern: one server becomes ten times slower, or freezes, while its health
endpoint still reports that it is healthy. With round robin it keeps its share, and
every request sent to it is late or lost.

A server's answers are compared with the median of its pool, so that overload, which
slows all servers, makes none of them suspect. A server that is far slower, or leaves a
request unanswered for far too long, becomes *suspect*: it gets single probes at
increasing intervals until they are answered in time. After that, and after it joins
cold, its share is ramped up over some seconds.

>>> server = BackendServer(id="ledger-1", service="ledger", domain="hall-a",
...                        address="127.0.0.1:9200", slots=3, connections=120)
>>> state = ServerState(server=server, local=True, max_connections=10)
>>> for _ in range(3):
...     state.record_latency_ratio(10.0, 1.0, probe=False)
>>> state.is_too_slow()
True
>>> state.suspect(1.0)
>>> state.has_capacity(1.1), state.accepts_probe(1.6, repeatable=True)
(False, True)
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import final

from gentianwharf.topology import BackendServer

from ._requests import Ticket
from ._server_notices import ServerNotices
from ._short_answers import ShortAnswers

# Cap on an answer's time in medians: a single very long job is no stronger evidence
# against its server than one of eight medians.
MAX_RATIO = 8.0
RATIO_SMOOTHING = 0.25
# Reached by three consecutive answers of eight medians. With exponential service times
# that happens by chance once in about 30 million answers.
SUSPECT_RATIO = 4.5
# A cold server may be several times slower than the others, and its capacity is needed.
COLD_SUSPECT_RATIO = 7.0
HEALTHY_RATIO = 3.0
# The mean of typical service time distributions is up to this many medians, so it is no
# reason to avoid a server.
USUAL_RATIO = 1.5
# A request without an answer for this many medians is overdue ...
OVERDUE_RATIO = 8.0
# ... but never before this time, which a lost and retransmitted packet can take.
MIN_OVERDUE_S = 0.05
# As long as a busy server takes for a garbage collection or a reload.
RATIO_DECAY_S = 5.0
# Decaying at every tick would do a hundredth of the work at a time.
DECAY_INTERVAL_S = 0.1
INITIAL_PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 8.0
PROBES_TO_RECOVER = 3
# A server with an overdue request that has sent no answer for this long is frozen. This
# is longer than the pause of a server for a garbage collection or a reload.
FROZEN_S = 1.0
# A request that must not repeat is used as a probe only after this time, unless the
# server has answered or reported itself healthy since it became suspect.
UNSAFE_PROBE_DELAY_S = 30.0
RAMP_UP_S = 5.0
MIN_RAMP_SHARE = 0.35
# The shards of a leaving server take this long to move; other work stops at once.
LEAVING_GRACE_S = 3.0
UNREACHABLE_S = 2.0
"""Time for which a server that left a query for its load unanswered is not queried."""
MAX_AVOID_S = 8.0
MAX_FALSE_REPORTS = 3
# A reported queue length is out of date after several service times.
QUEUE_REPORT_LIFETIME_S = 0.5


class HealthStatus(StrEnum):
    """Whether a server gets work."""

    ACTIVE = "active"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@final
@dataclass(kw_only=True, slots=True, eq=False)
class Flight:
    """A request in flight; ``counted`` while it counts against the pool's limit.

    ``paused`` is set when this host was paused while the request was in flight: the
    time to the answer is then not evidence about the server. ``work_ratio`` is that of
    the server at the start, None if it is unknown or if the request had to wait there.
    ``was_hedged`` is set once the request was sent to a second server as well.
    """

    ticket: Ticket
    server: str
    started_s: float
    long: bool
    hedge: bool = False
    was_hedged: bool = False
    counted: bool = True
    probe: bool = False
    evaluated: bool = False
    overdue: bool = False
    paused: bool = False
    work_ratio: float | None = None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """A server's load at a time; ``slowdown`` is a multiple of the usual work time."""

    running: int
    waiting: int
    slowdown: float
    at_s: float


@final
@dataclass(kw_only=True, slots=True, eq=False)
class ServerState:
    """The state of one backend server; times in seconds."""

    server: BackendServer
    local: bool
    max_connections: int
    preference: int = 0
    """Position of the server in this host's order of preference."""
    flights: dict[str, Flight] = field(default_factory=dict)
    health: HealthStatus = HealthStatus.ACTIVE
    latency_ratio: float = USUAL_RATIO
    ramp_started_s: float | None = None
    next_probe_s: float = 0.0
    probe_interval_s: float = INITIAL_PROBE_INTERVAL_S
    good_probes: int = 0
    suspect_since_s: float = 0.0
    last_answer_s: float = 0.0
    last_report_s: float = 0.0
    leaving_since_s: float = 0.0
    leaving_grace_s: float = LEAVING_GRACE_S
    """Time for which an owner that leaves still gets requests for its shards."""
    listed: bool = True
    draining: bool = False
    shed_until_s: float = 0.0
    reported_queue: int = 0
    queue_reported_s: float = 0.0
    answer_count: int = 0
    decayed_s: float = 0.0
    overdue: int = 0
    notices: ServerNotices = field(default_factory=ServerNotices)
    report: LoadReport | None = None
    speed: float = 1.0
    """The server's speed relative to the mean of its service."""
    unreachable_until_s: float = 0.0
    false_reports: int = 0
    short_answers: ShortAnswers = field(default_factory=ShortAnswers)

    def ramp_share(self, now_s: float) -> float:
        """Return the share of its normal load that the server gets, at most 1."""
        if self.ramp_started_s is None:
            return 1.0
        fraction = (now_s - self.ramp_started_s) / RAMP_UP_S
        if fraction >= 1.0:
            self.ramp_started_s = None
            return 1.0
        return max(MIN_RAMP_SHARE, fraction)

    def has_capacity(self, now_s: float) -> bool:
        """Whether the server's own state and limits allow one more request."""
        if self.health is not HealthStatus.ACTIVE or now_s < self.shed_until_s:
            return False
        if not self.notices.may_send(now_s):
            return False
        if len(self.flights) >= self.max_connections:
            return False
        return self.has_ramp_capacity(now_s)

    def has_ramp_capacity(self, now_s: float) -> bool:
        """Whether the share of a server that ramps up allows one more request."""
        if self.ramp_started_s is None:
            return True
        limit = max(1.0, self.server.slots * self.ramp_share(now_s))
        return len(self.flights) + 1 <= limit

    def work_ratio(self, report: LoadReport) -> float:
        """Return how long work takes now, relative to the mean of the service."""
        return report.slowdown / self.speed

    def can_be_queried(self, now_s: float) -> bool:
        """Whether a query for the server's load may lead to a request."""
        return now_s >= self.unreachable_until_s and self.has_capacity(now_s)

    def note_unreachable(self, now_s: float) -> None:
        """Record that the server left a query for its load unanswered."""
        self.unreachable_until_s = now_s + UNREACHABLE_S

    def record_false_report(self, now_s: float) -> None:
        """Record that the server refused a request although it reported a free slot.

        Such a server seems to be the least busy one, and would attract requests.
        """
        avoid_s = UNREACHABLE_S * 2**self.false_reports
        self.unreachable_until_s = now_s + min(avoid_s, MAX_AVOID_S)
        self.false_reports = min(self.false_reports + 1, MAX_FALSE_REPORTS)

    def record_true_report(self) -> None:
        """Record that the server ran a request for which it reported a free slot."""
        self.false_reports = max(0, self.false_reports - 1)

    def accepts_pinned(self, now_s: float) -> bool:
        """Whether a request that no other server may run may be sent."""
        if self.health is HealthStatus.LEAVING:
            return now_s < self.leaving_since_s + self.leaving_grace_s
        return self.health is HealthStatus.ACTIVE

    def may_still_send(self, now_s: float) -> bool:
        """Whether a request that was started may be sent now."""
        if now_s < self.notices.rest_until_s:
            return False
        return self.health is not HealthStatus.LEAVING or self.accepts_pinned(now_s)

    def accepts_probe(self, now_s: float, *, repeatable: bool) -> bool:
        """Whether the next request should probe if a suspect server has recovered."""
        if self.health is not HealthStatus.SUSPECT or now_s < self.next_probe_s:
            return False
        if not self.notices.may_send(now_s):
            return False
        if (
            repeatable
            or max(self.last_answer_s, self.last_report_s) > self.suspect_since_s
        ):
            return True
        return now_s > self.suspect_since_s + UNSAFE_PROBE_DELAY_S

    def record_sent(self, flight: Flight) -> None:
        """Count a request that is sent."""
        self.flights[flight.ticket.id] = flight
        self.notices.last_sent_s = flight.started_s

    def record_probe(self, now_s: float) -> None:
        """Schedule the next probe after one that has just been sent."""
        self.next_probe_s = now_s + self.probe_interval_s

    def record_latency_ratio(self, ratio: float, now_s: float, *, probe: bool) -> None:
        """Record an answer that took ``ratio`` times the pool's median."""
        ratio = min(ratio, MAX_RATIO)
        self.answer_count += 1
        if self.health is HealthStatus.SUSPECT:
            if probe:
                self._record_probe_answer(ratio, now_s)
            return
        self.latency_ratio += (ratio - self.latency_ratio) * RATIO_SMOOTHING

    def decay_ratio(self, now_s: float) -> None:
        """Let ``latency_ratio`` decay towards ``USUAL_RATIO`` over time.

        A server that appears slow is not chosen while others have capacity, and would
        then have no answers to show that it has recovered.
        """
        if now_s < self.decayed_s + DECAY_INTERVAL_S:
            return
        fraction = min(1.0, (now_s - self.decayed_s) / RATIO_DECAY_S)
        self.latency_ratio += (USUAL_RATIO - self.latency_ratio) * fraction
        self.decayed_s = now_s

    def is_too_slow(self) -> bool:
        """Whether the server's answers are slow enough to make it suspect."""
        limit = SUSPECT_RATIO if self.ramp_started_s is None else COLD_SUSPECT_RATIO
        return self.health is HealthStatus.ACTIVE and self.latency_ratio > limit

    def is_silent_since(self, flight: Flight) -> bool:
        """Whether the server has sent no answer since this request was sent."""
        return self.last_answer_s < flight.started_s

    def is_silent(self) -> bool:
        """Whether the server has sent no answer since its oldest request in flight."""
        oldest = next(iter(self.flights.values()), None)
        return oldest is not None and self.is_silent_since(oldest)

    def suspect(self, now_s: float) -> None:
        """Stop sending requests to the server, except for probes."""
        self.health = HealthStatus.SUSPECT
        self.suspect_since_s = now_s
        self.probe_interval_s = INITIAL_PROBE_INTERVAL_S
        self.next_probe_s = now_s + self.probe_interval_s
        self.good_probes = 0

    def record_queue(self, waiting: int, now_s: float) -> None:
        """Record how many waiting requests the server reported."""
        self.reported_queue = waiting
        self.queue_reported_s = now_s

    def estimated_queue(self, now_s: float) -> float:
        """Return the reported queue length, weighted down with the report's age."""
        weight = 1.0 - (now_s - self.queue_reported_s) / QUEUE_REPORT_LIFETIME_S
        return self.reported_queue * weight if weight > 0 else 0.0

    def record_shed(self, now_s: float, wait_s: float) -> None:
        """Stop sending to a server that sheds, for ``wait_s``."""
        self.shed_until_s = max(self.shed_until_s, now_s + wait_s)

    def set_listed(self, listed: bool, now_s: float) -> None:
        """Set whether the list of the service's servers contains this one."""
        self.listed = listed
        self.update_leaving(now_s)

    def set_draining(self, draining: bool, now_s: float) -> None:
        """Set whether the server reports that it is draining.

        The list of servers lags behind and may contain a draining server for a long
        time; that must not make it active again.
        """
        self.draining = draining
        self.update_leaving(now_s)

    def update_leaving(self, now_s: float) -> None:
        """Update whether the server leaves, by its entry, reports and notices."""
        leaving = self.draining or not self.listed
        if self.notices.leaving_since_s is not None:
            leaving, now_s = True, self.notices.leaving_since_s
        if leaving and self.health is not HealthStatus.LEAVING:
            self.health = HealthStatus.LEAVING
            self.leaving_since_s = now_s
        elif not leaving and self.health is HealthStatus.LEAVING:
            self.reactivate(now_s)

    def reactivate(self, now_s: float) -> None:
        """Make the server active again and ramp up its share."""
        self.health = HealthStatus.ACTIVE
        self.latency_ratio = USUAL_RATIO
        self.ramp_started_s = now_s

    def forget_failures(self, now_s: float) -> None:
        """Make a suspect server active, and disregard the requests in flight."""
        for flight in self.flights.values():
            flight.paused = flight.evaluated = True
            flight.overdue = False
        self.overdue = 0
        self.unreachable_until_s = now_s
        if self.health is HealthStatus.SUSPECT:
            self.health = HealthStatus.ACTIVE
        self.latency_ratio = USUAL_RATIO

    def _record_probe_answer(self, ratio: float, now_s: float) -> None:
        if ratio > HEALTHY_RATIO:
            self.good_probes = 0
            self.probe_interval_s = min(MAX_PROBE_INTERVAL_S, self.probe_interval_s * 2)
            self.next_probe_s = now_s + self.probe_interval_s
            return
        self.good_probes += 1
        self.next_probe_s = now_s
        if self.good_probes >= PROBES_TO_RECOVER:
            self.reactivate(now_s)
