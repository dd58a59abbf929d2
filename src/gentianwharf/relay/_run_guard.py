"""The interface to what decides whether a request may run that may end its server."""

from typing import Protocol, final

from gentianwharf.topology import BackendServer

from ._caller_request import CallerRequest
from ._ports import Ticket

MIN_ERROR_STATUS = 500
UNRUN_STATUSES = (408, 421, 429)


def is_whole_run(status: int) -> bool:
    """Whether an answer with this status shows that its server bears the request.

    Servers that fail, and proxies in their place, answer requests that were not run.

    >>> [is_whole_run(status) for status in (200, 404, 429, 500, 502)]
    [True, True, False, False, False]
    """
    return status < MIN_ERROR_STATUS and status not in UNRUN_STATUSES


class RecallableExchange(Protocol):
    """A request that is being served."""

    request: CallerRequest
    ticket: Ticket

    def recall(self) -> None:
        """Give up the sends in flight, as if their connections had been lost."""


class GuardedRun(Protocol):
    """The runs of one caller's request."""

    async def admit(self) -> None:
        """Wait until the request may run; raises ``Problem`` if it is refused."""

    def may_send(self) -> bool:
        """Whether the request may be written now, or has to be admitted again."""

    def note_written(self, server: BackendServer) -> None:
        """Record that the request is written to a server now."""

    def note_unwritten(self) -> None:
        """Record that no byte of the last write was sent."""

    def note_refused(self) -> None:
        """Record that a server refused the request without running it."""

    def note_lost(self, server: BackendServer) -> None:
        """Record that a connection ended on which the request had no whole answer."""

    def note_abandoned(self, server: BackendServer) -> None:
        """Record that this host waits no more for an answer; it may still be run."""

    async def settle(self) -> bool:
        """Wait for evidence on lost connections; return whether to send no more."""

    def note_answered(self, server: BackendServer) -> None:
        """Record that a server ran the request and answered it wholly."""

    def finish(self) -> None:
        """Record that the request is no longer served."""


class RunGuard(Protocol):
    """Watches the runs of all requests."""

    def watch(self, exchange: RecallableExchange) -> GuardedRun:
        """Return the guard of a request that is served from now on."""


@final
class Unguarded:
    """Lets every request run; it is its own ``GuardedRun``."""

    def watch(self, exchange: RecallableExchange) -> GuardedRun:
        """Return this object."""
        return self

    async def admit(self) -> None:
        """Return at once."""

    def may_send(self) -> bool:
        """Return True."""
        return True

    def note_written(self, server: BackendServer) -> None:
        """Do nothing."""

    def note_unwritten(self) -> None:
        """Do nothing."""

    def note_refused(self) -> None:
        """Do nothing."""

    def note_lost(self, server: BackendServer) -> None:
        """Do nothing."""

    def note_abandoned(self, server: BackendServer) -> None:
        """Do nothing."""

    async def settle(self) -> bool:
        """Return False."""
        return False

    def note_answered(self, server: BackendServer) -> None:
        """Do nothing."""

    def finish(self) -> None:
        """Do nothing."""
