"""The store in which hosts agree on what must last, and a mirror of it on each host."""

from ._mirror import (
    MISSED_S,
    MOST_PAUSE_S,
    MOST_REMOVALS,
    READ_AFTER_S,
    EventsListener,
    Mirror,
)
from ._pace import TELLING_PACE, WatchPace, usual_pace
from ._types import (
    Change,
    Events,
    HistoryGoneError,
    Item,
    LeaseEndedError,
    Page,
    Put,
    Removal,
    Store,
)

__all__ = [
    "MISSED_S",
    "MOST_PAUSE_S",
    "MOST_REMOVALS",
    "READ_AFTER_S",
    "TELLING_PACE",
    "Change",
    "Events",
    "EventsListener",
    "HistoryGoneError",
    "Item",
    "LeaseEndedError",
    "Mirror",
    "Page",
    "Put",
    "Removal",
    "Store",
    "WatchPace",
    "usual_pace",
]
