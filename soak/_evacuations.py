"""Operators who evacuate a failure domain, so that its servers hold no keys."""

from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from gentianwharf.errors import GentianwharfError
from gentianwharf.store import Change, Put, Store

from ._server_arguments import DOMAINS

KEY_PREFIX = "op/evacuate/"
RETRY_INTERVAL_S = 0.2


@final
class Evacuations:
    """Evacuates one domain at a time; a write is retried until the store has it."""

    def __init__(self, *, reactor: Any, store: Store) -> None:
        self.is_active = True
        self._reactor = reactor
        self._store = store
        self._number = 0

    def change(self, domain: str | None) -> None:
        """Evacuate a domain alone, or none."""
        self._number += 1
        Deferred.fromCoroutine(self._write(domain, self._number))

    async def _write(self, domain: str | None, number: int) -> None:
        # Which of the writes that failed took effect is not known.
        removals = tuple(KEY_PREFIX + each for each in DOMAINS if each != domain)
        puts = (Put(key=KEY_PREFIX + domain, value=b"1"),) if domain else ()
        while self.is_active and number == self._number:
            try:
                await self._store.change(Change(puts=puts, removals=removals))
            except GentianwharfError:
                await deferLater(self._reactor, RETRY_INTERVAL_S)
            else:
                return
