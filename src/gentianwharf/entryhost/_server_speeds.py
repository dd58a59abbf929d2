"""The leader's estimates of how fast the servers of a service are.

Load pattern: servers of one service differ in speed by up to a factor of three, and a
host gets an answer of a given server every 18 s. No host can learn the speeds from its
own answers, but all hosts together get several a second from each server.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import exp
from typing import final

from gentianwharf.keyspace import ObservedLoad

SEND_INTERVAL_S = 2.0
"""Interval at which the leader sends the estimates to all hosts."""

DECAY_S = 20.0
"""Time constant of the decay: speeds hardly change, and work differs by request."""

PRIOR_ANSWERS = 6.0
"""Weight of the assumption that a server has the mean speed, in answers."""

MAX_SPEED = 3.0
"""Limit of the ratio between a server's speed and the mean, and of its inverse."""

Clock = Callable[[], float]


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _Answers:
    """Answers that didn't wait for a slot, and the work time of them all."""

    count: float = 0.0
    work_s: float = 0.0


@final
class ServerSpeeds:
    """Estimates speeds relative to the mean of the service, from all hosts' reports.

    >>> speeds = ServerSpeeds(now_s=lambda: 0.0)
    >>> for name, work_s in (("s1", 4.0), ("s2", 16.0)):
    ...     load = ObservedLoad(running=20.0, waiting=0.0, answers=20.0, executed=20.0,
    ...                         unqueued=20.0, unqueued_s=work_s)
    ...     speeds.note_load("ledger", name, load)
    >>> {name: round(speed, 2) for name, speed in speeds.estimates().items()}
    {'s1': 1.86, 's2': 0.68}
    """

    def __init__(self, *, now_s: Clock) -> None:
        self._now_s = now_s
        self._decayed_s = now_s()
        self._sent_s = 0.0
        self._services: dict[str, dict[str, _Answers]] = {}

    def note_load(self, service: str, server_id: str, observed: ObservedLoad) -> None:
        """Add the answers of a server that one host reported."""
        servers = self._services.setdefault(service, {})
        answers = servers.setdefault(server_id, _Answers())
        answers.count += observed.unqueued
        answers.work_s += observed.unqueued_s

    def due(self) -> dict[str, float]:
        """Return the estimates if they are to be sent now, otherwise nothing."""
        now_s = self._now_s()
        if now_s < self._sent_s + SEND_INTERVAL_S:
            return {}
        self._sent_s = now_s
        return self.estimates()

    def estimates(self) -> dict[str, float]:
        """Return the speed of each server with answers, 1 being the mean."""
        self._decay()
        speeds: dict[str, float] = {}
        for servers in self._services.values():
            count = sum(answers.count for answers in servers.values())
            work_s = sum(answers.work_s for answers in servers.values())
            if not count or not work_s:
                continue
            mean_s = work_s / count
            for server_id, answers in servers.items():
                # A server without answers has the mean speed.
                known = answers.count + PRIOR_ANSWERS
                own_s = (answers.work_s + PRIOR_ANSWERS * mean_s) / known
                speeds[server_id] = min(MAX_SPEED, max(1 / MAX_SPEED, mean_s / own_s))
        return speeds

    def _decay(self) -> None:
        now_s = self._now_s()
        factor = exp((self._decayed_s - now_s) / DECAY_S)
        self._decayed_s = now_s
        for servers in self._services.values():
            for server_id, answers in list(servers.items()):
                answers.count *= factor
                answers.work_s *= factor
                if answers.count < 0.1:
                    del servers[server_id]
