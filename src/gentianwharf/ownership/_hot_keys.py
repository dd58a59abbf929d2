"""Finding single keys that fill a good part of a server, to give them own entries.

Load pattern: a popular faculty or a big club is asked for so much that its shard is
hot. Without an entry of its own the key can only move with its whole shard, and every
other key of it changes owner for nothing.

Counting every key everywhere would grow with the keys. So the control holder first
looks for hot shards, which it counts anyway, and has the hosts count the keys of just
those (``ControlAlive.watched``); a host keeps ``MOST_COUNTED`` of them.
"""

from collections.abc import Mapping
from typing import final

from gentianwharf.placement import Demand

MOST_WATCHED = 64
"""Shards whose keys are counted at a time, the hottest first."""

MOST_COUNTED = 256
"""Keys that a host counts at a time in all watched shards.

A key with more than this part of the requests is never missed (Misra and Gries,
"Finding repeated elements", 1982), and no count is too high.
"""

MOST_KEY_BYTES = 256
"""Longer keys are not counted, so that a report stays small."""

MOST_KEYS_REPORTED = 64
"""Keys in one report, the busiest first."""

HOT_SHARE = 0.05
"""Share of a server's slots that a key fills to get an entry of its own.

Pieces of a twentieth of a server can be laid out evenly within the 8 % at which
shards start to move; a larger one can't, once others come with it.
"""

COLD_SHARE = 0.02
"""Share below which a key's own entry is no longer needed; well below ``HOT_SHARE``,
so that a key near one of them does not get and lose its entry again and again."""

COLD_S = 300.0
"""How long a key stays cold before it goes back to its shard, which may be a change of
owner. A holder that has just taken over waits as long for what it finds."""

MOST_HOT_KEYS = 1_200
"""Keys of a service that get an entry by themselves; the store's values hold more."""


@final
class KeyCounts:
    """Counts of the busiest keys of the watched shards, on one host."""

    def __init__(self) -> None:
        self.watched: frozenset[int] = frozenset()
        self._counts: dict[str, int] = {}
        self._totals: dict[int, int] = {}

    def add(self, shard: int, key: str) -> None:
        """Count one request for ``key`` of a watched shard.

        When there is no room every count is lowered by one instead, and those that
        reach nothing make room: what is taken away was added before, so that a
        request costs two steps on average.
        """
        self._totals[shard] = self._totals.get(shard, 0) + 1
        counts = self._counts
        if key in counts:
            counts[key] += 1
        elif len(counts) < MOST_COUNTED:
            if len(key.encode()) <= MOST_KEY_BYTES:
                counts[key] = 1
        else:
            self._counts = {one: n - 1 for one, n in counts.items() if n > 1}

    def take(self) -> tuple[dict[str, int], dict[int, int]]:
        """Return the busiest keys' counts since the last call, and the shards'.

        The shards' are of just the requests that could be counted by key, so that
        a key's part of its shard is right from the first report on.
        """
        busiest = sorted(self._counts.items(), key=lambda one: -one[1])
        totals = self._totals
        self._counts, self._totals = {}, {}
        return dict(busiest[:MOST_KEYS_REPORTED]), totals


@final
class HotKeys:
    """Which keys should have an entry of their own, on the control holder."""

    def __init__(self) -> None:
        self._cold_since_s: dict[str, float] = {}

    @staticmethod
    def shards_to_watch(
        demand: Demand, *, shards: int, slots_a_server: int
    ) -> tuple[int, ...]:
        """Return the hottest shards of those that may hide a hot key.

        >>> demand = Demand(measured_slots={1: 0.2, 2: 0.5, 3: 0.9}, idle_slots=0.0)
        >>> HotKeys.shards_to_watch(demand, shards=8, slots_a_server=6)
        (3, 2)
        """
        least_slots = HOT_SHARE * slots_a_server
        hot = [
            (slots, shard)
            for shard, slots in demand.measured_slots.items()
            if slots >= least_slots and shard < shards
        ]
        return tuple(shard for _, shard in sorted(hot, reverse=True)[:MOST_WATCHED])

    @staticmethod
    def to_pin(
        key_slots: Mapping[str, float], *, pinned: int, slots_a_server: int
    ) -> list[str]:
        """Return the keys that should get an entry, the hottest first.

        >>> slots = {"fst": 0.4, "fsegt": 2.0, "isg": 0.1}
        >>> HotKeys.to_pin(slots, pinned=0, slots_a_server=6)
        ['fsegt', 'fst']
        """
        least_slots = HOT_SHARE * slots_a_server
        hot = [key for key, slots in key_slots.items() if slots >= least_slots]
        hot.sort(key=lambda key: -key_slots[key])
        return hot[: max(MOST_HOT_KEYS - pinned, 0)]

    def cooled(
        self, pinned_slots: Mapping[str, float], *, slots_a_server: int, now_s: float
    ) -> list[str]:
        """Return those of the keys with an entry that have been cold for ``COLD_S``.

        ``pinned_slots`` are all keys whose entry load alone accounts for.
        """
        least_slots = COLD_SHARE * slots_a_server
        cold = {key for key, slots in pinned_slots.items() if slots < least_slots}
        self._cold_since_s = {
            key: self._cold_since_s.get(key, now_s) for key in sorted(cold)
        }
        return [
            key
            for key, since_s in self._cold_since_s.items()
            if now_s >= since_s + COLD_S
        ]
