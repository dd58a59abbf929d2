"""The division of a pool's servers between long and short requests.

Load pattern: uploads and archive reads of seconds among look-ups of milliseconds, on
servers that many hosts share. If long jobs are spread over all servers, they
eventually hold every slot of some server, and short requests sent there wait for
seconds.

Long jobs are sent to the first servers of an order that is the same on every daemon,
and short requests to the others (size-based task assignment). The number of servers for
long jobs is estimated from this daemon's own demand times the number of daemons, so
daemons need not exchange where long jobs run.
"""

from math import ceil
from typing import final

from ._server_state import ServerState

# Time constant with which the demand decays, so that the servers of long jobs stay
# reserved between two uploads.
LONG_DECAY_S = 10.0
# Time constant with which the demand grows. When its peaks counted at once, uploads of
# a fifth of the load took half of the servers, and look-ups on the others had a p99 of
# 129 ms instead of 117 ms.
LONG_GROWTH_S = 2.5
# Below this average of long requests, no server is reserved for them.
MIN_LONG_DEMAND = 0.05


@final
class LongDemand:
    """A smoothed count of this daemon's long jobs, waiting or in flight.

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
        """Update the average with the current number of long jobs."""
        if self.value < MIN_LONG_DEMAND:
            self.value = demand
        else:
            period_s = LONG_GROWTH_S if demand > self.value else LONG_DECAY_S
            fraction = min(1.0, max(0.0, now_s - self._updated_s) / period_s)
            self.value += (demand - self.value) * fraction
        self._updated_s = now_s

    def count_servers(self, states: list[ServerState], daemons: int) -> int:
        """Return how many of a pool's servers long jobs need, at most half of them."""
        if len(states) < 2 or self.value < MIN_LONG_DEMAND:
            return 0
        needed = ceil(self.value * daemons / states[0].server.slots)
        return max(1, min(needed, len(states) // 2))


def in_common_order(states: list[ServerState]) -> list[ServerState]:
    """Return the servers in the same order on every daemon, alternating domains."""
    counts: dict[str, int] = {}
    ranked: list[tuple[int, str, ServerState]] = []
    for state in sorted(states, key=lambda state: state.server.id):
        domain = state.server.domain
        rank = counts.get(domain, 0)
        counts[domain] = rank + 1
        ranked.append((rank, domain, state))
    return [state for _, _, state in sorted(ranked, key=lambda entry: entry[:2])]
