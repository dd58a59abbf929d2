"""The control lease of a service, whose holder may order moves under its term."""

from typing import final

import msgspec
from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import ConflictError, GentianwharfError, RefusedError
from gentianwharf.infra import ABSENT_REVISION, KeyValueStore

from ._protocols import Log, answer_within
from ._timing import (
    DRIFT,
    LEASE_RENEW_EVERY_S,
    LEASE_RENEW_TIMEOUT_S,
    LEASE_S,
    STORE_TIMEOUT_S,
)


@final
class ControlRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The store's value under ``control/<service>``."""

    host: str


@final
class ControlLease:
    """One host's lease on the control of one service.

    The term is the store's revision of the control key, which only increases. The
    holder measures the lease on its monotonic clock from before it sent the request,
    and reads that clock before each order, so that a pause of the process beyond the
    end of the lease is detected.
    """

    def __init__(
        self,
        *,
        host: str,
        key: str,
        clock: IReactorTime,
        store: KeyValueStore,
        log: Log,
    ) -> None:
        self._host = host
        self._key = key
        self._clock = clock
        self._store = store
        self._log = log
        self._lease_id: str | None = None
        self._until_s = float("-inf")
        self._renewed_s = float("-inf")
        self.term = 0

    @property
    def is_held(self) -> bool:
        """Whether this host may send orders now."""
        return self._clock.seconds() < self._until_s

    @property
    def is_renewal_due(self) -> bool:
        """Whether it is time to renew the lease."""
        return self._clock.seconds() >= self._renewed_s + LEASE_RENEW_EVERY_S

    async def acquire(self) -> bool:
        """Try to acquire the lease; returns whether this host holds it."""
        requested_s = self._clock.seconds()
        lease = await answer_within(
            self._clock,
            STORE_TIMEOUT_S,
            self._store.lease_grant(ttl_s=LEASE_S),
            step="take control lease",
            peer=self._key,
        )
        self._lease_id = lease.id
        value = msgspec.json.encode(ControlRecord(host=self._host))
        try:
            written = await answer_within(
                self._clock,
                STORE_TIMEOUT_S,
                self._store.compare_and_swap(
                    self._key,
                    value,
                    expected_revision=ABSENT_REVISION,
                    lease_id=lease.id,
                ),
                step="take control lease",
                peer=self._key,
            )
        except GentianwharfError as error:
            # If only the answer was lost, this host may hold the key. Revoking the
            # lease removes the key, which is simpler than reading it back.
            await self.revoke()
            if isinstance(error, ConflictError):
                return False
            raise
        self.term = written.revision
        self._renewed_s = requested_s
        self._until_s = requested_s + LEASE_S * (1 - DRIFT)
        self._log("control-taken", key=self._key, term=self.term)
        return True

    async def renew(self) -> None:
        """Renew the lease; it is lost when the store refuses the renewal."""
        if self._lease_id is None:
            return
        requested_s = self._clock.seconds()
        self._renewed_s = requested_s
        try:
            await answer_within(
                self._clock,
                LEASE_RENEW_TIMEOUT_S,
                self._store.lease_renew(self._lease_id),
                step="renew control lease",
                peer=self._key,
            )
        except RefusedError:
            self._until_s = float("-inf")
            self._lease_id = None
            return
        self._until_s = requested_s + LEASE_S * (1 - DRIFT)

    async def revoke(self) -> None:
        """Revoke the lease, so that the next holder need not wait for its expiry."""
        self._until_s = float("-inf")
        lease_id, self._lease_id = self._lease_id, None
        if lease_id is not None:
            await answer_within(
                self._clock,
                STORE_TIMEOUT_S,
                self._store.lease_revoke(lease_id),
                step="give back control lease",
                peer=self._key,
            )
