"""How busy shards and their holders are, from what all hosts saw lately.

Load pattern: a few hundred keys side by side become hot within a second, and others a
few seconds later. What is counted fades within seconds, so that the hot ones stand out
soon and are forgotten soon.

How fast a server works follows from how long it took for what it did not let wait, and
for one that is full from how much it finishes: servers of one service differ by more
than two times, and an equal part fills the slow ones while the fast ones idle. One that
became so slow that nobody waits for its answers says nothing of itself any more; the
answers that it owes speak for it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import exp
from typing import final

from ._shard_load import ShardLoad

MEMORY_S = 2.0
"""Time constant of what is counted: some hundred requests of a service of hundreds a
second, of which a hot key's part is seen within half a second."""

SPEED_SMOOTHING = 0.4
"""Of one comparison in a second: speeds change more slowly than keys become hot."""

FORGET_BELOW = 0.02
"""Counts that have faded to this are dropped, so that the table stays small."""

LEAST_ANSWERS = 8.0
"""Below this many answers nothing is said of a server's speed."""

LEAST_UNANSWERED = 3.0
"""Requests that were given up after their whole time; fewer may be lost packets."""

STUCK_PART = 0.3
"""Of what ran there in time. Where more is given up than this, a server is stuck; one
whose answers are lost now and then is not."""

STUCK_FACTOR = 0.6
"""By comparison, twice a second: a third of the mean speed is reached in one second."""

FULL_WAITING = 0.5
"""Requests that wait there on the average, from which on a server counts as full."""

MOST_SPEED = 3.0
"""Times the mean speed of all servers, and its inverse the least: what seems further
off is chance, or a fault that others deal with."""

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
    speed: float = 1.0
    is_measured: bool = False

    def is_stuck(self) -> bool:
        """Whether much of what it was sent was given up."""
        if self.unanswered < LEAST_UNANSWERED:
            return False
        return self.unanswered > self.executed * STUCK_PART

    def work_s(self) -> float | None:
        """Return how long a request takes there without waiting, None if unknown.

        A full server lets nearly everything wait; what it runs at a time and how much
        it finishes tell how long each takes (Little's law). Without that it would be
        taken for as fast as any, and stay full.
        """
        if self.unqueued >= LEAST_ANSWERS:
            return self.unqueued_s / self.unqueued
        if (
            self.executed >= LEAST_ANSWERS
            and self.waiting > self.answers * FULL_WAITING
        ):
            running = self.running / self.answers
            return running / (self.executed / MEMORY_S)
        return None


@final
class Demand:
    """One service's demand, as all hosts report it."""

    def __init__(self, *, now_s: Clock) -> None:
        self._now_s = now_s
        self._faded_s = now_s()
        self._counts: dict[int, float] = {}
        self._servers: dict[str, _ServerLoad] = {}

    def note_requests(self, counts: Mapping[int, float]) -> None:
        """Count requests by their shards."""
        self._fade()
        known = self._counts
        for shard, count in counts.items():
            known[shard] = known.get(shard, 0.0) + count

    def note_load(self, server_id: str, seen: ObservedLoad) -> None:
        """Note what a server said of its load."""
        self._fade()
        row = self._servers.setdefault(server_id, _ServerLoad())
        row.running += seen.running
        row.waiting += seen.waiting
        row.answers += seen.answers
        row.executed += seen.executed
        row.unqueued += seen.unqueued
        row.unqueued_s += seen.unqueued_s
        row.unanswered += seen.unanswered

    def load(self, shards: int) -> ShardLoad:
        """Return how busy the shards are."""
        self._fade()
        return ShardLoad(counts=self._counts, shards=shards)

    def update_speeds(self) -> None:
        """Compare how long the servers take; to be called once in a while."""
        stuck = {name for name, row in self._servers.items() if row.is_stuck()}
        for name in stuck:
            row = self._servers[name]
            row.speed = max(1 / MOST_SPEED, row.speed * STUCK_FACTOR)
        known = {
            name: row.work_s()
            for name, row in self._servers.items()
            if name not in stuck
        }
        times = {name: time_s for name, time_s in known.items() if time_s is not None}
        if len(times) < 2:
            return
        mean_s = sum(times.values()) / len(times)
        for name, time_s in times.items():
            row = self._servers[name]
            speed = min(MOST_SPEED, max(1 / MOST_SPEED, mean_s / time_s))
            # What is measured first replaces a guess: with equal parts, a slow server
            # is full from the first second on.
            part = SPEED_SMOOTHING if row.is_measured else 1.0
            row.speed += (speed - row.speed) * part
            row.is_measured = True

    def speed(self, server_id: str) -> float:
        """Return a server's speed relative to the mean, 1 while nothing is known."""
        row = self._servers.get(server_id)
        return row.speed if row is not None else 1.0

    def running(self, server_id: str) -> float | None:
        """Return how many requests a server runs on the average, None if unknown."""
        row = self._servers.get(server_id)
        if row is None or row.answers < 1.0:
            return None
        return row.running / row.answers

    def _fade(self) -> None:
        now_s = self._now_s()
        passed_s = now_s - self._faded_s
        if passed_s < 0.1:
            return
        self._faded_s = now_s
        left = exp(-passed_s / MEMORY_S)
        self._counts = {
            shard: count * left
            for shard, count in self._counts.items()
            if count * left > FORGET_BELOW
        }
        for row in self._servers.values():
            row.running *= left
            row.waiting *= left
            row.answers *= left
            row.executed *= left
            row.unqueued *= left
            row.unqueued_s *= left
            row.unanswered *= left
