"""What this daemon knows of one backend server from its own requests.

Load pattern: one server becomes ten times slower, or freezes, while its health
endpoint still says that all is well. Servers that are chosen in turn keep getting their
share, and every request that lands there is late or lost.

A server's answers are compared with the median of its pool, so that overload, which
slows all of them, accuses none. One that is far slower, or owes an answer for
far too long, becomes *suspect*: it gets single probes, ever more rarely, until they
come back in time. Then, and after it joins cold, its share grows over some seconds.

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
from ._short_answers import ShortAnswers

# An answer counts as at most this many medians: one very long job says no more about
# its server than one that is eight times too long.
MAX_RATIO = 8.0
RATIO_SMOOTHING = 0.25
# Reached by three answers in a row of eight medians. Exponential service times do
# that once in some 30 million answers.
SUSPECT_RATIO = 4.5
# A cold server may be some times slower; without it the others would be too few.
COLD_SUSPECT_RATIO = 7.0
HEALTHY_RATIO = 3.0
# Means of usual service times lie up to this above their median; no reason to avoid.
USUAL_RATIO = 1.5
# An answer owed this long counts as bad before it arrives ...
OVERDUE_RATIO = 8.0
# ... but never below this, which loss and repetition of a packet alone can take.
MIN_OVERDUE_S = 0.05
# As long as a busy server takes to collect garbage or to reload.
RATIO_DECAY_S = 5.0
# Every tick would do a hundredth of it at a time.
DECAY_INTERVAL_S = 0.1
INITIAL_PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 8.0
PROBES_TO_RECOVER = 3
# A server that owes an overdue answer and has given none at all for this long is
# frozen. Longer than any pause of a server that collects garbage or reloads.
FROZEN_S = 1.0
# A request that must not repeat is no probe unless the server has shown life since.
UNSAFE_PROBE_DELAY_S = 30.0
RAMP_UP_S = 5.0
MIN_RAMP_SHARE = 0.35
# A leaving server's shards need this long to move; other work stops at once.
LEAVING_GRACE_S = 3.0
MAX_SHED_S = 1.0
# What a server says of its queue is old after some service times.
QUEUE_REPORT_LIFETIME_S = 0.5


class HealthStatus(StrEnum):
    """How a server is treated."""

    ACTIVE = "active"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@final
@dataclass(kw_only=True, slots=True, eq=False)
class Flight:
    """A request that was sent and has not ended; ``counted`` against the limit.

    ``paused`` says that this host stood still meanwhile: how long the answer took says
    nothing of its server.
    """

    ticket: Ticket
    server: str
    started_s: float
    long: bool
    hedge: bool = False
    counted: bool = True
    probe: bool = False
    evaluated: bool = False
    overdue: bool = False
    paused: bool = False


@final
@dataclass(kw_only=True, slots=True, eq=False)
class ServerState:
    """One row of the table of servers."""

    server: BackendServer
    local: bool
    max_connections: int
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
    listed: bool = True
    draining: bool = False
    shed_until_s: float = 0.0
    reported_queue: int = 0
    queue_reported_s: float = 0.0
    answer_count: int = 0
    decayed_s: float = 0.0
    overdue: int = 0
    short_answers: ShortAnswers = field(default_factory=ShortAnswers)

    def ramp_share(self, now_s: float) -> float:
        """Return the part of its usual work that the server gets, above 0 to 1."""
        if self.ramp_started_s is None:
            return 1.0
        part = (now_s - self.ramp_started_s) / RAMP_UP_S
        if part >= 1.0:
            self.ramp_started_s = None
            return 1.0
        return max(MIN_RAMP_SHARE, part)

    def has_capacity(self, now_s: float) -> bool:
        """Whether one more request may be sent, as far as the server goes."""
        if self.health is not HealthStatus.ACTIVE or now_s < self.shed_until_s:
            return False
        in_flight = len(self.flights)
        if in_flight >= self.max_connections:
            return False
        if self.ramp_started_s is None:
            return True
        return in_flight + 1 <= max(1.0, self.server.slots * self.ramp_share(now_s))

    def accepts_pinned(self, now_s: float) -> bool:
        """Whether a request that can go nowhere else may be sent."""
        if self.health is HealthStatus.LEAVING:
            return now_s < self.leaving_since_s + LEAVING_GRACE_S
        return self.health is HealthStatus.ACTIVE

    def accepts_probe(self, now_s: float, *, repeatable: bool) -> bool:
        """Whether the next request should find out if a suspect has recovered."""
        if self.health is not HealthStatus.SUSPECT or now_s < self.next_probe_s:
            return False
        if (
            repeatable
            or max(self.last_answer_s, self.last_report_s) > self.suspect_since_s
        ):
            return True
        return now_s > self.suspect_since_s + UNSAFE_PROBE_DELAY_S

    def record_probe(self, now_s: float) -> None:
        """Let the next probe wait: one is on its way."""
        self.next_probe_s = now_s + self.probe_interval_s

    def record_latency_ratio(self, ratio: float, now_s: float, *, probe: bool) -> None:
        """Judge an answer by how long it took against the pool's median."""
        ratio = min(ratio, MAX_RATIO)
        self.answer_count += 1
        if self.health is HealthStatus.SUSPECT:
            if probe:
                self._record_probe_answer(ratio, now_s)
            return
        self.latency_ratio += (ratio - self.latency_ratio) * RATIO_SMOOTHING

    def decay_ratio(self, now_s: float) -> None:
        """Let slow answers count for less with time.

        A server that seems slow is passed over while the others have room, and then
        has no answers that could show that it is well again.
        """
        if now_s < self.decayed_s + DECAY_INTERVAL_S:
            return
        part = min(1.0, (now_s - self.decayed_s) / RATIO_DECAY_S)
        self.latency_ratio += (USUAL_RATIO - self.latency_ratio) * part
        self.decayed_s = now_s

    def is_too_slow(self) -> bool:
        """Whether its answers make it a suspect."""
        most = SUSPECT_RATIO if self.ramp_started_s is None else COLD_SUSPECT_RATIO
        return self.health is HealthStatus.ACTIVE and self.latency_ratio > most

    def is_silent_since(self, flight: Flight) -> bool:
        """Whether nothing came back since this request was sent."""
        return self.last_answer_s < flight.started_s

    def is_silent(self) -> bool:
        """Whether nothing came back since the oldest request that it still owes."""
        oldest = next(iter(self.flights.values()), None)
        return oldest is not None and self.is_silent_since(oldest)

    def suspect(self, now_s: float) -> None:
        """Stop sending work to it, but for probes."""
        self.health = HealthStatus.SUSPECT
        self.suspect_since_s = now_s
        self.probe_interval_s = INITIAL_PROBE_INTERVAL_S
        self.next_probe_s = now_s + self.probe_interval_s
        self.good_probes = 0

    def record_queue(self, waiting: int, now_s: float) -> None:
        """Note how many requests the server said to have waiting."""
        self.reported_queue = waiting
        self.queue_reported_s = now_s

    def estimated_queue(self, now_s: float) -> float:
        """Return what waits there, as far as its last word still tells."""
        left = 1.0 - (now_s - self.queue_reported_s) / QUEUE_REPORT_LIFETIME_S
        return self.reported_queue * left if left > 0 else 0.0

    def record_shed(self, now_s: float, wait_s: float) -> None:
        """Believe a server that says it is full, for a bounded time."""
        self.shed_until_s = now_s + min(wait_s, MAX_SHED_S)

    def set_listed(self, listed: bool, now_s: float) -> None:
        """Follow the list of the service's servers."""
        self.listed = listed
        self._update_leaving(now_s)

    def set_draining(self, draining: bool, now_s: float) -> None:
        """Follow the server's own word that it is leaving.

        The list lags behind: it may name the server for long after that, and must
        not bring it back.
        """
        self.draining = draining
        self._update_leaving(now_s)

    def _update_leaving(self, now_s: float) -> None:
        leaving = self.draining or not self.listed
        if leaving and self.health is not HealthStatus.LEAVING:
            self.health = HealthStatus.LEAVING
            self.leaving_since_s = now_s
        elif not leaving and self.health is HealthStatus.LEAVING:
            self.reactivate(now_s)

    def reactivate(self, now_s: float) -> None:
        """Take work again, beginning with little."""
        self.health = HealthStatus.ACTIVE
        self.latency_ratio = USUAL_RATIO
        self.ramp_started_s = now_s

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
