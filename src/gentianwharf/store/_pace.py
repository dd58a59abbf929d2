"""How long a watch waits for a change, and how soon the next watch follows."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class WatchPace:
    """The wait of a watch, and the pause after a watch that returned changes.

    Each watch has a cost, whatever it returns. Changes come in groups, one item after
    another, so the pause lets the next watch return several of them.
    """

    wait_s: float
    batch_s: float


MIN_WATCH_S = 0.8
"""A store may leave a watch unanswered for good and still serve other calls; only an
answer shows that no change was missed. A host that receives no changes from another
host, or forwards them, is behind by at most this time and the time of an answer."""

FORWARDING_PACE = WatchPace(wait_s=MIN_WATCH_S, batch_s=0.05)
"""The pace of the host that forwards changes to the others."""

MAX_WATCHES_PER_S = 250.0
"""Watches of all hosts together while no host forwards changes. The store handles a few
thousand calls a second, and its load is highest during this time."""

MAX_WATCH_S = 20.0


def default_pace(hosts: int) -> WatchPace:
    """Return the pace of each of ``hosts`` hosts that watch only for themselves.

    >>> default_pace(9).wait_s, default_pace(2_000).wait_s
    (0.8, 8.0)
    """
    wait_s = min(MAX_WATCH_S, max(MIN_WATCH_S, hosts / MAX_WATCHES_PER_S))
    return WatchPace(wait_s=wait_s, batch_s=0.25)
