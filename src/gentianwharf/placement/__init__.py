"""Which server each shard should stand on."""

from ._place import Candidate, SiteOfShard, place, rendezvous_rank
from ._rebalance import PlacementWeights, PlannedMove, rebalance

__all__ = [
    "Candidate",
    "PlacementWeights",
    "PlannedMove",
    "SiteOfShard",
    "place",
    "rebalance",
    "rendezvous_rank",
]
