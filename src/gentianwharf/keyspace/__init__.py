"""Who holds which shards where backend servers enforce grants themselves."""

from ._demand import Demand, LoadSeen
from ._grant_manager import GrantManager
from ._leadership import Leadership
from ._orders import Grant, HolderEndedError, Orders, Release
from ._plan import Candidate, Losses, Plan, plan
from ._planner import Planner
from ._previous_leader import PreviousLeader, RemainingGrants
from ._shard_load import ShardLoad
from ._table import Holder, KeyTable, Span, decode_table, encode_table
from ._timing import GrantTiming

__all__ = [
    "Candidate",
    "Demand",
    "Grant",
    "GrantManager",
    "GrantTiming",
    "Holder",
    "HolderEndedError",
    "KeyTable",
    "Leadership",
    "LoadSeen",
    "Losses",
    "Orders",
    "Plan",
    "Planner",
    "PreviousLeader",
    "Release",
    "RemainingGrants",
    "ShardLoad",
    "Span",
    "decode_table",
    "encode_table",
    "plan",
]
