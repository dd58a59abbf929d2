"""Detection of hot keys, which get a table entry of their own.

Load pattern: a popular faculty or a large club gets so many requests that its shard is
hot. Without an entry of its own the key can only move with its whole shard, and all
other keys of the shard change owner needlessly.

The cost of counting every key on every host would grow with the number of keys. The
control holder therefore selects hot shards from the per-shard rates it already has, and
hosts count only the keys of those (``ControlAlive.watched``), up to
``MAX_COUNTED_KEYS`` each.
"""

from collections.abc import Mapping
from typing import final

from gentianwharf.placement import Demand

MAX_WATCHED_SHARDS = 64
"""Maximum number of shards whose keys are counted; the hottest are chosen."""

MAX_COUNTED_KEYS = 256
"""Maximum number of keys that a host counts, over all watched shards.

A key with more than one request in this many is always found (Misra and Gries,
"Finding repeated elements", 1982), and no count is too high.
"""

MAX_KEY_BYTES = 256
"""Longer keys are not counted, which bounds the size of a report."""

MAX_REPORTED_KEYS = 64
"""Maximum number of keys in one report; the busiest are chosen."""

HOT_SHARE = 0.05
"""Share of a server's slots at which a key gets an entry of its own.

Loads of a twentieth of a server can be balanced to within the 8 % at which shards
start to move. A larger load that moves together with other keys cannot.
"""

COLD_SHARE = 0.02
"""Share below which a key no longer needs its own entry. It is well below
``HOT_SHARE``, so that a key near either threshold does not alternate."""

COLD_S = 300.0
"""How long a key must be cold before its entry is removed, which may change its owner.
A new control holder waits this long for the entries that it finds."""

MAX_HOT_KEYS = 1_200
"""Hot keys are pinned only up to this number of pinned keys of a service; the store's
values can hold more."""


@final
class KeyCounts:
    """Counts of the busiest keys of the watched shards, on one host."""

    def __init__(self) -> None:
        self.watched: frozenset[int] = frozenset()
        self._counts: dict[str, int] = {}
        self._totals: dict[int, int] = {}

    def add(self, shard: int, key: str) -> None:
        """Count one request for ``key`` of a watched shard.

        At capacity every count is decremented instead, and keys that reach zero are
        removed. Each decrement undoes an earlier increment, so the amortized cost of
        a request is two steps.
        """
        self._totals[shard] = self._totals.get(shard, 0) + 1
        counts = self._counts
        if key in counts:
            counts[key] += 1
        elif len(counts) < MAX_COUNTED_KEYS:
            if len(key.encode()) <= MAX_KEY_BYTES:
                counts[key] = 1
        else:
            self._counts = {name: n - 1 for name, n in counts.items() if n > 1}

    def take(self) -> tuple[dict[str, int], dict[int, int]]:
        """Return the busiest keys' counts and the shards' counts since the last call.

        Shard counts include only the requests with a key that came while the shard
        was watched, so that a key's share of its shard is correct from the first
        report on.
        """
        busiest = sorted(self._counts.items(), key=lambda item: -item[1])
        totals = self._totals
        self._counts, self._totals = {}, {}
        return dict(busiest[:MAX_REPORTED_KEYS]), totals


@final
class HotKeys:
    """Decides on the control holder which keys get an entry of their own."""

    def __init__(self) -> None:
        self._cold_since_s: dict[str, float] = {}

    @staticmethod
    def shards_to_watch(
        demand: Demand, *, shards: int, slots_per_server: int
    ) -> tuple[int, ...]:
        """Return the hottest shards among those that may contain a hot key.

        >>> demand = Demand(measured_slots={1: 0.2, 2: 0.5, 3: 0.9}, idle_slots=0.0)
        >>> HotKeys.shards_to_watch(demand, shards=8, slots_per_server=6)
        (3, 2)
        """
        min_slots = HOT_SHARE * slots_per_server
        hot = [
            (slots, shard)
            for shard, slots in demand.measured_slots.items()
            if slots >= min_slots and shard < shards
        ]
        return tuple(
            shard for _, shard in sorted(hot, reverse=True)[:MAX_WATCHED_SHARDS]
        )

    @staticmethod
    def keys_to_pin(
        key_slots: Mapping[str, float], *, pinned: int, slots_per_server: int
    ) -> list[str]:
        """Return the keys that should get an entry, the hottest first.

        >>> slots = {"fst": 0.4, "fsegt": 2.0, "isg": 0.1}
        >>> HotKeys.keys_to_pin(slots, pinned=0, slots_per_server=6)
        ['fsegt', 'fst']
        """
        min_slots = HOT_SHARE * slots_per_server
        hot = [key for key, slots in key_slots.items() if slots >= min_slots]
        hot.sort(key=lambda key: -key_slots[key])
        return hot[: max(MAX_HOT_KEYS - pinned, 0)]

    def keys_to_unpin(
        self, pinned_slots: Mapping[str, float], *, slots_per_server: int, now_s: float
    ) -> list[str]:
        """Return the pinned keys that have been cold for ``COLD_S``.

        ``pinned_slots`` holds all keys that are pinned only because of their load,
        with the slots that each has in use.
        """
        min_slots = COLD_SHARE * slots_per_server
        cold = {key for key, slots in pinned_slots.items() if slots < min_slots}
        self._cold_since_s = {
            key: self._cold_since_s.get(key, now_s) for key in sorted(cold)
        }
        return [
            key
            for key, since_s in self._cold_since_s.items()
            if now_s >= since_s + COLD_S
        ]
