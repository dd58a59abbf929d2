"""The store of the hosts' shared, lasting state, and a local mirror of it."""

from ._mirror import (
    FULL_READ_AFTER_S,
    MAX_REMOVALS,
    MAX_RETRY_DELAY_S,
    REISSUE_AFTER_S,
    EventsListener,
    Mirror,
)
from ._pace import FORWARDING_PACE, WatchPace, default_pace
from ._types import (
    CallAbandonedError,
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
    "REISSUE_AFTER_S",
    "MAX_RETRY_DELAY_S",
    "MAX_REMOVALS",
    "FULL_READ_AFTER_S",
    "FORWARDING_PACE",
    "CallAbandonedError",
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
    "default_pace",
]
