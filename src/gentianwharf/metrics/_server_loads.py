"""Answers by server, for the measure of imbalance."""

from collections.abc import Iterable, Mapping
from typing import final

from ._measures import imbalance

LEAST_MEAN_ANSWERS = 20
"""Answers a server and window below which chance alone looks like imbalance: of 16
even servers with 20 answers on average the busiest has about 28, below the alarm's
1.5 times; with 3 on average it has twice the mean."""


@final
class ServerLoads:
    """Answers by service and server, in the running window and the last whole one.

    Servers are compared within their site: how much goes to each site is the
    operators' rule, and a migration at 1% is no imbalance.

    >>> loads = ServerLoads()
    >>> loads.set_servers("ledger", [["ledger-1", "ledger-2"], ["ledger-3"]])
    >>> loads.add("ledger", "ledger-1", 60)
    >>> loads.rotate()
    >>> loads.imbalance("ledger")
    2.0
    """

    def __init__(self) -> None:
        self._sites: dict[str, tuple[tuple[str, ...], ...]] = {}
        self._running: dict[str, dict[str, int]] = {}
        self._last: dict[str, dict[str, int]] = {}

    def set_servers(self, service: str, sites: Iterable[Iterable[str]]) -> None:
        """Take a service's live servers, by site.

        A server that gets nothing belongs in the mean; one that has left does not.
        """
        self._sites[service] = tuple(tuple(servers) for servers in sites)

    def add(self, service: str, server: str, answers: int) -> None:
        """Count answers of a server."""
        loads = self._running.setdefault(service, {})
        loads[server] = loads.get(server, 0) + answers

    def rotate(self) -> None:
        """End the running window."""
        self._last, self._running = self._running, {}

    def imbalance(self, service: str) -> float | None:
        """Return greatest over mean answers in the last window, of the worst site.

        None while there were too few answers to tell.
        """
        counted = self._last.get(service, {})
        sites = self._sites.get(service, (tuple(counted),))
        found = [
            one
            for servers in sites
            if (one := _imbalance_of(servers, counted)) is not None
        ]
        return max(found, default=None)


def _imbalance_of(servers: tuple[str, ...], counted: Mapping[str, int]) -> float | None:
    loads = {server: counted.get(server, 0) for server in servers}
    if sum(loads.values()) < LEAST_MEAN_ANSWERS * max(1, len(servers)):
        return None
    return imbalance(loads)
