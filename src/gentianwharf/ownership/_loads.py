"""How much each shard is asked for, gathered at the control holder."""

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
"""How often a host tells the control holder what it sent."""

MOST_REPORTED = 512
"""Shards in one report, the busiest first: some 3 kB at most."""

MOST_REPORTERS = 400
"""Hosts that report in one period; of more hosts a new sample each time.

The balancer spreads callers over the hosts, so that any sample of them tells the rates
of all: 400 hosts with 450 requests a second each have sent 360,000 in a period. With a
report from every one of 60,000 daemons a holder would get 30,000 messages a second.
"""

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
    """Return the report as one of ``MOST_REPORTERS``, or None when others report.

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

    A rate alone says nothing of how full a server is. Times how long an answer of
    the service takes it is the slots in use (Little's law). The time is the whole
    service's: that of a shard alone would rise with its owner's queue, and a
    request that is refused before it is sent has none but counts as asked for.
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
        """Add one host's report of the last ``REPORT_EVERY_S``."""
        self.decay(now_s)
        self._answers += loads.hosts * loads.answers
        self._busy_s += loads.hosts * loads.busy_s
        # Each host adds this much of its rate at each report; with the decay the
        # sum settles at the rates' sum over the hosts.
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
        """Lower past rates; hosts that send nothing report nothing."""
        since_s = now_s if self._since_s is None else self._since_s
        if self._since_s is not None and now_s < since_s + DECAY_EVERY_S:
            return
        self._since_s = now_s
        factor = 0.5 ** ((now_s - since_s) / HALF_LIFE_S)
        self._answers *= factor
        self._busy_s *= factor
        self._rates = _lowered(self._rates, factor)
        self._keys = _lowered(self._keys, factor)
        self._watched = {shard: n * factor for shard, n in self._watched.items()}

    @property
    def mean_busy_s(self) -> float:
        """Return how long an answer of the service takes, 0 before the first one."""
        return self._busy_s / self._answers if self._answers else 0.0

    def watch(self, shards: Iterable[int]) -> None:
        """Follow the keys of ``shards``, which hosts report from now on."""
        self._watched = {shard: self._watched.get(shard, 0.0) for shard in shards}
        self._keys = {
            key: rate
            for key, rate in self._keys.items()
            if shard_of(key, self._shards) in self._watched
        }

    def take_out(self, pins: Mapping[str, int]) -> None:
        """Count what is known of keys that now have an entry under its number.

        Left with its shard, the key's past load would count twice for a minute, and
        the shard would move for a key that has left it.
        """
        for key in self._keys.keys() & pins.keys():
            shard, number = shard_of(key, self._shards), pins[key]
            rate = self._rate_of(key)
            self._rates[number] = self._rates.get(number, 0.0) + rate
            self._rates[shard] = self._rates.get(shard, 0.0) - rate
            del self._keys[key]

    def _rate_of(self, key: str) -> float:
        # Of the shard's rate, since the key was counted for a shorter time.
        shard = shard_of(key, self._shards)
        watched = self._watched.get(shard, 0.0)
        if watched <= 0:
            return 0.0
        share = min(self._keys[key] / watched, 1.0)
        return share * self._rates.get(shard, 0.0)

    def key_slots(self) -> dict[str, float]:
        """Return the slots in use by key, of keys that stand in watched shards."""
        mean_busy_s = self.mean_busy_s
        return {key: self._rate_of(key) * mean_busy_s for key in self._keys}

    def demand(self, *, slots: int) -> Demand:
        """Return the slots in use by shard, of a service that has ``slots``."""
        mean_busy_s = self.mean_busy_s
        measured = {shard: rate * mean_busy_s for shard, rate in self._rates.items()}
        return Demand(
            measured_slots=measured,
            idle_slots=IDLE_SHARE * max(slots, 1) / self._shards,
        )


def _lowered(rates: Mapping[Name, float], factor: float) -> dict[Name, float]:
    return {name: rate * factor for name, rate in rates.items() if rate > LEAST_RATE}
