"""How much each shard is asked for, gathered at the control holder."""

from collections.abc import Mapping
from typing import final

from ._messages import Loads

REPORT_EVERY_S = 2.0
"""How often a host tells the control holder what it sent."""

MOST_REPORTED = 512
"""Shards in one report, the busiest first: some 3 kB at most."""

HALF_LIFE_S = 30.0
"""After which a past rate counts half: hot keys change within minutes."""

FLOOR = 0.001
"""Requests per second that every shard counts for, so that idle ones are spread
over the servers too."""


@final
class SentCounts:
    """What this host sent for each shard of one service since the last report."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}
        self._since_s = 0.0

    def add(self, shard: int) -> None:
        """Count one request."""
        self._counts[shard] = self._counts.get(shard, 0) + 1

    def take(self, service: str, now_s: float) -> Loads | None:
        """Return the report that is due, or None."""
        elapsed_s = now_s - self._since_s
        if elapsed_s < REPORT_EVERY_S:
            return None
        busiest = sorted(self._counts.items(), key=lambda one: -one[1])
        self._counts = {}
        self._since_s = now_s
        rates = {
            shard: round(count / elapsed_s, 3)
            for shard, count in busiest[:MOST_REPORTED]
        }
        return Loads(service=service, rates=rates)


@final
class ShardLoads:
    """Smoothed rates of all hosts, per shard, in requests per second."""

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._since_s: float | None = None

    def hear(self, loads: Loads, now_s: float) -> None:
        """Add one host's report of the last ``REPORT_EVERY_S``."""
        self._decay(now_s)
        # Each host adds this much of its rate at each report; with the decay the
        # sum settles at the rates' sum over the hosts.
        share = 1 - 0.5 ** (REPORT_EVERY_S / HALF_LIFE_S)
        for shard, rate in loads.rates.items():
            self._rates[shard] = self._rates.get(shard, 0.0) + share * rate

    def _decay(self, now_s: float) -> None:
        since_s = now_s if self._since_s is None else self._since_s
        self._since_s = now_s
        factor = 0.5 ** ((now_s - since_s) / HALF_LIFE_S)
        self._rates = {
            shard: rate * factor for shard, rate in self._rates.items() if rate > FLOOR
        }

    def rates(self, shards: int) -> Mapping[int, float]:
        """Return the rate of every shard, none of them 0."""
        return {shard: self._rates.get(shard, 0.0) + FLOOR for shard in range(shards)}
