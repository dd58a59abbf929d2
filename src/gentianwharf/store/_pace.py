"""How long a watch waits for something to change, and how soon the next one follows."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class WatchPace:
    """For how long a watch waits, and the pause after one that brought something.

    Each watch is paid, whatever it brings; changes come in groups, one entry after
    another.
    """

    wait_s: float
    batch_s: float


MIN_WATCH_S = 0.8
"""A store may leave a watch without an answer for good and still take other calls; only
answers show that nothing was missed. A host that hears no other, or tells the others,
is behind by this and by the time of an answer at the most."""

FORWARDING_PACE = WatchPace(wait_s=MIN_WATCH_S, batch_s=0.05)
"""Of the one that tells the others."""

MAX_WATCHES_PER_S = 250.0
"""Of all hosts together while none tells the others. The store takes a few thousand
calls a second, and this is the time when it has most to answer."""

MAX_WATCH_S = 20.0


def default_pace(hosts: int) -> WatchPace:
    """Return the pace of a host that watches for itself alone, as so many do.

    >>> default_pace(9).wait_s, default_pace(2_000).wait_s
    (0.8, 8.0)
    """
    wait_s = min(MAX_WATCH_S, max(MIN_WATCH_S, hosts / MAX_WATCHES_PER_S))
    return WatchPace(wait_s=wait_s, batch_s=0.25)
