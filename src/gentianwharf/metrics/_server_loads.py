"""Answers per server, for the measure of imbalance."""

from collections.abc import Iterable, Mapping
from typing import final

from ._measures import imbalance

MIN_MEAN_ANSWERS = 20
"""Mean answers per server and window below which imbalance is not reported, because
random variation alone looks like imbalance. Of 16 evenly loaded servers with a mean of
20 answers, the busiest has about 28, which is below the alarm threshold of 1.5 times
the mean; with a mean of 3 answers, it has twice the mean."""


@final
class ServerLoads:
    """Answers per service and server, in the current and in the previous window.

    Servers are compared only within their site. The operators' rules determine the
    share of each site, so that a migration at 1% is not an imbalance.

    >>> loads = ServerLoads()
    >>> loads.set_servers("ledger", [["ledger-1", "ledger-2"], ["ledger-3"]])
    >>> loads.add("ledger", "ledger-1", 60)
    >>> loads.rotate()
    >>> loads.imbalance("ledger")
    2.0
    """

    def __init__(self) -> None:
        self._sites: dict[str, tuple[tuple[str, ...], ...]] = {}
        self._current: dict[str, dict[str, int]] = {}
        self._previous: dict[str, dict[str, int]] = {}

    def set_servers(self, service: str, sites: Iterable[Iterable[str]]) -> None:
        """Set the live servers of a service, grouped by site.

        Idle servers count in the mean; servers that have left do not.
        """
        self._sites[service] = tuple(tuple(servers) for servers in sites)

    def add(self, service: str, server: str, answers: int) -> None:
        """Add to the answers of a server in the current window."""
        loads = self._current.setdefault(service, {})
        loads[server] = loads.get(server, 0) + answers

    def rotate(self) -> None:
        """End the current window and start the next one."""
        self._previous, self._current = self._current, {}

    def imbalance(self, service: str) -> float | None:
        """Return the imbalance of the worst site in the previous window.

        This is the maximum number of answers of a server divided by the mean, or None
        if no site had enough answers.
        """
        answers = self._previous.get(service, {})
        sites = self._sites.get(service, (tuple(answers),))
        imbalances = [
            site_imbalance
            for servers in sites
            if (site_imbalance := _imbalance_of(servers, answers)) is not None
        ]
        return max(imbalances, default=None)


def _imbalance_of(servers: tuple[str, ...], answers: Mapping[str, int]) -> float | None:
    loads = {server: answers.get(server, 0) for server in servers}
    if sum(loads.values()) < MIN_MEAN_ANSWERS * max(1, len(servers)):
        return None
    return imbalance(loads)
