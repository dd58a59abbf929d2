"""What ended processes of hosts have written to servers, and may still arrive.

Load pattern: links hold what a host writes, and the host is killed. Its next process
knows nothing of it, and what both have written arrives together once the links deliver
it. Hosts therefore state how many repeats are unconfirmed in their reports, and the
leader tells a host that has started again what its previous process had stated last.
What hosts that stay away had stated is divided among the others, which get their
callers.

The leader may be killed with them. Its record is therefore kept by some other hosts as
well, and sent by them to the next leader.

>>> now_s = 100.0
>>> writes = InheritedWrites(now_s=lambda: now_s)
>>> writes.note("front-1", incarnation=1, repeats={"seats": 7})
>>> writes.note("front-1", incarnation=2, repeats={})
>>> now_s = 100.5
>>> writes.due()
[Inherited(host='front-1', incarnation=2, repeats={'seats': 7.0}, is_known=True)]
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, field
from typing import final

from ._peer_messages import StatedHost

VALID_S = 40.0
"""Time for which the repeats of an ended process count: they are taken for lost after
30 s, and count for a window once they have arrived."""

MIN_SILENT_S = 1.0
SILENT_REPORTS = 4
"""A host whose last reports are missing, this many of them, counts as absent."""

CHECK_INTERVAL_S = 0.25
CHECKS_SHARE = 0.25
"""Part of the interval of reports after which they are checked, if that is longer."""

REPEAT_INTERVAL_S = 2.0
"""Interval at which what is inherited is sent again: messages may be lost."""

RECORD_INTERVAL_S = 0.5
"""Interval at which the record is sent to the hosts that keep it as well."""

MAX_CHECK_DELAY_S = 1.0
"""After a longer pause of the leader, reports of all hosts wait to be read."""

Clock = Callable[[], float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Inherited:
    """How many repeats of ended processes a host has to count as its own, by service.

    ``is_known`` is False if its previous process ended before this leader began.
    """

    host: str
    incarnation: int
    repeats: dict[str, float]
    is_known: bool


@final
@dataclass(kw_only=True, slots=True)
class _Left:
    repeats: Mapping[str, int]
    ended_s: float


@final
@dataclass(kw_only=True, slots=True)
class _Host:
    incarnation: int
    begun_s: float
    stated_s: float
    repeats: Mapping[str, int]
    is_known: bool
    left: list[_Left] = field(default_factory=list)
    sent: dict[str, float] = field(default_factory=dict)
    sent_s: float = float("-inf")

    def left_repeats(self, now_s: float) -> Counter[str]:
        """Return what earlier processes have left that may still arrive."""
        self.left = [left for left in self.left if now_s <= left.ended_s + VALID_S]
        repeats: Counter[str] = Counter()
        for left in self.left:
            repeats.update(left.repeats)
        return repeats


@final
class InheritedWrites:
    """The leader's record of the repeats that each host stated last as unconfirmed."""

    def __init__(self, *, now_s: Clock) -> None:
        self._now_s = now_s
        self._begun_s = now_s()
        self._checked_s = now_s()
        self._paused_until_s = 0.0
        self._stated_s = now_s()
        self._is_complete = False
        """Whether the record of the leader before is known."""
        self._hosts: dict[str, _Host] = {}

    def note(self, host: str, *, incarnation: int, repeats: Mapping[str, int]) -> None:
        """Record what a process of a host has stated."""
        now_s = self._now_s()
        former = self._hosts.get(host)
        if former is not None and former.incarnation == incarnation:
            former.stated_s, former.repeats = now_s, repeats
            return
        left = list(former.left) if former is not None else []
        if former is not None and former.repeats:
            left.append(_Left(repeats=former.repeats, ended_s=now_s))
        self._hosts[host] = _Host(
            incarnation=incarnation,
            begun_s=now_s,
            stated_s=now_s,
            repeats=repeats,
            is_known=former is not None
            or self._is_complete
            or now_s > self._begun_s + VALID_S,
            left=left,
        )

    def hosts(self) -> Set[str]:
        """Return the names of the hosts that have stated something, be it nothing."""
        return self._hosts.keys()

    def due_record(self) -> list[StatedHost] | None:
        """Return the record if it has to be sent to other hosts now."""
        now_s = self._now_s()
        if now_s < self._stated_s + RECORD_INTERVAL_S:
            return None
        self._stated_s = now_s
        return self.record()

    def record(self) -> list[StatedHost]:
        """Return what hosts have stated, without those that have stated nothing."""
        now_s = self._now_s()
        return [
            StatedHost(
                name,
                host.incarnation,
                dict(host.repeats),
                dict(host.left_repeats(now_s)),
                round((now_s - host.stated_s) * 1000),
            )
            for name, host in self._hosts.items()
            if host.repeats or host.left
        ]

    def merge(self, stated: Iterable[StatedHost]) -> None:
        """Add the record of the leader before; further copies of it are ignored."""
        if self._is_complete:
            return
        self._is_complete = True
        for former in stated:
            self._merge_host(former)
        for host in self._hosts.values():
            host.is_known = True

    def _merge_host(self, former: StatedHost) -> None:
        stated_s = self._now_s() - former.age_ms / 1000
        left = [_Left(repeats=former.left, ended_s=stated_s)]
        host = self._hosts.get(former.host)
        if host is None:
            self._hosts[former.host] = _Host(
                incarnation=former.incarnation,
                begun_s=stated_s,
                stated_s=stated_s,
                repeats=former.repeats,
                is_known=True,
                left=left,
            )
            return
        if host.incarnation != former.incarnation:
            left.append(_Left(repeats=former.repeats, ended_s=stated_s))
        host.left += left

    def due(self, report_interval_s: float = 0.0) -> list[Inherited]:
        """Return what has to be sent now, to hosts that report.

        ``report_interval_s`` is the interval at which each of them does.
        """
        now_s = self._now_s()
        interval_s = max(CHECK_INTERVAL_S, CHECKS_SHARE * report_interval_s)
        if now_s < self._checked_s + interval_s:
            return []
        silent_s = max(MIN_SILENT_S, SILENT_REPORTS * report_interval_s)
        if now_s > self._checked_s + interval_s + MAX_CHECK_DELAY_S:
            self._paused_until_s = now_s + silent_s
        self._checked_s = now_s
        if now_s < self._paused_until_s:
            return []
        for name, host in list(self._hosts.items()):
            if now_s > host.stated_s + silent_s + VALID_S:
                del self._hosts[name]
        return list(self._changed(now_s, silent_s))

    def _changed(self, now_s: float, silent_s: float) -> Iterator[Inherited]:
        reporting: dict[str, _Host] = {}
        absent: Counter[str] = Counter()
        for name, host in self._hosts.items():
            if now_s <= host.stated_s + silent_s:
                reporting[name] = host
            else:
                absent.update(host.repeats)
                absent.update(host.left_repeats(now_s))
        for name, host in reporting.items():
            is_new = host.is_known and now_s < host.begun_s + VALID_S
            if not (is_new or absent or host.left or host.sent):
                continue
            repeats = {
                service: float(count)
                for service, count in host.left_repeats(now_s).items()
            }
            for service, count in absent.items():
                share = count / len(reporting)
                repeats[service] = repeats.get(service, 0.0) + share
            is_repeated = now_s >= host.sent_s + REPEAT_INTERVAL_S
            if repeats != host.sent or (is_repeated and (repeats or is_new)):
                host.sent, host.sent_s = repeats, now_s
                yield Inherited(
                    host=name,
                    incarnation=host.incarnation,
                    repeats=repeats,
                    is_known=host.is_known,
                )
