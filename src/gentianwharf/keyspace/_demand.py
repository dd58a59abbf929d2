"""The load of shards and of their holders, as recently reported by all hosts.

Load pattern: a few hundred adjacent keys become hot within a second, and others a few
seconds later. Counts decay within seconds, so that hot shards stand out soon and stop
counting as hot soon after. A service with many servers and few requests for each is
counted for longer.

The speed of a server is derived from the service time of requests that it did not
queue, and, for a server that is full, from its throughput. Servers of one service
differ in speed by more than a factor of two; with equal shares the slow ones are full
while the fast ones are idle. A server that is so slow that requests reach their
deadline first reports no times; it is recognised by the number of unanswered requests.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import exp, log, sqrt
from typing import final

from ._shard_counts import ShardCounts
from ._shard_load import ShardLoad

MIN_DECAY_S = 2.0
"""Minimum time constant of the decay. It covers about a hundred requests of a service
with hundreds a second, among which a hot key's share shows within half a second."""

MAX_DECAY_S = 8.0

REQUESTS_PER_SERVER = 12
"""Requests per server that the counts should cover. With fewer, the loads of servers
differ so much by chance that only multiples of the mean stand out."""

SPEED_SMOOTHING = 0.4
"""Weight of one comparison: speeds change more slowly than keys become hot."""

MIN_ANSWERS = 8.0
"""A server's speed is not estimated from fewer answers than this."""

SPEED_ANSWERS = 100
"""Answers per server that its mean service time should cover. Service times vary about
as much as their mean, so that the mean of thirty is often a fifth off."""

MAX_SPEED_DECAY_S = 15.0

MIN_SERVICE_TIME_S = 1e-4

MIN_RECENT_ANSWERS = 4.0
CHANGED_DEVIATIONS = 2.5
"""Standard deviations between the recent and the long-term mean service time, from so
many recent answers, from which the server's speed has changed. The long-term mean is
then discarded."""

SERVICE_TIME_DEVIATION = 0.8
"""Standard deviation of the logarithm of service times."""

MIN_UNANSWERED = 3.0
"""Requests that reached their deadline unanswered; fewer may be due to lost packets."""

MIN_REJECTIONS = 5.0
MIN_REJECTING_S, REJECTING_SERVICE_TIMES = 1.0, 4.0
"""A server that has rejected so many requests rejects all if it executed none for this
time and for so many service times. A full server still executes as many requests as it
has slots for."""

REJECTS_FOR_S = 15.0
"""Time for which a server counts as rejecting all requests unless it executes one:
without shards it gets none that could show it."""

STUCK_RATIO = 0.3
"""Ratio of unanswered to executed requests above which a server counts as stuck; a
server that occasionally loses an answer stays below it."""

STUCK_SLOWDOWN = 0.6
"""Factor on a stuck server's speed for each comparison. With two comparisons a second,
the speed drops to about a third of the mean within one second."""

FULL_QUEUE = 0.5
"""Mean number of queued requests above which a server counts as full."""

MAX_SPEED = 3.0
"""Limit of the ratio between a server's speed and the mean, and of its inverse. Larger
deviations are chance, or faults that are handled elsewhere."""

Clock = Callable[[], float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ObservedLoad:
    """Totals of the load that one server reported in its answers.

    ``executed`` counts the answers to requests that were executed. ``unqueued`` counts
    those of them that were given while no request was queued at the server;
    ``unqueued_s`` is how long these took together. ``unanswered`` counts requests that
    reached their deadline without an answer.
    """

    running: float
    waiting: float
    answers: float
    executed: float = 0.0
    unqueued: float = 0.0
    unqueued_s: float = 0.0
    unanswered: float = 0.0


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _ServerLoad:
    running: float = 0.0
    waiting: float = 0.0
    answers: float = 0.0
    executed: float = 0.0
    unqueued: float = 0.0
    unqueued_s: float = 0.0
    unanswered: float = 0.0
    unqueued_log: float = 0.0
    """The sum of the logarithms of the unqueued service times."""
    timed: float = 0.0
    """``unqueued``, ``unqueued_s`` and ``unqueued_log``, but decayed more slowly."""
    timed_s: float = 0.0
    timed_log: float = 0.0
    speed: float = 1.0
    is_measured: bool = False
    rejections: float = 0.0
    """Rejected requests since one was executed."""
    executed_s: float = 0.0
    rejects_until_s: float = 0.0

    def update_rejects(self, observed: ObservedLoad, now_s: float) -> None:
        """Update whether the server rejects every request."""
        if observed.executed or not self.executed_s:
            self.executed_s = now_s
            self.rejections = self.rejects_until_s = 0.0
            return
        self.rejections += observed.answers
        rejecting_s = MIN_REJECTING_S
        if self.unqueued:
            service_time_s = self.unqueued_s / self.unqueued
            rejecting_s = max(rejecting_s, service_time_s * REJECTING_SERVICE_TIMES)
        is_long = now_s >= self.executed_s + rejecting_s
        if is_long and self.rejections >= MIN_REJECTIONS:
            self.rejects_until_s = now_s + REJECTS_FOR_S

    def is_stuck(self) -> bool:
        """Whether a large share of the requests to the server went unanswered."""
        if self.unanswered < MIN_UNANSWERED:
            return False
        return self.unanswered > self.executed * STUCK_RATIO

    def note_times(self, observed: ObservedLoad, spread: float) -> None:
        """Add the service times of requests that were not queued.

        ``spread`` is the logarithm of the ratio of their mean to their geometric mean.
        """
        if not observed.unqueued:
            return
        time_s = max(observed.unqueued_s / observed.unqueued, MIN_SERVICE_TIME_S)
        # The more requests a mean covers, the less it differs from the overall mean.
        log_time = log(time_s) - spread * (1 - 1 / max(1.0, observed.unqueued))
        self.unqueued_log += observed.unqueued * log_time
        self.timed += observed.unqueued
        self.timed_s += time_s * observed.unqueued
        self.timed_log += observed.unqueued * log_time

    def service_time_s(self, decay_s: float, spread: float) -> float | None:
        """Return the service time of a request without queueing, None if unknown.

        A full server queues nearly every request. Its service time follows from its
        concurrency and throughput (Little's law). Without that estimate a full server
        would be assumed to have the mean speed, and would stay full.

        Unqueued times are compared by their geometric mean, since a few requests in a
        hundred take several times as long. ``spread`` converts it to the mean.
        """
        if self._is_changed():
            self.timed, self.timed_s = self.unqueued, self.unqueued_s
            self.timed_log = self.unqueued_log
        if self.unqueued >= MIN_ANSWERS:
            return exp(self.timed_log / self.timed + spread)
        if self.executed >= MIN_ANSWERS and self.waiting > self.answers * FULL_QUEUE:
            running = self.running / self.answers
            return running / (self.executed / decay_s)
        if self.timed >= MIN_RECENT_ANSWERS:
            return exp(self.timed_log / self.timed + spread)
        return None

    def _is_changed(self) -> bool:
        """Whether recent service times differ clearly from the long-term mean."""
        if self.unqueued < MIN_RECENT_ANSWERS:
            return False
        recent = self.unqueued_log / self.unqueued
        # A decayed count of n stands for 2n requests.
        deviation = SERVICE_TIME_DEVIATION / sqrt(2 * self.unqueued)
        usual = self.timed_log / self.timed
        return abs(recent - usual) > CHANGED_DEVIATIONS * deviation


@final
class Demand:
    """The demand for one service, as reported by all hosts."""

    def __init__(self, *, now_s: Clock) -> None:
        self._now_s = now_s
        self._decayed_s = now_s()
        self._counts = ShardCounts()
        self._servers: dict[str, _ServerLoad] = {}
        self._recent = 0.0
        """Requests, decayed with ``MIN_DECAY_S`` whatever the time constant is."""
        self._server_count = 1
        self._spread = 0.0
        """Logarithm of the ratio of service times' mean to their geometric mean."""

    def set_server_count(self, count: int) -> None:
        """Set how many servers hold the service's shards."""
        self._server_count = max(1, count)

    @property
    def decay_s(self) -> float:
        """The time constant with which counts decay, in seconds."""
        if not self._recent:
            return MIN_DECAY_S
        rate_per_s = self._recent / MIN_DECAY_S
        wanted_s = REQUESTS_PER_SERVER * self._server_count / rate_per_s
        return min(MAX_DECAY_S, max(MIN_DECAY_S, wanted_s))

    @property
    def speed_decay_s(self) -> float:
        """The time constant with which service times decay, in seconds."""
        if not self._recent:
            return MIN_DECAY_S
        wanted_s = SPEED_ANSWERS * self._server_count * MIN_DECAY_S / self._recent
        return min(MAX_SPEED_DECAY_S, max(self.decay_s, wanted_s))

    @property
    def requests_per_s(self) -> float:
        """The recent rate of requests for the service."""
        self._decay()
        return self._recent / MIN_DECAY_S

    def note_requests(self, counts: Mapping[int, float]) -> None:
        """Count requests by shard."""
        self._decay()
        self._counts.add(counts)
        self._recent += sum(counts.values())

    def note_load(self, server_id: str, observed: ObservedLoad) -> None:
        """Add the load that a server reported."""
        self._decay()
        server = self._servers.setdefault(server_id, _ServerLoad())
        server.update_rejects(observed, self._now_s())
        server.running += observed.running
        server.waiting += observed.waiting
        server.answers += observed.answers
        server.executed += observed.executed
        server.unqueued += observed.unqueued
        server.unqueued_s += observed.unqueued_s
        server.unanswered += observed.unanswered
        server.note_times(observed, self._spread)

    def load(self, shards: int) -> ShardLoad:
        """Return the current load by shard."""
        self._decay()
        counts = self._counts.current(shards, decay_s=self.decay_s)
        return ShardLoad(counts=counts, shards=shards)

    def update_speeds(self) -> None:
        """Compare the servers' service times; to be called at regular intervals."""
        stuck = {
            server_id
            for server_id, server in self._servers.items()
            if server.is_stuck()
        }
        for server_id in stuck:
            server = self._servers[server_id]
            server.speed = max(1 / MAX_SPEED, server.speed * STUCK_SLOWDOWN)
        self._update_spread()
        known = {
            server_id: server.service_time_s(self.decay_s, self._spread)
            for server_id, server in self._servers.items()
            if server_id not in stuck
        }
        times = {
            server_id: time_s
            for server_id, time_s in known.items()
            if time_s is not None
        }
        if len(times) < 2:
            return
        mean_s = sum(times.values()) / len(times)
        for server_id, time_s in times.items():
            server = self._servers[server_id]
            speed = min(MAX_SPEED, max(1 / MAX_SPEED, mean_s / time_s))
            # The first measurement replaces the default speed at once: with an equal
            # share, a slow server is full from the first second.
            weight = SPEED_SMOOTHING if server.is_measured else 1.0
            server.speed += (speed - server.speed) * weight
            server.is_measured = True

    def _update_spread(self) -> None:
        timed = [server for server in self._servers.values() if server.timed > 0]
        mean_s = sum(server.timed_s for server in timed)
        geometric_s = sum(
            server.timed * exp(server.timed_log / server.timed) for server in timed
        )
        if geometric_s:
            self._spread = max(0.0, log(mean_s / geometric_s))

    def speed(self, server_id: str) -> float:
        """Return a server's speed relative to the mean, 1 if it is unknown."""
        server = self._servers.get(server_id)
        return server.speed if server is not None else 1.0

    def rejects_all(self, server_id: str) -> bool:
        """Whether a server rejects every request, by its answers to all hosts."""
        server = self._servers.get(server_id)
        return server is not None and self._now_s() < server.rejects_until_s

    def running(self, server_id: str) -> float | None:
        """Return a server's mean number of running requests, None if unknown."""
        server = self._servers.get(server_id)
        if server is None or server.answers < 1.0:
            return None
        return server.running / server.answers

    def _decay(self) -> None:
        now_s = self._now_s()
        elapsed_s = now_s - self._decayed_s
        if elapsed_s < 0.1:
            return
        self._decayed_s = now_s
        decay_s = self.decay_s
        factor = exp(-elapsed_s / decay_s)
        speed_factor = exp(-elapsed_s / self.speed_decay_s)
        self._recent *= exp(-elapsed_s / MIN_DECAY_S)
        self._counts.decay(elapsed_s, decay_s=decay_s)
        for server in self._servers.values():
            server.running *= factor
            server.waiting *= factor
            server.answers *= factor
            server.executed *= factor
            server.unqueued *= factor
            server.unqueued_s *= factor
            server.unanswered *= factor
            server.unqueued_log *= factor
            server.timed *= speed_factor
            server.timed_s *= speed_factor
            server.timed_log *= speed_factor
