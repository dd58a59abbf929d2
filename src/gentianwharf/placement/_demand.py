"""The load of shards on their servers, in slots in use."""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import final

IDLE_SHARE = 0.1
"""Share of a service's slots that counts as demand spread evenly over its shards.

It gives the comparison of servers a scale. Without it, at a few requests per second,
the only requested key had ten times the mean load, and its shard was moved although
no request waited. With a tenth of the slots in use, requests hardly ever wait
(Erlang's formula for random arrivals: one in 25,000 with six slots, one in 270 with
three), so at such loads the number of shards on each server decides. With 70 % of the
slots in use, this share hides an eighth of an imbalance.
"""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Slots in use by shard: requests per second times the duration of a request.

    ``idle_slots`` is added to the measured demand of every shard, so that shards
    without requests are spread over the servers as well.

    >>> demand = Demand(measured_slots={7: 2.0}, idle_slots=0.5)
    >>> demand.shard_slots(7), demand.shard_slots(8), demand.total({7, 8})
    (2.5, 0.5, 3.0)
    """

    measured_slots: Mapping[int, float] = field(default_factory=dict)
    idle_slots: float = 1.0

    def shard_slots(self, shard: int) -> float:
        """Return the demand of one shard, in slots."""
        return self.measured_slots.get(shard, 0.0) + self.idle_slots

    def total(self, shards: AbstractSet[int]) -> float:
        """Return the total demand of ``shards``, in slots.

        The cost grows with the smaller of ``shards`` and the measured shards, and
        few shards receive requests at a time.
        """
        measured = self.measured_slots
        requested = shards & measured.keys()
        return self.idle_slots * len(shards) + sum(
            measured[shard] for shard in requested
        )


UNIFORM_DEMAND = Demand()
"""Equal demand of every shard, used before anything was measured."""
