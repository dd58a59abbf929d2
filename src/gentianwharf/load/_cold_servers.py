"""The share of each host in the few requests that a cold server tolerates.

Load pattern: a server has just started, and is idle. Every host finds it idle and sends
to it at once, and the server, which tolerates less than two requests a second while it
is cold, crashes.

Each cold server gets requests from a few hosts only. All hosts choose the same ones by
rendezvous hashing of the server's id over the names of all hosts, so that the sum is
bounded without messages between hosts, also for hosts that are cut off. Hosts whose
lists differ for a moment add one request per second each at most.

>>> cold = ColdServers(name="front-1")
>>> cold.set_hosts(["front-1"])
>>> cold.gap_s("ledger-1", requests_per_s=1.6)
0.625
>>> cold.set_hosts(["front-1", "front-2", "front-3"])
>>> [cold.gap_s(server, requests_per_s=1.6) for server in ("ledger-3", "ledger-1")]
[inf, 1.25]
"""

from collections.abc import Sequence
from math import inf
from typing import final

from gentianwharf.placement import rendezvous_rank

HOSTS_PER_SERVER = 2
"""With a second host, a cold server is not idle because one host is lost."""


@final
class ColdServers:
    """When the cold servers are cold, and this host's share of their requests."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._hosts: tuple[str, ...] = ()
        self._until_s: dict[str, float] = {}

    def set_hosts(self, names: Sequence[str]) -> None:
        """Set the names of all hosts that send to the servers."""
        self._hosts = tuple(names)

    def set_cold(self, server_id: str, until_s: float) -> None:
        """Record until when a server is cold."""
        self._until_s[server_id] = until_s

    def until_s(self, server_id: str) -> float:
        """Return until when a server is cold, 0 if it is not known to be cold."""
        return self._until_s.get(server_id, 0.0)

    def drop_ended(self, now_s: float) -> None:
        """Drop the servers that are no longer cold."""
        ended = [id_ for id_, until_s in self._until_s.items() if until_s <= now_s]
        for server_id in ended:
            del self._until_s[server_id]

    def gap_s(self, server_id: str, requests_per_s: float) -> float:
        """Return the minimum time between two requests of this host to a server.

        The time is infinite if the host is not among those that send to the server,
        or does not know the other hosts.
        """
        senders = rendezvous_rank(server_id, self._hosts)[:HOSTS_PER_SERVER]
        if self._name not in senders:
            return inf
        return len(senders) / requests_per_s
