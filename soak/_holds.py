"""Lets links to servers hold what hosts send, and deliver it together later."""

from collections.abc import Sequence
from random import Random
from typing import final

from ._deployment import Deployment
from ._disruptions import ALL_SERVER_LINKS, server_links_of
from ._schedule import Schedule

PAUSE_S = (0.5, 3.0)
DURATION_S = (1.0, 9.0)


@final
class Holds:
    """Holds links at random times, in addition to the other faults."""

    def __init__(
        self, *, deployment: Deployment, schedule: Schedule, rng: Random
    ) -> None:
        self.pieces = 0
        """What was held and delivered later, in reads of a proxy."""
        self._deployment = deployment
        self._schedule = schedule
        self._rng = rng
        self._held: Sequence[str] = ()

    def start(self) -> None:
        """Schedule the next hold."""
        self._schedule.call_later(self._rng.uniform(*PAUSE_S), self._begin)

    def _begin(self) -> None:
        servers = sorted(self._deployment.servers)
        count = self._rng.choice((1, len(servers) // 2, len(servers)))
        self._held = sorted(self._rng.sample(servers, count))
        if count == len(servers):
            self._deployment.disruptions.begin(ALL_SERVER_LINKS)
        duration_s = self._rng.uniform(*DURATION_S)
        self._schedule.record(
            f"links to {', '.join(self._held)} hold for {duration_s:.2f} s"
        )
        for name in self._held:
            self._deployment.links.proxies[name].buffer.hold()
            self._deployment.disruptions.begin(server_links_of(name))
        self._schedule.call_later(duration_s, self._end)

    def _end(self) -> None:
        self.release()
        self.start()

    def release(self) -> None:
        """Deliver all that is held."""
        for name in self._held:
            self.pieces += self._deployment.links.proxies[name].buffer.release()
            self._deployment.disruptions.end(server_links_of(name))
        self._deployment.disruptions.end(ALL_SERVER_LINKS)
        self._held = ()
