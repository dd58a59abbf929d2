"""Assignment of shards to backend servers that enforce grants themselves."""

from ._demand import Demand, ObservedLoad
from ._grant_manager import GrantManager
from ._leadership import Leadership
from ._orders import (
    Grant,
    HolderEndedError,
    MaySend,
    Orders,
    OrderWithheldError,
    Release,
)
from ._plan import plan
from ._plan_types import Candidate, LostHolders, MoveCause, Plan
from ._planner import Planner
from ._previous_leader import UNKNOWN_GRANTS, PreviousLeader, RemainingGrants
from ._shard_load import ShardLoad
from ._snapshot import PlacementSnapshot
from ._table import Holder, KeyTable, Span, decode_table, encode_table
from ._timing import MAX_DELIVERY_S, GrantTiming

__all__ = [
    "MAX_DELIVERY_S",
    "UNKNOWN_GRANTS",
    "Candidate",
    "Demand",
    "PreviousLeader",
    "Grant",
    "GrantTiming",
    "Holder",
    "HolderEndedError",
    "RemainingGrants",
    "GrantManager",
    "KeyTable",
    "Leadership",
    "ObservedLoad",
    "LostHolders",
    "MaySend",
    "MoveCause",
    "OrderWithheldError",
    "Orders",
    "PlacementSnapshot",
    "Plan",
    "Planner",
    "Release",
    "ShardLoad",
    "Span",
    "decode_table",
    "encode_table",
    "plan",
]
