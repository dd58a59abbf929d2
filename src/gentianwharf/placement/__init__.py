"""Assignment of shards to backend servers."""

from ._demand import IDLE_SHARE, UNIFORM_DEMAND, Demand
from ._place import Candidate, SiteOfShard, place, rendezvous_rank, rendezvous_score
from ._rebalance import PlacementWeights, PlannedMove, rebalance

__all__ = [
    "UNIFORM_DEMAND",
    "IDLE_SHARE",
    "Candidate",
    "Demand",
    "PlacementWeights",
    "PlannedMove",
    "SiteOfShard",
    "place",
    "rebalance",
    "rendezvous_rank",
    "rendezvous_score",
]
