"""How much each shard is asked for, gathered at the control holder."""

from collections.abc import Mapping
from typing import final

from gentianwharf.placement import IDLE_SHARE, Demand

from ._messages import Loads

REPORT_EVERY_S = 2.0
"""How often a host tells the control holder what it sent."""

MOST_REPORTED = 512
"""Shards in one report, the busiest first: some 3 kB at most."""

HALF_LIFE_S = 30.0
"""After which a past rate counts half: hot keys change within minutes."""

LEAST_RATE = 0.001
"""Requests a second below which a shard's rate is forgotten."""

DECAY_EVERY_S = 1.0
"""How often past rates are lowered. At each report, of which a holder gets one from
every host, would touch every known shard for each host; the delay is 2 % of a rate."""


@final
class SentCounts:
    """What this host sent for each shard of one service since the last report."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}
        self._answers = 0
        self._busy_s = 0.0
        self._since_s = 0.0

    def add(self, shard: int) -> None:
        """Count one request."""
        self._counts[shard] = self._counts.get(shard, 0) + 1

    def answered(self, busy_s: float) -> None:
        """Count one answer, and how long it kept a server busy."""
        self._answers += 1
        self._busy_s += busy_s

    def take(self, service: str, now_s: float) -> Loads | None:
        """Return the report that is due, or None."""
        elapsed_s = now_s - self._since_s
        if elapsed_s < REPORT_EVERY_S:
            return None
        if not self._counts and not self._answers:
            self._since_s = now_s
            return None
        busiest = sorted(self._counts.items(), key=lambda one: -one[1])
        rates = {
            shard: round(count / elapsed_s, 3)
            for shard, count in busiest[:MOST_REPORTED]
        }
        report = Loads(
            service=service, rates=rates, answers=self._answers, busy_s=self._busy_s
        )
        self._counts = {}
        self._answers = 0
        self._busy_s = 0.0
        self._since_s = now_s
        return report


@final
class ShardLoads:
    """Smoothed rates of all hosts, per shard, in requests per second.

    A rate alone says nothing of how full a server is. Times how long an answer of
    the service takes it is the slots in use (Little's law). The time is the whole
    service's: that of a shard alone would rise with its owner's queue, and a
    request that is refused before it is sent has none but counts as asked for.
    """

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._answers = 0.0
        self._busy_s = 0.0
        self._since_s: float | None = None

    def hear(self, loads: Loads, now_s: float) -> None:
        """Add one host's report of the last ``REPORT_EVERY_S``."""
        if self._since_s is None or now_s >= self._since_s + DECAY_EVERY_S:
            self._decay(now_s)
        self._answers += loads.answers
        self._busy_s += loads.busy_s
        # Each host adds this much of its rate at each report; with the decay the
        # sum settles at the rates' sum over the hosts.
        share = 1 - 0.5 ** (REPORT_EVERY_S / HALF_LIFE_S)
        for shard, rate in loads.rates.items():
            self._rates[shard] = self._rates.get(shard, 0.0) + share * rate

    def _decay(self, now_s: float) -> None:
        since_s = now_s if self._since_s is None else self._since_s
        self._since_s = now_s
        factor = 0.5 ** ((now_s - since_s) / HALF_LIFE_S)
        self._answers *= factor
        self._busy_s *= factor
        self._rates = {
            shard: rate * factor
            for shard, rate in self._rates.items()
            if rate > LEAST_RATE
        }

    @property
    def mean_busy_s(self) -> float:
        """Return how long an answer of the service takes, 0 before the first one."""
        return self._busy_s / self._answers if self._answers else 0.0

    def demand(self, *, shards: int, slots: int) -> Demand:
        """Return the slots in use by shard, of a service that has ``slots``."""
        mean_busy_s = self.mean_busy_s
        measured: Mapping[int, float] = {
            shard: rate * mean_busy_s for shard, rate in self._rates.items()
        }
        return Demand(
            measured_slots=measured, idle_slots=IDLE_SHARE * max(slots, 1) / shards
        )
