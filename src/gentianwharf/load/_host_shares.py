"""The shares of the hosts in what all of them together may send.

Load pattern: a server that takes two requests per second gets 20 from ten hosts that
each keep to the limit as if they were alone, and 168 from 84 hosts. Equal shares for
all hosts bound the rate, but not a burst: after a pause, every host may send at once.

A bounded number of hosts therefore takes part, with equal shares. All hosts choose the
same ones by rendezvous hashing, so that the sum is bounded without messages between
hosts, also for hosts that are cut off. Hosts whose lists differ for a moment add one
burst of their own each at most.

>>> shares = HostShares(name="front-1")
>>> shares.set_hosts(["front-1"])
>>> shares.gap_s("ledger-1", requests_per_s=1.6, burst=2)
0.625
>>> shares.set_hosts(["front-1", "front-2", "front-3"])
>>> [shares.gap_s(server, requests_per_s=1.6, burst=2)
...  for server in ("ledger-3", "ledger-1")]
[inf, 1.25]
"""

from collections.abc import Sequence
from math import inf
from typing import final

from gentianwharf.placement import rendezvous_rank


@final
class HostShares:
    """Computes the share of the host called ``name`` from the names of all hosts."""

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._hosts: tuple[str, ...] = ()

    def set_hosts(self, names: Sequence[str]) -> None:
        """Set the names of all hosts, including this one."""
        self._hosts = tuple(names)

    @property
    def are_known(self) -> bool:
        """Whether this host knows the other hosts."""
        return self._name in self._hosts

    def senders(self, subject: str, *, burst: int) -> int:
        """Return among how many hosts the sum is divided, 0 if this is none of them.

        At most ``burst`` hosts take part, one at least. A host that does not know the
        others does not take part: several such hosts would add up.
        """
        senders = rendezvous_rank(subject, self._hosts)[: max(1, burst)]
        return len(senders) if self._name in senders else 0

    def gap_s(self, subject: str, *, requests_per_s: float, burst: int) -> float:
        """Return the minimum time between two requests of this host.

        It is infinite without a share. At any moment, all hosts together may send
        ``burst`` requests at once, and ``requests_per_s`` in the long run.
        """
        senders = self.senders(subject, burst=burst)
        return senders / requests_per_s if senders else inf
