"""The list of hosts in the store, which the leader maintains."""

from collections.abc import Callable
from typing import final

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gentianwharf.errors import GentianwharfError, InputError
from gentianwharf.keyspace import Leadership
from gentianwharf.logs import log
from gentianwharf.store import Change, Item, Put, Store

from ._membership import Membership
from ._peer_messages import HostAddress, decode_hosts
from ._store_keys import HOSTS_KEY, LEADER_KEY

WRITE_INTERVAL_S = 2.0
"""Minimum interval between writes: many hosts start together, and each write is sent to
all of them."""


@final
class HostList:
    """Writes the list while this host leads; ``tick`` is called often."""

    def __init__(
        self,
        *,
        store: Store,
        leadership: Leadership,
        membership: Membership,
        now_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._leadership = leadership
        self._membership = membership
        self._now_s = now_s
        self._next_write_s = float("-inf")

    def note_item(self, item: Item | None) -> None:
        """Apply the stored list; what can't be read in it is left out."""
        hosts: list[HostAddress] = []
        if item is not None:
            extra = {"peer": item.key, "revision": item.revision}
            try:
                hosts, unreadable = decode_hosts(item.value, peer=item.key)
            except InputError as error:
                log.warning("cannot decode the list of hosts: {}", error, extra=extra)
            else:
                if unreadable:
                    log.warning(
                        "{} hosts in the list cannot be decoded",
                        unreadable,
                        extra=extra,
                    )
        self._membership.note_listed(hosts)

    def names(self) -> tuple[str, ...]:
        """Return the names of the hosts in the stored list."""
        return self._membership.listed_names()

    def listed(self) -> tuple[HostAddress, ...]:
        """Return the hosts in the stored list."""
        return self._membership.listed

    def tick(self) -> None:
        """Write the list if it differs from the leader's own membership."""
        now_s = self._now_s()
        if now_s < self._next_write_s or not self._leadership.holds_lease():
            return
        self._next_write_s = now_s + WRITE_INTERVAL_S
        if not self._membership.is_list_current():
            Deferred.fromCoroutine(self._write()).addErrback(_log_fault)

    async def _write(self) -> None:
        term = self._leadership.term
        if term is None:
            return
        value = msgspec.json.encode(self._membership.hosts())
        change = Change(
            expected={LEADER_KEY: term.revision},
            puts=(Put(key=HOSTS_KEY, value=value),),
        )
        try:
            await self._store.change(change)
        except GentianwharfError as error:
            log.info(
                "list of hosts not written: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )


def _log_fault(failure: Failure) -> None:
    log.error("error while writing the list of hosts: {}", failure.getTraceback())
