"""Figures of a keyed service's placement, for metrics."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from ._plan_types import MoveCause


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementSnapshot:
    """The placement of one service's shards, as the leading host knows it.

    ``speeds`` are relative to the mean, by server. ``hot_shards`` are the shards whose
    load exceeds the capacity of a mean server, with their load as a multiple of it.
    ``moves`` counts the moves that this host has planned since it started.
    """

    service: str
    speeds: Mapping[str, float]
    hot_shards: Mapping[int, float]
    moves: Mapping[MoveCause, int]
    spans: int
    moving_spans: int
