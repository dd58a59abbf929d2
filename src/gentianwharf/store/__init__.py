"""The store in which hosts agree on what must last, and a mirror of it on each host."""

from ._mirror import EventsListener, Mirror
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
]
