"""What shards ask of their servers, in slots in use."""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import final

IDLE_SHARE = 0.1
"""Share of a service's slots that counts as asked for evenly, by all of its shards.

Without it the comparison of servers has no scale: with a handful of requests a
second the one key that was asked for was ten times the mean, and its shard moved
though no request waited. At a tenth of the slots in use requests hardly ever wait
(Erlang's formula for random arrivals: one in 25,000 with six slots, one in 270 with
three), so there the numbers of shards decide; at 70 % it hides an eighth of an
unevenness.
"""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Slots in use by shard: requests a second times the time that one takes.

    ``idle_slots`` is what each shard counts for beside what was measured, so that
    shards nobody asks for are spread over the servers too.

    >>> demand = Demand(measured_slots={7: 2.0}, idle_slots=0.5)
    >>> demand.shard_slots(7), demand.shard_slots(8), demand.total({7, 8})
    (2.5, 0.5, 3.0)
    """

    measured_slots: Mapping[int, float] = field(default_factory=dict)
    idle_slots: float = 1.0

    def shard_slots(self, shard: int) -> float:
        """Return the demand of one shard."""
        return self.measured_slots.get(shard, 0.0) + self.idle_slots

    def total(self, shards: AbstractSet[int]) -> float:
        """Return the demand of ``shards`` together.

        Costs as much as the smaller of both: few shards are asked for at a time.
        """
        measured = self.measured_slots
        asked = shards & measured.keys()
        return self.idle_slots * len(shards) + sum(measured[one] for one in asked)


UNIFORM_DEMAND = Demand()
"""Every shard alike, as before anything was measured."""
