"""The control lease of a service: who may order its moves, under which term."""

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
    """A host's hold on the control of one service.

    The term is the store's revision of the control key, which only grows. The
    holder counts the lease from before it asked, on its monotonic clock, and looks
    at that clock before each order; a pause past the lease shows there.
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
        """Whether this host may give an order at this moment."""
        return self._clock.seconds() < self._until_s

    @property
    def is_renewal_due(self) -> bool:
        """Whether the lease should be renewed now."""
        return self._clock.seconds() >= self._renewed_s + LEASE_RENEW_EVERY_S

    async def take(self) -> bool:
        """Try to become the holder; returns whether this host is it."""
        asked_s = self._clock.seconds()
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
            # When the answer was lost the key may be ours; revoking the lease takes
            # it away again, which is simpler than finding out.
            await self.drop()
            if isinstance(error, ConflictError):
                return False
            raise
        self.term = written.revision
        self._renewed_s = asked_s
        self._until_s = asked_s + LEASE_S * (1 - DRIFT)
        self._log("control-taken", key=self._key, term=self.term)
        return True

    async def renew(self) -> None:
        """Renew; the lease counts as lost when the store says so."""
        if self._lease_id is None:
            return
        asked_s = self._clock.seconds()
        self._renewed_s = asked_s
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
        self._until_s = asked_s + LEASE_S * (1 - DRIFT)

    async def drop(self) -> None:
        """Give the lease back, so that the next holder need not wait."""
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
