"""The runs of one caller's request, as the quarantine sees them."""

from typing import TYPE_CHECKING, final

from twisted.internet.defer import Deferred

from gentianwharf.quarantine import BodyPrefix, RequestName, head_digest
from gentianwharf.relay import RecallableExchange
from gentianwharf.topology import BackendServer

from ._crashes import SuspectedCrash
from ._run_permits import RunPermit

if TYPE_CHECKING:
    from ._quarantine import HostQuarantine

NO_BODY = BodyPrefix()


@final
class HostGuardedRun:
    """Computes the request's name, only once some request is suspected."""

    def __init__(
        self, *, quarantine: "HostQuarantine", exchange: RecallableExchange
    ) -> None:
        self.exchange = exchange
        self.permit: RunPermit | None = None
        self._quarantine = quarantine
        self._head: bytes | None = None
        self._name: RequestName | None = None
        self._suspected: list[SuspectedCrash] = []

    @property
    def head(self) -> bytes:
        """The digest of what is known before the body arrives."""
        if self._head is None:
            request, ticket = self.exchange.request, self.exchange.ticket
            hosts = request.requestHeaders.getRawHeaders(b"host") or [b""]
            length = 0 if request.body is None else request.body.length
            self._head = head_digest(
                method=request.method,
                host=hosts[0],
                target=request.uri,
                caller=ticket.caller,
                body_length=length if isinstance(length, int) else None,
            )
        return self._head

    @property
    def name(self) -> RequestName | None:
        """The request's name, None while too little of its body has arrived."""
        if self._name is None:
            body = self.exchange.request.body
            if body is not None and not body.is_prefix_known:
                return None
            prefix = NO_BODY if body is None else body.prefix
            self._name = prefix.name(self.head)
        return self._name

    async def admit(self) -> None:
        """Wait until the request may run; raises ``Problem`` if it is refused."""
        if self._quarantine.exchange.needs_answer():
            await self._quarantine.exchange.wait()
        records = self._quarantine.records
        if (
            records.is_empty
            or self.permit is not None
            or not records.has_head(self.head)
        ):
            return
        body = self.exchange.request.body
        if body is not None and not body.is_prefix_known:
            await body.wait_for_prefix()
        await self._quarantine.admit(self)

    def may_send(self) -> bool:
        """Whether nothing that became known since forbids to write the request."""
        records = self._quarantine.records
        if (
            records.is_empty
            or self.permit is not None
            or not records.has_head(self.head)
        ):
            return True
        return self._quarantine.is_free(self)

    def note_lost(self, server: BackendServer) -> None:
        """Find out whether the server has ended, unless the name isn't known."""
        if self.name is not None:
            self._suspected.append(self._quarantine.note_lost(self, server))

    async def settle(self) -> bool:
        """Wait until it is known, here and elsewhere, which servers have ended."""
        if not self._suspected:
            return False
        suspected, self._suspected = self._suspected, []
        for crash in suspected:
            if not crash.is_settled:
                waiting: Deferred[None] = Deferred()
                crash.waiting.append(waiting)
                await waiting
        self.return_permit()
        if self._quarantine.is_free(self):
            return False
        await self._quarantine.wait_for_other_ends()
        return self._quarantine.is_retry_unwise(self)

    def note_answered(self) -> None:
        """Clear the request of the ends of servers."""
        if self.name is not None:
            self._quarantine.note_answered(self, self.name)

    def finish(self) -> None:
        """Give back the permit, if the request has it."""
        self.return_permit()
        self._quarantine.suspicions.runs.discard(self)

    def return_permit(self) -> None:
        """Let another copy of the request run."""
        if self.permit is not None:
            permit, self.permit = self.permit, None
            self._quarantine.return_permit(permit)
