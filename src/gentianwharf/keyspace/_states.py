"""What the manager knows of spans and of their holders, as rows of its tables."""

from collections import deque
from dataclasses import dataclass, field
from typing import final

from twisted.internet.defer import Deferred

from ._orders import Release
from ._table import Holder, Span


@final
@dataclass(kw_only=True, slots=True, eq=False)
class Row:
    """One span and how far it is granted."""

    service: str
    span: Span
    former: list[Holder]
    handover: str | None = None
    granted: bool = False
    due_s: float = 0.0
    ordering: bool = False
    waiting: bool = False
    release_tries: int = 0
    failing: bool = False
    gone: bool = False


@final
@dataclass(kw_only=True, slots=True)
class HolderState:
    """What one life of a server may hold, as far as this host knows."""

    held_until_s: float
    on_their_way_until_s: dict[int, float] = field(default_factory=dict)
    orders: set["Deferred[None]"] = field(default_factory=set)
    granting: bool = False
    waiting: deque[Row] = field(default_factory=deque)
    failing_since_s: float | None = None
    has_ended: bool = False
    probe: Release | None = None
    probe_due_s: float = 0.0

    def surely_until_s(self) -> float:
        """Return when no grant that was sent can hold any more."""
        return max([self.held_until_s, *self.on_their_way_until_s.values()])
