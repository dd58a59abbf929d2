"""The leader's collection of what servers stated in their answers to any host.

Load pattern: only a few hosts send to a server that names a limit. The others get no
answers of it, and would neither learn of the limit in time nor that it has ended. A
server that leaves says so to the hosts that still send to it, and its entry in the
store may follow much later.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import msgspec

from ._peer_messages import ServerNoticeReport

VALID_S = 20.0
"""Time for which a notice is repeated to all hosts that no host has reported again."""

REPEAT_INTERVAL_S = 2.0
"""Interval at which valid notices are sent again: messages may be lost."""

Clock = Callable[[], float]


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _Reported:
    report: ServerNoticeReport
    at_s: float


@final
class FleetNotices:
    """The newest notice of each server, with the changes that hosts don't know yet.

    >>> notices = FleetNotices(now_s=lambda: 10.0)
    >>> notices.note("ledger-1", ServerNoticeReport(2.2))
    >>> list(notices.due()), list(notices.due())
    (['ledger-1'], [])
    >>> notices.limits_per_s()
    {'ledger-1': 2.2}
    """

    def __init__(self, *, now_s: Clock) -> None:
        self._now_s = now_s
        self._reported: dict[str, _Reported] = {}
        self._changed: set[str] = set()
        self._repeated_s = now_s()

    def note(self, server_id: str, report: ServerNoticeReport) -> None:
        """Record what a host reported; the newest report of a server counts."""
        former = self._reported.get(server_id)
        if former is not None and former.report.is_leaving:
            # A server that leaves does not come back under its id.
            report = msgspec.structs.replace(report, is_leaving=True)
        if former is None or former.report != report:
            self._changed.add(server_id)
        self._reported[server_id] = _Reported(report=report, at_s=self._now_s())

    def due(self) -> dict[str, ServerNoticeReport]:
        """Return the notices to send now: changed ones, or all at intervals."""
        now_s = self._now_s()
        for server_id, reported in list(self._reported.items()):
            if now_s > reported.at_s + VALID_S:
                del self._reported[server_id]
        names = self._changed & self._reported.keys()
        if now_s >= self._repeated_s + REPEAT_INTERVAL_S:
            self._repeated_s = now_s
            names = set(self._reported)
        self._changed = set()
        return {name: self._reported[name].report for name in sorted(names)}

    def limits_per_s(self) -> dict[str, float]:
        """Return the limits that are in force, by server."""
        return {
            server_id: reported.report.max_requests_per_s
            for server_id, reported in self._reported.items()
            if reported.report.max_requests_per_s is not None
        }
