"""Requests for the versions of other hosts while a host starts."""

from collections.abc import Callable, Sequence
from random import Random
from typing import final

from ._overlay import Overlay
from ._readiness import Readiness

MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
PAUSE_GROWTH = 1.5
"""Bounds and growth of the pause between two rounds. The pause grows because, after an
outage in which all hosts were replaced, no host can answer until the store is back."""

MIN_HOSTS_PER_ROUND = 16
"""Minimum number of hosts of the own failure domain per round. An eighth of the domain
is asked if that is more, so that a majority answers within about ten rounds. Half as
many hosts of other failure domains are asked."""


@final
class StartupRequests:
    """Requests the versions of random hosts; call ``tick`` until the host is ready.

    Hosts whose agreement is already recorded are not asked.
    """

    def __init__(
        self,
        *,
        overlay: Overlay,
        readiness: Readiness,
        rng: Random,
        request: Callable[[str], None],
    ) -> None:
        self._overlay = overlay
        self._readiness = readiness
        self._rng = rng
        self._request = request
        self._next_s = float("-inf")
        self._pause_s = MIN_PAUSE_S

    def tick(self, *, now_s: float) -> None:
        """Send a round of requests when it is due."""
        if now_s < self._next_s:
            return
        self._next_s = now_s + self._pause_s
        self._pause_s = min(PAUSE_GROWTH * self._pause_s, MAX_PAUSE_S)
        members = self._overlay.domain_members
        count = max(MIN_HOSTS_PER_ROUND, len(members) // 8)
        self._request_sample(members, count)
        self._request_sample(self._overlay.remote_hosts, count // 2)

    def _request_sample(self, host_ids: Sequence[str], count: int) -> None:
        candidates = [
            host_id
            for host_id in host_ids
            if host_id != self._overlay.host_id
            and not self._readiness.has_agreed(host_id)
        ]
        for host_id in self._rng.sample(candidates, min(count, len(candidates))):
            self._request(host_id)
