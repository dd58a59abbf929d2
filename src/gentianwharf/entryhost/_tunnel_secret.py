"""The secret that all hosts of a system know, and nobody else, from the store."""

from collections.abc import Callable
from secrets import token_urlsafe
from typing import final

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gentianwharf.errors import GentianwharfError
from gentianwharf.keyspace import Leadership
from gentianwharf.logs import log
from gentianwharf.store import Change, Item, Put, Store

from ._store_keys import LEADER_KEY, TUNNEL_SECRET_KEY

SECRET_BYTES = 24
WRITE_INTERVAL_S = 2.0


@final
class TunnelSecret:
    """Reads the secret; the leader writes it once, if the store has none."""

    def __init__(
        self,
        *,
        store: Store,
        leadership: Leadership,
        is_copy_complete: Callable[[], bool],
        now_s: Callable[[], float],
    ) -> None:
        self.value = ""
        self._store = store
        self._leadership = leadership
        self._is_copy_complete = is_copy_complete
        self._now_s = now_s
        self._next_write_s = float("-inf")

    def note_item(self, item: Item | None) -> None:
        """Apply the stored secret; without one, no tunnel is opened or accepted."""
        self.value = item.value.decode("ascii", "replace") if item is not None else ""

    def tick(self) -> None:
        """Write a secret if this host leads and the store has none."""
        now_s = self._now_s()
        if self.value or now_s < self._next_write_s:
            return
        if self._leadership.holds_lease() and self._is_copy_complete():
            self._next_write_s = now_s + WRITE_INTERVAL_S
            Deferred.fromCoroutine(self._write()).addErrback(_log_fault)

    async def _write(self) -> None:
        term = self._leadership.term
        if term is None:
            return
        value = token_urlsafe(SECRET_BYTES).encode()
        change = Change(
            expected={LEADER_KEY: term.revision, TUNNEL_SECRET_KEY: 0},
            puts=(Put(key=TUNNEL_SECRET_KEY, value=value),),
        )
        try:
            await self._store.change(change)
        except GentianwharfError as error:
            log.info(
                "secret for tunnels not written: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )


def _log_fault(failure: Failure) -> None:
    log.error("error while writing the secret: {}", failure.getTraceback())
