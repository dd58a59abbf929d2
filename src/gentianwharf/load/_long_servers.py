"""Which servers of a pool run long jobs, and which run short ones.

Load pattern: uploads and archive reads of seconds among look-ups of milliseconds, over
servers that many hosts share. Spread over all of them, long jobs sooner or later
hold every slot of some server, and short requests sent there wait for seconds.

Long jobs keep to the first servers of an order that every daemon works out alike, as
many as they need by this daemon's own count times the number of daemons, and short
ones to the rest (size-based task assignment); no daemon has to ask another where
long jobs run.
"""

from math import ceil
from typing import final

from ._server_state import ServerState

# Long work is remembered for about this long, so that its servers stay its own
# between two uploads.
LONG_DECAY_S = 10.0
# More of it counts sooner, but not at once: by the most at any moment, uploads of a
# fifth of the load took half of the servers, and look-ups had a p99 of 129 ms on the
# others instead of 117 ms.
LONG_GROWTH_S = 2.5
# Below this many long requests in flight none needs a server of its own.
MIN_LONG_DEMAND = 0.05


@final
class LongDemand:
    """How many long jobs this daemon has, slow to forget.

    >>> demand = LongDemand()
    >>> demand.update(2, 0.0)
    >>> demand.update(0, 5.0)
    >>> demand.value
    1.0
    """

    __slots__ = ("_updated_s", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self._updated_s = 0.0

    def update(self, demand: int, now_s: float) -> None:
        """Follow what runs and waits now."""
        if self.value < MIN_LONG_DEMAND:
            self.value = demand
        else:
            memory_s = LONG_GROWTH_S if demand > self.value else LONG_DECAY_S
            part = min(1.0, max(0.0, now_s - self._updated_s) / memory_s)
            self.value += (demand - self.value) * part
        self._updated_s = now_s

    def count_servers(self, states: list[ServerState], daemons: int) -> int:
        """Return how many of a pool's servers long jobs need: at most half."""
        if len(states) < 2 or self.value < MIN_LONG_DEMAND:
            return 0
        needed = ceil(self.value * daemons / states[0].server.slots)
        return max(1, min(needed, len(states) // 2))


def in_common_order(states: list[ServerState]) -> list[ServerState]:
    """Order servers alike on every daemon, the domains taking turns."""
    seen: dict[str, int] = {}
    places: list[tuple[int, str, ServerState]] = []
    for state in sorted(states, key=lambda one: one.server.id):
        domain = state.server.domain
        place = seen.get(domain, 0)
        seen[domain] = place + 1
        places.append((place, domain, state))
    return [state for _, _, state in sorted(places, key=lambda one: one[:2])]
