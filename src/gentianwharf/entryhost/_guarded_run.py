"""The runs of one caller's request, as the quarantine sees them."""

from typing import TYPE_CHECKING, final

from twisted.internet.defer import Deferred
from xxhash import xxh3_64_hexdigest

from gentianwharf.quarantine import BodyPrefix, RequestName, head_digest
from gentianwharf.relay import RecallableExchange
from gentianwharf.topology import BackendServer

from ._crashes import LostRequest, SuspectedCrash
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
        self._sends: dict[str, tuple[str, float]] = {}
        """The incarnation of each server that got the request, and when."""

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
        if self.permit is not None:
            if not self.permit.is_used:
                return
            self.return_permit()
        records = self._quarantine.records
        if records.is_empty or not records.has_head(self.head):
            return
        body = self.exchange.request.body
        if body is not None and not body.is_prefix_known:
            await body.wait_for_prefix()
        await self._quarantine.admission.admit(self)

    def may_send(self) -> bool:
        """Whether the request may be written now: one copy of it with each permit.

        A host that stood still has to learn first what became known meanwhile.
        """
        if self._quarantine.exchange.needs_answer():
            return False
        if self.permit is not None:
            return not self.permit.is_used and self._quarantine.admission.may_use(
                self.permit
            )
        records = self._quarantine.records
        if records.is_empty or not records.has_head(self.head):
            return True
        return self._quarantine.admission.is_free(self)

    def note_written(self, server: BackendServer) -> None:
        """Remember what the server was when it got the request; use up the permit."""
        incarnation = self._quarantine.incarnation_of(server)
        self._sends[server.id] = (incarnation, self._quarantine.seconds())
        if self.permit is not None and self.name is not None:
            self.permit.is_used = True
            self._quarantine.tries.note_written(
                self.permit, self.name, target=self._target(), server_id=server.id
            )

    def note_unwritten(self) -> None:
        """Let the permit serve for another write."""
        if self.permit is not None:
            self.permit.is_used = False

    def note_refused(self) -> None:
        """Record that the server may not have ended under the request."""
        if self.permit is not None and self.name is not None:
            self._quarantine.tries.note_refused(self.permit, self.name)

    def note_lost(self, server: BackendServer) -> None:
        """Find out whether the server has ended, unless the name isn't known."""
        if self.name is not None:
            self._suspected.append(
                self._quarantine.detector.note_lost(
                    server, self._incarnation(server), self.name, self._lost()
                )
            )

    def note_abandoned(self, server: BackendServer) -> None:
        """Remember the request in case that its server turns out to have ended."""
        if self.name is not None:
            self._quarantine.detector.note_abandoned(
                server, self._incarnation(server), self.name, self._lost()
            )

    def _incarnation(self, server: BackendServer) -> str:
        """Return what the server was when the request was written to it."""
        sent = self._sends.get(server.id)
        return sent[0] if sent is not None else self._quarantine.incarnation_of(server)

    def _lost(self) -> LostRequest:
        return LostRequest(
            request_id=self.exchange.ticket.request_id,
            lost_s=self._quarantine.seconds(),
            try_id=self.permit.try_id if self.permit is not None else "",
        )

    def _target(self) -> str:
        """Return a digest of what is requested, whoever its caller is."""
        request = self.exchange.request
        hosts = request.requestHeaders.getRawHeaders(b"host") or [b""]
        return xxh3_64_hexdigest(b" ".join((request.method, hosts[0], request.uri)))

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
        if self._quarantine.admission.is_free(self):
            return False
        await self._quarantine.admission.wait_for_other_ends()
        return self._quarantine.admission.is_retry_unwise(self)

    def note_answered(self, server: BackendServer) -> None:
        """Clear the request of the ends of servers."""
        sent = self._sends.get(server.id)
        if sent is not None:
            self._quarantine.detector.note_answered(*sent)
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
            self._quarantine.admission.return_permit(permit, self.name)
