"""Which server each shard should stand on."""

from ._demand import EVEN, IDLE_SHARE, Demand
from ._place import Candidate, SiteOfShard, place, rendezvous_rank
from ._rebalance import PlacementWeights, PlannedMove, rebalance

__all__ = [
    "EVEN",
    "IDLE_SHARE",
    "Candidate",
    "Demand",
    "PlacementWeights",
    "PlannedMove",
    "SiteOfShard",
    "place",
    "rebalance",
    "rendezvous_rank",
]
