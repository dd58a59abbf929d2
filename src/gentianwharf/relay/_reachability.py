"""What this host knows about its own links to the backend servers.

A server that can't be reached may be down, or this host may have lost its links. Only
servers that have not failed otherwise tell the two apart.

>>> now_s = 10.0
>>> reachability = Reachability(now_s=lambda: now_s)
>>> reachability.note_failed("ledger-1", "refused")
>>> reachability.is_cut_off, reachability.unheard_s()
(False, 0.0)
>>> reachability.note_all_failed()
>>> now_s = 10.5
>>> reachability.is_cut_off, reachability.unheard_s()
(True, 0.5)
>>> reachability.note_opened("ledger-1")
>>> reachability.note_opened("ledger-2")
>>> reachability.is_cut_off
False
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import final

from gentianwharf.logs import log

MIN_REACHED_SERVERS = 2
"""Number of servers that have to be reached in a row before links count as restored."""


class ConnectFailure(StrEnum):
    """Why a connection to a server was not opened."""

    REFUSED = "refused"
    TIMED_OUT = "timed-out"
    OTHER = "other"


@final
class Reachability:
    """Records direct connections to servers, and whether this host is cut off.

    Cut off means that no new connection can be opened; connections from before may
    still work.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self.opened = 0
        self.failures: Counter[str] = Counter()
        """Connections that were not opened since the start, by ``ConnectFailure``."""
        self.is_cut_off = False
        self.cut_offs = 0
        self.unreachable: set[str] = set()
        """Servers to which connections failed since one to any server was opened."""
        self.opened_s = now_s()
        self.heard_s = now_s()
        self._now_s = now_s
        self._reached: set[str] = set()
        self._last_failure = ""
        self._cut_off_s = 0.0

    def note_opened(self, server_id: str) -> None:
        """Record that a connection to a server was opened."""
        self.opened += 1
        self.unreachable.clear()
        self.opened_s = self._now_s()
        self.note_heard()
        if not self.is_cut_off:
            return
        self._reached.add(server_id)
        if len(self._reached) >= MIN_REACHED_SERVERS:
            self.is_cut_off = False
            lasted_s = round(self._now_s() - self._cut_off_s, 3)
            log.info(
                "backend servers can be reached again",
                extra={"server": server_id, "lasted_s": lasted_s},
            )
            self.on_change()

    def note_failed(self, server_id: str, failure: str) -> None:
        """Record that a connection to a server could not be opened."""
        self.failures[failure] += 1
        self._last_failure = failure
        self.unreachable.add(server_id)
        self._reached.clear()

    @property
    def was_refused(self) -> bool:
        """Whether the last failed connection attempt was refused."""
        return self._last_failure == ConnectFailure.REFUSED

    def note_all_failed(self) -> None:
        """Record that no server that was tried for this purpose could be reached."""
        if self.is_cut_off:
            return
        self.is_cut_off = True
        self.cut_offs += 1
        self._reached.clear()
        self._cut_off_s = self._now_s()
        log.warning(
            "no backend server can be reached",
            extra={
                "servers": len(self.unreachable),
                "error": self._last_failure,
                "silent_s": round(self.unheard_s(), 3),
            },
        )
        self.on_change()

    def note_heard(self) -> None:
        """Record that bytes of some server arrived on a connection of this host."""
        self.heard_s = self._now_s()

    def unheard_s(self) -> float:
        """Return the time since any server was heard."""
        return self._now_s() - self.heard_s
