"""Selects a server for each try of one request."""

from typing import final

from gentianwharf.topology import BackendServer

from ._attempt_errors import AttemptError
from ._idempotency import IdempotencyKey
from ._ports import Admission, HedgeCallback, Owner, Ownership, Ticket
from ._problem import Problem


@final
class ServerSelection:
    """Asks for the owner of the request's key, and for admission."""

    def __init__(
        self,
        *,
        ticket: Ticket,
        ownership: Ownership,
        admission: Admission,
        idempotency_key: IdempotencyKey | None,
    ) -> None:
        self.owner: Owner | None = None
        """The owner of the key at the last try, None without a key."""
        self._ticket = ticket
        self._ownership = ownership
        self._admission = admission
        self._idempotency_key = idempotency_key

    async def select(self, hedge: HedgeCallback) -> BackendServer:
        """Return the server for the first try, after waiting if necessary."""
        bound = await self._find_bound_server()
        return await self._admission.admit(self._ticket, bound, hedge)

    async def select_again(
        self,
        hedge: HedgeCallback,
        *,
        after: AttemptError,
        avoid: BackendServer,
        is_repeat: bool,
    ) -> BackendServer:
        """Return the server for a retry; raises the problem of the last try."""
        bound = await self._find_bound_server()
        try:
            return await self._admission.admit_retry(
                self._ticket,
                bound,
                hedge,
                after=after.outcome,
                avoid=avoid,
                is_repeat=is_repeat,
            )
        except Problem as refusal:
            raise after.problem from refusal

    async def _find_bound_server(self) -> BackendServer | None:
        """Return the only server that may run the request, None for any."""
        self.owner = None
        if self._ticket.shard is not None:
            self.owner = await self._ownership.owner(self._ticket)
        if self.owner is not None:
            return self.owner.server
        if self._idempotency_key is None:
            return None
        return self._admission.server_for_key(
            self._ticket.service, self._idempotency_key.key
        )
