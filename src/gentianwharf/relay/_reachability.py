"""What this host knows about its own links to the backend servers.

A server that can't be reached may be down, or this host may have lost its links. Only
all servers together tell the two apart.

>>> now_s = 10.0
>>> reachability = Reachability(now_s=lambda: now_s)
>>> reachability.note_failed("ledger-1", "refused")
>>> reachability.is_cut_off, reachability.unheard_s()
(False, 0.0)
>>> reachability.note_failed("ledger-2", "refused")
>>> now_s = 10.5
>>> reachability.is_cut_off, reachability.unheard_s()
(True, 0.5)
>>> reachability.note_opened("ledger-1")
>>> reachability.is_cut_off
False
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import final

from gentianwharf.logs import log

MIN_UNREACHABLE_SERVERS = 2
"""Number of servers that have to be unreachable in a row. A single one may be down."""


class ConnectFailure(StrEnum):
    """Why a connection to a server was not opened."""

    REFUSED = "refused"
    TIMED_OUT = "timed-out"
    OTHER = "other"


@final
class Reachability:
    """Records connections to servers; cut off means that no new one can be opened."""

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self.opened = 0
        self.failures: Counter[str] = Counter()
        """Connections that were not opened since the start, by ``ConnectFailure``."""
        self.is_cut_off = False
        self.cut_offs = 0
        self._now_s = now_s
        self._unreachable: set[str] = set()
        """Servers to which connections failed since one to any server was opened."""
        self._heard_s = now_s()

    def note_opened(self, server_id: str) -> None:
        """Record that a connection to a server was opened."""
        self.opened += 1
        self._unreachable.clear()
        self.note_heard()
        if self.is_cut_off:
            self.is_cut_off = False
            log.info(
                "backend servers can be reached again", extra={"server": server_id}
            )

    def note_failed(self, server_id: str, failure: str) -> None:
        """Record that a connection to a server could not be opened."""
        self.failures[failure] += 1
        self._unreachable.add(server_id)
        if not self.is_cut_off and len(self._unreachable) >= MIN_UNREACHABLE_SERVERS:
            self.is_cut_off = True
            self.cut_offs += 1
            log.warning(
                "no backend server can be reached",
                extra={
                    "servers": len(self._unreachable),
                    "error": failure,
                    "silent_s": round(self.unheard_s(), 3),
                },
            )

    def note_heard(self) -> None:
        """Record that bytes of some server arrived on a connection of this host."""
        self._heard_s = self._now_s()

    def unheard_s(self) -> float:
        """Return the time since any server was heard."""
        return self._now_s() - self._heard_s
