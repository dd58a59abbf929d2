"""Servers that may hold shards, and the outcome of planning."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import final

from ._table import Holder, KeyTable


@final
class MoveCause(Enum):
    """Why a span moves to another server."""

    LEFT = "left"
    LOST = "lost"
    OVERLOADED = "overloaded"
    UNDERLOADED = "underloaded"
    HOT_SHARD = "hot-shard"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that may hold shards; ``capacity`` is relative to other servers."""

    holder: Holder
    capacity: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LostHolders:
    """Holders that can't hand over their shards, and the load that may leave them.

    ``movable_load`` is a share of all load, 0 to 1.
    """

    holders: frozenset[Holder] = frozenset()
    movable_load: float = 1.0


NO_LOST_HOLDERS = LostHolders()


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """The planned table, and the share of all load that moves without a handover.

    ``moves`` counts the planned moves by cause.
    """

    table: KeyTable
    cold_load: float = 0.0
    moves: Mapping[MoveCause, int] = field(default_factory=dict)
