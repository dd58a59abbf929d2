"""The check that no two servers hold the same keys, from what the servers recorded."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations, pairwise
from math import inf
from typing import Any, final

from gentianwharf.platform.standin import HoldChange

from ._disruptions import (
    ALL_SERVER_LINKS,
    SOAK,
    Disruptions,
    link_of,
    server_links_of,
    standstill_of,
)

THAW_SLACK_S = 0.3
"""The platform's ``thaw-slack``."""

MAX_SHARED_S = 0.5

Life = tuple[str, int]
"""A server and its birth: keys move to a new life of it like to another server."""

Span = tuple[float, float]


@final
@dataclass(kw_only=True, slots=True)
class _SharedSpan:
    """Two lives held the same shards, at the times in ``parts``, which touch.

    A part has the first and the last shard, and when it began and ended.
    """

    lives: tuple[Life, Life]
    parts: list[tuple[int, int, float, float]]
    begun_s: float
    ended_s: float

    @property
    def longest_s(self) -> float:
        """For how long a shard was held by both."""
        return max(ended_s - begun_s for *_, begun_s, ended_s in self.parts)

    def describe(self) -> str:
        first = min(part[0] for part in self.parts)
        last = max(part[1] for part in self.parts)
        names = " and ".join(server for server, _ in self.lives)
        return (
            f"shards {first} to {last} at {names} from {self.begun_s:.3f} to"
            f" {self.ended_s:.3f}"
        )

    def requests_begun(self, runs: Iterable[Mapping[str, Any]], life: Life) -> int:
        """Return how many requests a server began on the shards meanwhile."""
        return sum(
            run["server"] == life[0]
            and run["shard"] is not None
            and any(
                first <= run["shard"] <= last and begun_s <= run["begun_s"] < ended_s
                for first, last, begun_s, ended_s in self.parts
            )
            for run in runs
        )


def find_shared_keys(
    changes: Sequence[HoldChange],
    runs: Sequence[Mapping[str, Any]],
    ends_s: Mapping[str, Sequence[float]],
    hosts: Sequence[str],
    disruptions: Disruptions,
) -> list[str]:
    """Return a line for each time at which keys had two holders, or a low token.

    - Two live servers hold the same keys, and both begin requests on them meanwhile.
      Grants don't count that arrive within ``THAW_SLACK_S`` after their sender was
      thawed or a link healed. A server doesn't know the sender, so any host counts.
    - Two live servers hold the same keys for more than ``MAX_SHARED_S``. Besides,
      grants don't count that a server carried out late, or took within
      ``THAW_SLACK_S`` after it was thawed itself.
    - A server takes a key by a token that isn't above all by which others had it.
      The same grant again doesn't count, also at another life of its server, which
      a sender can't tell apart; nothing else is excused.

    ``ends_s`` has the times at which each server was killed or ended.
    """
    lines = []
    for service in sorted({change.service for change in changes}):
        of_service = sorted(
            (change for change in changes if change.service == service),
            key=lambda change: change.carried_out_s,
        )

        def counts_for_requests(change: HoldChange) -> bool:
            return not is_after_thaw(change, hosts, disruptions)

        def counts_for_time(change: HoldChange) -> bool:
            return counts_for_requests(change) and not is_taken_late(
                change, disruptions
            )

        for shared in _shared_spans(of_service, ends_s, counts_for_requests):
            begun = [shared.requests_begun(runs, life) for life in shared.lives]
            if all(begun):
                lines.append(
                    f"OWNER: {shared.describe()}, which began {begun[0]} and"
                    f" {begun[1]} requests"
                )
        lines += [
            f"OWNER: {shared.describe()}, {shared.longest_s:.3f} s"
            for shared in _shared_spans(of_service, ends_s, counts_for_time)
            if shared.longest_s > MAX_SHARED_S
        ]
        lines += _find_low_tokens(of_service)
    return lines


def is_after_thaw(
    change: HoldChange, hosts: Sequence[str], disruptions: Disruptions
) -> bool:
    """Whether a grant arrived soon after a host was thawed or a link healed.

    The links heal, too, when the soak goes on after it stood still.
    """
    subjects = [
        named(host) for named in (standstill_of, server_links_of) for host in hosts
    ]
    subjects += [link_of(change.server), server_links_of(change.server)]
    return any(
        disruptions.ended_within(subject, change.arrived_s, THAW_SLACK_S)
        for subject in (*subjects, ALL_SERVER_LINKS, SOAK)
    )


def is_taken_late(change: HoldChange, disruptions: Disruptions) -> bool:
    """Whether a server put a grant off, or took it soon after it was thawed.

    A server that has just started takes nothing that came before.
    """
    return change.is_late or disruptions.ended_within(
        standstill_of(change.server), change.arrived_s, THAW_SLACK_S
    )


def _ranges(
    changes: Sequence[HoldChange],
) -> Iterable[tuple[int, int, list[HoldChange]]]:
    """Yield ranges of shards that no change divides, and the changes of each."""
    borders = {change.first for change in changes}
    borders |= {change.last + 1 for change in changes}
    for first, end in pairwise(sorted(borders)):
        covering = [
            change
            for change in changes
            if change.first <= first < end <= change.last + 1
        ]
        if covering:
            yield first, end - 1, covering


def _shared_spans(
    changes: Sequence[HoldChange],
    ends_s: Mapping[str, Sequence[float]],
    counts: Callable[[HoldChange], bool],
) -> list[_SharedSpan]:
    """Return the spans with two holders; those of one pair that touch are one."""
    counted = [change for change in changes if not change.until_s or counts(change)]
    found: dict[tuple[Life, Life], list[_SharedSpan]] = defaultdict(list)
    for first, last, covering in _ranges(counted):
        held = _held_spans(covering, ends_s)
        for lives in combinations(sorted(held), 2):
            for one in held[lives[0]]:
                for other in held[lives[1]]:
                    begun_s, ended_s = max(one[0], other[0]), min(one[1], other[1])
                    if begun_s < ended_s:
                        shared = _SharedSpan(
                            lives=lives,
                            parts=[(first, last, begun_s, ended_s)],
                            begun_s=begun_s,
                            ended_s=ended_s,
                        )
                        found[lives].append(shared)
    return [span for spans in found.values() for span in _joined(spans)]


def _joined(spans: list[_SharedSpan]) -> list[_SharedSpan]:
    joined: list[_SharedSpan] = []
    for span in sorted(spans, key=lambda span: span.begun_s):
        if joined and span.begun_s <= joined[-1].ended_s:
            last = joined[-1]
            last.parts += span.parts
            last.ended_s = max(last.ended_s, span.ended_s)
        else:
            joined.append(span)
    return joined


def _held_spans(
    changes: Iterable[HoldChange], ends_s: Mapping[str, Sequence[float]]
) -> dict[Life, list[Span]]:
    """Return when each life held a range of shards, by its changes in order."""
    spans: dict[Life, list[Span]] = defaultdict(list)
    tokens: dict[Life, int] = {}
    for change in changes:
        life, at_s = _life(change), change.carried_out_s
        held = spans[life]
        if held and held[-1][1] >= at_s:
            begun_s, until_s = held.pop()
            is_same = tokens.get(life) == change.token
        else:
            begun_s, until_s, is_same = at_s, 0.0, False
        if not change.until_s:
            until_s = min(at_s, until_s) if until_s else 0.0
        else:
            until_s = max(until_s, change.until_s) if is_same else change.until_s
            tokens[life] = change.token
        until_s = min(until_s, _end_s(ends_s.get(change.server, ()), at_s))
        if until_s > begun_s:
            held.append((begun_s, until_s))
    return spans


def _end_s(ends_s: Sequence[float], after_s: float) -> float:
    return min((end_s for end_s in ends_s if end_s >= after_s), default=inf)


def _life(change: HoldChange) -> Life:
    return change.server, change.born_ms


def _find_low_tokens(changes: Sequence[HoldChange]) -> list[str]:
    lines: dict[tuple[Life, int], str] = {}
    for first, last, covering in _ranges(changes):
        highest: dict[Life, int] = {}
        had: set[tuple[str, int]] = set()
        for change in covering:
            life, token = _life(change), change.token
            if change.until_s <= change.carried_out_s:
                continue
            others = [(had, other) for other, had in highest.items() if other != life]
            other_token, other = max(others, default=(token - 1, life))
            if other_token >= token and (change.server, token) not in had:
                lines.setdefault(
                    (life, token),
                    f"OWNER: shards {first} to {last} went to {change.server} with"
                    f" fence {token} at {change.carried_out_s:.3f}, {other[0]} had had"
                    f" them with {other_token}",
                )
            had.add((change.server, token))
            highest[life] = max(highest.get(life, token), token)
    return list(lines.values())
