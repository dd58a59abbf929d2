"""Request rates of shards and keys: counted on hosts, summed by the control holder."""

from collections.abc import Iterable, Mapping
from random import Random
from typing import TypeVar, final

import msgspec

from gentianwharf.keys import shard_of
from gentianwharf.placement import IDLE_SHARE, Demand

from ._hot_keys import KeyCounts
from ._messages import Loads

Name = TypeVar("Name", int, str)

REPORT_EVERY_S = 2.0
"""Interval of a host's load reports to the control holder."""

MAX_REPORTED_SHARDS = 512
"""Maximum number of shards in one report, the busiest first: about 3 kB."""

MOST_REPORTERS = 400
"""Expected number of reports per period; larger fleets are sampled anew each period.

The load balancer spreads callers over the hosts, so any sample represents the rates of
all: 400 hosts at 450 requests per second each send 360,000 in a period. Reports from
all of 60,000 daemons would be 30,000 messages per second at the control holder.
"""

HALF_LIFE_S = 30.0
"""Half-life of a past rate; hot keys change within minutes."""

MIN_RATE = 0.001
"""Rate in requests per second below which a shard or key is discarded."""

DECAY_INTERVAL_S = 1.0
"""Interval at which past rates decay. Decaying on every report would visit every known
shard once per host; the delay causes an error of 2 % of a rate."""


@final
class SentCounts:
    """Requests that this host sent per shard of one service since the last report."""

    def __init__(self) -> None:
        self.keys = KeyCounts()
        self._counts: dict[int, int] = {}
        self._answers = 0
        self._busy_s = 0.0
        self._since_s = 0.0

    def add(self, shard: int, key: str | None = None) -> None:
        """Count one request."""
        self._counts[shard] = self._counts.get(shard, 0) + 1
        if key is not None and shard in self.keys.watched:
            self.keys.add(shard, key)

    def answered(self, busy_s: float) -> None:
        """Count one answer and the time for which it kept a server busy."""
        self._answers += 1
        self._busy_s += busy_s

    def take(self, service: str, now_s: float) -> Loads | None:
        """Return the report if one is due, else None."""
        elapsed_s = now_s - self._since_s
        if elapsed_s < REPORT_EVERY_S:
            return None
        if not self._counts and not self._answers:
            self._since_s = now_s
            return None
        busiest = sorted(self._counts.items(), key=lambda item: -item[1])
        rates = {
            shard: round(count / elapsed_s, 3)
            for shard, count in busiest[:MAX_REPORTED_SHARDS]
        }
        keys, watched = self.keys.take()
        report = Loads(
            service=service,
            rates=rates,
            keys=keys,
            watched=watched,
            answers=self._answers,
            busy_s=self._busy_s,
        )
        self._counts = {}
        self._answers = 0
        self._busy_s = 0.0
        self._since_s = now_s
        return report


def sampled(report: Loads, *, hosts: int, rng: Random) -> Loads | None:
    """Return the report weighted for its sample, or None if this host is not sampled.

    >>> report = Loads(service="ledger", rates={})
    >>> sampled(report, hosts=12, rng=Random(1)).hosts
    1.0
    """
    if hosts <= MOST_REPORTERS:
        return report
    if rng.random() >= MOST_REPORTERS / hosts:
        return None
    return msgspec.structs.replace(report, hosts=hosts / MOST_REPORTERS)


@final
class ShardLoads:
    """Smoothed rates of all hosts, per shard, in requests per second.

    The rate times the mean busy time of an answer is the number of slots in use
    (Little's law). The mean is taken over the whole service: that of one shard would
    rise with its owner's queue. Requests that are refused before they are sent have
    no busy time, but count towards the rate.
    """

    def __init__(self, *, shards: int) -> None:
        self._shards = shards
        self._rates: dict[int, float] = {}
        self._watched: dict[int, float] = {}
        self._keys: dict[str, float] = {}
        self._answers = 0.0
        self._busy_s = 0.0
        self._since_s: float | None = None

    def hear(self, loads: Loads, now_s: float) -> None:
        """Add one host's report for the last ``REPORT_EVERY_S``."""
        self.decay(now_s)
        self._answers += loads.hosts * loads.answers
        self._busy_s += loads.hosts * loads.busy_s
        # With the decay, adding this share of each reported rate makes the sum
        # converge to the total rate of all hosts.
        share = loads.hosts * (1 - 0.5 ** (REPORT_EVERY_S / HALF_LIFE_S))
        for shard, rate in loads.rates.items():
            self._rates[shard] = self._rates.get(shard, 0.0) + share * rate
        for shard, count in loads.watched.items():
            if shard in self._watched:
                self._watched[shard] += loads.hosts * count
        for key, count in loads.keys.items():
            if shard_of(key, self._shards) in self._watched:
                self._keys[key] = self._keys.get(key, 0.0) + loads.hosts * count

    def decay(self, now_s: float) -> None:
        """Decay past rates, also when no reports arrive: idle hosts send none."""
        since_s = now_s if self._since_s is None else self._since_s
        if self._since_s is not None and now_s < since_s + DECAY_INTERVAL_S:
            return
        self._since_s = now_s
        factor = 0.5 ** ((now_s - since_s) / HALF_LIFE_S)
        self._answers *= factor
        self._busy_s *= factor
        self._rates = _decayed(self._rates, factor)
        self._keys = _decayed(self._keys, factor)
        self._watched = {shard: n * factor for shard, n in self._watched.items()}

    @property
    def mean_busy_s(self) -> float:
        """Return the mean busy time of an answer, 0 before the first one."""
        return self._busy_s / self._answers if self._answers else 0.0

    def watch(self, shards: Iterable[int]) -> None:
        """Keep key counts only for ``shards``, whose keys hosts report from now on."""
        self._watched = {shard: self._watched.get(shard, 0.0) for shard in shards}
        self._keys = {
            key: rate
            for key, rate in self._keys.items()
            if shard_of(key, self._shards) in self._watched
        }

    def split_off_pins(self, pins: Mapping[str, int]) -> None:
        """Transfer the rates of newly pinned keys from their shards to their entries.

        Otherwise a key's past load would count twice for a minute, and the shard
        could be moved because of a key that is no longer part of it.
        """
        for key in self._keys.keys() & pins.keys():
            shard, number = shard_of(key, self._shards), pins[key]
            rate = self._rate_of(key)
            self._rates[number] = self._rates.get(number, 0.0) + rate
            self._rates[shard] = self._rates.get(shard, 0.0) - rate
            del self._keys[key]

    def _rate_of(self, key: str) -> float:
        # A share of the shard's rate, because the key was counted for a shorter time.
        shard = shard_of(key, self._shards)
        watched = self._watched.get(shard, 0.0)
        if watched <= 0:
            return 0.0
        share = min(self._keys[key] / watched, 1.0)
        return share * self._rates.get(shard, 0.0)

    def key_slots(self) -> dict[str, float]:
        """Return the slots in use per counted key of the watched shards."""
        mean_busy_s = self.mean_busy_s
        return {key: self._rate_of(key) * mean_busy_s for key in self._keys}

    def demand(self, *, slots: int) -> Demand:
        """Return the slots in use per shard of a service with ``slots`` in total."""
        mean_busy_s = self.mean_busy_s
        measured = {shard: rate * mean_busy_s for shard, rate in self._rates.items()}
        return Demand(
            measured_slots=measured,
            idle_slots=IDLE_SHARE * max(slots, 1) / self._shards,
        )


def _decayed(rates: Mapping[Name, float], factor: float) -> dict[Name, float]:
    return {name: rate * factor for name, rate in rates.items() if rate > MIN_RATE}
