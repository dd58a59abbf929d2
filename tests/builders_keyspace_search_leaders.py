"""The rules for two hosts that lead at a time, in the search of ``keyspace``.

The store may end a leader's lease early, so another host may lead before the older
leader knows. The last time at which the older one read its item is before the claim of
the newer one. From that claim,

- the older one takes its lease for held no longer than it renews it without having read
  its item, and one lease;
- it sends orders no longer than a leader does without the store;
- the store accepts no table and no record of it;
- it states no position of the store that includes the claim.

A host whose term has ended sends no order. What servers accept is checked by ``Fleet``.
"""

from collections.abc import Mapping
from typing import Protocol

from gentianwharf.keyspace import Leadership, decode_table
from gentianwharf.keyspace._timing import CONFIRM_WITHIN_S, LEADER_LEASE_S
from gentianwharf.store import Change
from tests.builders_keyspace import (
    LEADER_KEY,
    PREVIOUS_LEADER_KEY,
    TABLE_PREFIX,
    TIMING,
)
from tests.builders_keyspace_search_loop import Loop
from tests.builders_keyspace_search_servers import OwnerRuleError
from tests.builders_keyspace_search_store import StoredState

LEASE_BOUND_S = CONFIRM_WITHIN_S + LEADER_LEASE_S
ORDERS_BOUND_S = TIMING.renew_without_store_s
ROUNDING_S = 1e-6


class Host(Protocol):
    """One process of a host, as the rules use it."""

    name: str
    loop: Loop
    leadership: Leadership


class LeaderRules:
    """Checks what hosts do that consider themselves the leader."""

    def __init__(self, *, store: StoredState, hosts: Mapping[str, Host]) -> None:
        self._store = store
        self._hosts = hosts

    def check_leases(self) -> None:
        """Check for how long replaced leaders take their leases for held."""
        for host in self._hosts.values():
            if not host.loop.is_alive or not host.leadership.holds_lease():
                continue
            replaced_s = self._replaced_s(host)
            if replaced_s > LEASE_BOUND_S + ROUNDING_S:
                self._break(
                    f"two leaders: {host.name} takes its lease for held "
                    f"{replaced_s:.3f} s after the next claim"
                )

    def check_order(self, name: str) -> None:
        """Check whether a host may still send an order."""
        host = self._hosts[name]
        if host.leadership.term is None:
            self._break_soon(f"order without a term: {name} sends one")
            return
        replaced_s = self._replaced_s(host)
        if replaced_s > ORDERS_BOUND_S + ROUNDING_S:
            self._break_soon(
                f"two leaders: {name} sends an order {replaced_s:.3f} s after the next "
                f"claim"
            )

    def check_write(self, change: Change, leader_revision: int) -> None:
        """Check whether a change that the store accepts is one of the leader."""
        keys = {put.key for put in change.puts}
        if LEADER_KEY in keys:
            return
        is_record = PREVIOUS_LEADER_KEY in keys
        if is_record and change.expected.get(LEADER_KEY) != leader_revision:
            self._break("the record of a host that does not lead is stored")
        for put in change.puts:
            if put.key.startswith(TABLE_PREFIX):
                table = decode_table(put.value, peer=put.key)
                if not 0 < table.leader_revision == leader_revision:
                    self._break(
                        f"the table of leader {table.leader_revision} is stored"
                    )

    def check_position(self, term_revision: int, position: int) -> None:
        """Check whether a stated position includes the claim of a later leader."""
        later = [
            revision for revision, _ in self._store.claims if revision > term_revision
        ]
        if later and position >= later[0]:
            self._break_soon(
                f"two leaders: leader {term_revision} states position {position}, "
                f"after the claim {later[0]}"
            )

    def _replaced_s(self, host: Host) -> float:
        """Return for how long another host has led, 0 if none has."""
        term = host.leadership.term
        if term is None:
            return 0.0
        for revision, claimed_s in self._store.claims:
            if revision > term.revision:
                return self._store.clock.seconds() - claimed_s
        return 0.0

    def _break_soon(self, text: str) -> None:
        """Break outside of the call that is checked, which may log all errors."""
        self._store.clock.callLater(0.0, self._break, text)

    def _break(self, text: str) -> None:
        raise OwnerRuleError(f"{self._store.clock.seconds():.3f}: {text}")
