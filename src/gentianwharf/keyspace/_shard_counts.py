"""Requests by shard, counted for seconds, and for less where the demand has changed.

Load pattern: adjacent keys become hot within a fraction of a second. Counts of the last
seconds show a part of their load at first, and a short count of single shards is mostly
chance. The short count therefore replaces the long one only in blocks of adjacent
shards in which the two differ by more than chance.
"""

from collections.abc import Mapping
from math import exp, sqrt
from typing import final

RECENT_DECAY_S = 0.6
"""Time constant of the recent counts: more than the interval of hosts' reports."""

BLOCKS = 1024
"""Blocks of adjacent shards in which the counts are compared."""

CHANGED_DEVIATIONS = 4.0
"""Standard deviations between both counts of a block from which its demand changed:
chance exceeds three of them in several of a thousand blocks."""

MIN_CHANGE = 4.0
"""Requests by which both counts must also differ."""

MIN_COUNT = 0.02
"""Counts that have decayed below this are dropped, so that the table stays small."""


@final
class ShardCounts:
    """Decaying counts of requests by shard.

    >>> counts = ShardCounts()
    >>> counts.add({7: 40})
    >>> counts.current(1000, decay_s=2.4)
    {7: 160.0}
    >>> counts.decay(6.0, decay_s=2.4)
    >>> round(counts.current(1000, decay_s=2.4)[7], 1)
    3.3
    """

    def __init__(self) -> None:
        self._usual: dict[int, float] = {}
        self._recent: dict[int, float] = {}

    def add(self, counts: Mapping[int, float]) -> None:
        """Count requests by shard."""
        for shard, count in counts.items():
            self._usual[shard] = self._usual.get(shard, 0.0) + count
            self._recent[shard] = self._recent.get(shard, 0.0) + count

    def decay(self, elapsed_s: float, *, decay_s: float) -> None:
        """Let the counts decay, the usual ones with the time constant ``decay_s``."""
        self._usual = _decayed(self._usual, exp(-elapsed_s / decay_s))
        self._recent = _decayed(self._recent, exp(-elapsed_s / RECENT_DECAY_S))

    def current(self, shards: int, *, decay_s: float) -> dict[int, float]:
        """Return the counts of ``decay_s``, estimated where the demand has changed."""
        scale = RECENT_DECAY_S / decay_s
        per_block = max(1, shards // BLOCKS)
        usual = _by_block(self._usual, per_block)
        recent = _by_block(self._recent, per_block)
        changed = {
            block
            for block in usual.keys() | recent.keys()
            if _is_changed(recent.get(block, 0.0), usual.get(block, 0.0) * scale)
        }
        counts = {
            shard: count
            for shard, count in self._usual.items()
            if shard // per_block not in changed
        }
        for shard, count in self._recent.items():
            if shard // per_block in changed:
                counts[shard] = count / scale
        return counts


def _is_changed(recent: float, expected: float) -> bool:
    # A decayed count of n stands for 2n requests.
    deviation = sqrt(max(recent, expected) / 2)
    return abs(recent - expected) > max(MIN_CHANGE, CHANGED_DEVIATIONS * deviation)


def _by_block(counts: Mapping[int, float], per_block: int) -> dict[int, float]:
    blocks: dict[int, float] = {}
    for shard, count in counts.items():
        block = shard // per_block
        blocks[block] = blocks.get(block, 0.0) + count
    return blocks


def _decayed(counts: Mapping[int, float], factor: float) -> dict[int, float]:
    return {
        shard: count * factor
        for shard, count in counts.items()
        if count * factor > MIN_COUNT
    }
