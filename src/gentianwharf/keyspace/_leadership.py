"""Leader election: the leader is the host whose item is stored under a live lease."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    PeerUnavailableError,
)
from gentianwharf.logs import log
from gentianwharf.store import Change, Item, LeaseEndedError, Put, Store

from ._previous_leader import (
    PreviousLeader,
    decode_previous_leader,
    encode_previous_leader,
)
from ._timing import (
    CONFIRM_EVERY_S,
    CONFIRM_WITHIN_S,
    LEADER_LEASE_S,
    RENEW_LEASE_EVERY_S,
)

CAMPAIGN_WITHIN_S = 0.15
"""Hosts that see the leader's item removed campaign after a random delay within this
time. Each call to the store has a cost, and the item of the first host reaches most
others before they campaign."""

CAMPAIGN_RETRY_S = 0.6

Clock = Callable[[], float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Term:
    """One host's time as the leader; ``revision`` is the condition of its writes."""

    lease_id: int
    revision: int


@final
class Leadership:
    """Campaigns for the leadership and renews the lease that it depends on.

    ``value`` identifies this host to the others while it leads. ``campaign_delay_s`` is
    how much later than other hosts this one campaigns.

    ``now_s`` has to be a clock that goes on while the host is suspended. With one that
    stops, a resumed host would act on a lease that has expired in the meantime.
    """

    def __init__(
        self,
        *,
        store: Store,
        key: str,
        previous_leader_key: str,
        value: bytes,
        now_s: Clock,
        rng: Random,
        campaign_delay_s: float = 0.0,
    ) -> None:
        self.term: Term | None = None
        self.lease_renewed_s = float("-inf")
        self.confirmed_s = float("-inf")
        """The last time at which the item was certainly this host's."""
        self.newest_revision = 0
        """The revision of the newest leader's item that this host has seen."""
        self.on_gained: Callable[[PreviousLeader | None], None] = lambda previous: None
        self.on_lost: Callable[[], None] = lambda: None
        self.handicap_s: Callable[[], float] = lambda: 0.0
        """Returns how much later than otherwise this host campaigns at the moment."""
        self._campaign_pause_until_s = float("-inf")
        self._store = store
        self._key = key
        self._previous_leader_key = previous_leader_key
        self._previous_leader_item: Item | None = None
        self._previous_leader: PreviousLeader | None = None
        self._replaced_record: Item | None = None
        """The record that this host's last claim replaced."""
        self.value = value
        self._now_s = now_s
        self._rng = rng
        self._campaign_delay_s = campaign_delay_s
        self._item: Item | None = None
        self._campaign_lease_id = 0
        self._campaign_began_s = 0.0
        self._campaigning = False
        self._due_s: float | None = None
        self._confirm_due_s = 0.0
        self._earlier_grants_expired = False
        """Whether the stored record of this term says so."""

    @property
    def leads(self) -> bool:
        """Whether this host considers itself the leader."""
        return self.term is not None

    def holds_lease(self) -> bool:
        """Whether the lease has not run out by this host's clock.

        The store may have ended it early, so another host may lead nevertheless.
        """
        return (
            self.term is not None
            and self._now_s() < self.lease_renewed_s + LEADER_LEASE_S
        )

    def note_item(self, item: Item | None) -> None:
        """Follow the leader's item in the store."""
        self._item = item
        if item is not None:
            self.newest_revision = max(self.newest_revision, item.revision)
        if self.term is not None:
            if item is None or item.revision != self.term.revision:
                self._lose("the leader's item no longer belongs to this host")
        elif item is not None and item.lease_id == self._campaign_lease_id != 0:
            # The write took effect although its answer was lost.
            self._gain(item.revision)
        if item is None and self._due_s is None:
            self._due_s = self._next_campaign_s()

    def tick(self) -> None:
        """Renew the lease or campaign for it when that is due."""
        now_s = self._now_s()
        if self.term is not None and now_s >= self._confirm_due_s:
            _start(self._confirm(self.term, now_s))
        if self._due_s is None or now_s < self._due_s:
            return
        if self.term is not None:
            if now_s < self.confirmed_s + CONFIRM_WITHIN_S:
                _start(self._renew(self.term, now_s))
        elif self._campaigning or now_s < self._campaign_pause_until_s:
            return
        elif self._item is None:
            self._campaigning = True
            _start(self._campaign(now_s)).addCallback(self._end_campaign)
        else:
            self._due_s = None

    async def resign(
        self, held_s: Callable[[int], float | None], *, campaign_pause_s: float
    ) -> None:
        """Give up the leadership, so that another host can take it over at once.

        ``held_s`` returns for how long grants may remain valid after the term with the
        given lease, None if this host did not take over in it. The time is stored in
        the record of the previous leader, which the next leader replaces by its own
        when it takes over; so the record is never attributed to a leader in between
        that was lost. For ``campaign_pause_s`` this host does not campaign.
        """
        self._campaign_pause_until_s = self._now_s() + campaign_pause_s
        term = self.term
        if term is None:
            return
        self._lose("resigned")
        # The orders that were in flight have ended now, and count from their ends.
        await self._remove_item(term, held_s(term.lease_id))

    async def _remove_item(self, term: Term, held_s: float | None) -> None:
        """Remove this host's item, so that others campaign at once."""
        try:
            await self._store.change(
                Change(
                    expected={self._key: term.revision},
                    puts=(self._resignation(term, held_s),),
                    removals=(self._key,),
                )
            )
        except GentianwharfError as error:
            log.info("resignation not stored, the lease will expire: {}", error.message)

    def _resignation(self, term: Term, held_s: float | None) -> Put:
        if held_s is not None:
            return self._record(
                term.lease_id, earlier_grants_expired=True, held_s=held_s
            )
        if self._replaced_record is None:
            return self._record(term.lease_id, earlier_grants_expired=False)
        # This host has granted nothing in its term, so the leader before it remains the
        # one to ask.
        return Put(key=self._previous_leader_key, value=self._replaced_record.value)

    def step_down(self, reason: str = "another host has stated that it leads") -> None:
        """End this host's term because another host leads."""
        if self.term is not None:
            self._lose(reason)

    async def mark_earlier_grants_expired(self) -> bool:
        """Store that only this leader's grants may be valid; return whether it did."""
        term = self.term
        if term is None:
            return False
        record = self._record(term.lease_id, earlier_grants_expired=True)
        try:
            await self._store.change(
                Change(expected={self._key: term.revision}, puts=(record,))
            )
        except GentianwharfError as error:
            log.info("record for the next leader not stored: {}", error.message)
            return False
        if self.term is term:
            self._earlier_grants_expired = True
        return True

    def note_previous_leader(self, item: Item | None) -> None:
        """Follow the item in which each leader stores its record for the next one."""
        self._previous_leader_item = item

    def _record(
        self,
        lease_id: int,
        *,
        earlier_grants_expired: bool,
        held_s: float | None = None,
    ) -> Put:
        previous = PreviousLeader(
            value=self.value,
            earlier_grants_expired=earlier_grants_expired,
            held_s=held_s,
            lease_id=lease_id,
        )
        return Put(
            key=self._previous_leader_key, value=encode_previous_leader(previous)
        )

    def _end_campaign(self, _: object) -> None:
        self._campaigning = False

    async def _campaign(self, now_s: float) -> None:
        self._due_s = now_s + CAMPAIGN_RETRY_S * (1 + self._rng.random())
        try:
            self._campaign_lease_id = 0
            lease_id = await self._store.open_lease(LEADER_LEASE_S)
            self._campaign_lease_id, self._campaign_began_s = lease_id, now_s
            previous = self._replaced_record = self._previous_leader_item
            self._previous_leader = decode_previous_leader(previous)
            put = Put(key=self._key, value=self.value, lease_id=lease_id)
            revision = await self._store.change(
                Change(
                    # The record has to be that of the last leader: a leader that this
                    # host has not seen may have issued grants that an older record
                    # does not cover.
                    expected={
                        self._key: 0,
                        self._previous_leader_key: previous.revision if previous else 0,
                    },
                    puts=(put, self._record(lease_id, earlier_grants_expired=False)),
                )
            )
        except ConflictError:
            self._campaign_lease_id = 0
            self._due_s = None
            return
        except GentianwharfError as error:
            log.info(
                "campaign failed: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )
            return
        if self.term is None and self._campaign_lease_id == lease_id:
            self._gain(revision)

    async def _renew(self, term: Term, now_s: float) -> None:
        self._due_s = now_s + RENEW_LEASE_EVERY_S
        try:
            await self._store.renew_lease(term.lease_id)
        except LeaseEndedError:
            if self.term is term:
                self._lose("the lease has expired")
            return
        except GentianwharfError as error:
            log.info(
                "lease not renewed: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )
            return
        if self.term is term:
            # The lease runs from the arrival of the call, which is never before now_s.
            self.lease_renewed_s = max(self.lease_renewed_s, now_s)

    async def _confirm(self, term: Term, now_s: float) -> None:
        """Check in the store that the item is still that of a term."""
        self._confirm_due_s = now_s + CONFIRM_EVERY_S
        try:
            is_current = await self._is_current(term)
        except GentianwharfError as error:
            log.info(
                "leader's item not read: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )
            return
        if is_current:
            self.note_confirmed(term, now_s)
        elif self.term is term:
            self._lose("the store returned no item of this host's term")

    async def _is_current(self, term: Term) -> bool:
        """Whether the leader's item is that of a term, as the store has it now.

        A store whose limit of reads is used up may renew leases and make changes, so a
        refused read is replaced by a change on the condition of the item.
        """
        try:
            item = await self._store.item(self._key)
        except PeerUnavailableError:
            if self._now_s() > self.lease_renewed_s + 2 * RENEW_LEASE_EVERY_S:
                raise
        else:
            return item is not None and item.revision == term.revision
        record = self._record(
            term.lease_id, earlier_grants_expired=self._earlier_grants_expired
        )
        try:
            await self._store.change(
                Change(expected={self._key: term.revision}, puts=(record,))
            )
        except ConflictError:
            return False
        return True

    def note_confirmed(self, term: Term, sent_s: float) -> None:
        """Record that the item was that of a term when a call was executed.

        ``sent_s`` is when the call was sent.
        """
        if self.term is term:
            self.confirmed_s = max(self.confirmed_s, sent_s)

    def _gain(self, revision: int) -> None:
        term = Term(lease_id=self._campaign_lease_id, revision=revision)
        self._campaign_lease_id = 0
        if self._now_s() < self._campaign_pause_until_s:
            # The campaign was in flight as this host resigned.
            log.info("leadership declined", extra={"revision": revision})
            _start(self._remove_item(term, None))
            return
        if revision < self.newest_revision:
            # The lease ended early, and the claim was answered late.
            log.info("another host has led since", extra={"revision": revision})
            return
        self.term = term
        self.newest_revision = max(self.newest_revision, revision)
        self.lease_renewed_s = self.confirmed_s = self._campaign_began_s
        self._due_s = self._now_s() + RENEW_LEASE_EVERY_S
        self._confirm_due_s = self._now_s() + CONFIRM_EVERY_S
        self._earlier_grants_expired = False
        held_s = (
            self._previous_leader.held_s if self._previous_leader is not None else None
        )
        log.info("leading", extra={"revision": revision, "held_s": held_s})
        self.on_gained(self._previous_leader)

    def _next_campaign_s(self) -> float:
        within_s = self._rng.random() * CAMPAIGN_WITHIN_S
        delay_s = self._campaign_delay_s + self.handicap_s()
        return self._now_s() + delay_s + within_s

    def _lose(self, reason: str) -> None:
        self.term = None
        self._due_s = self._next_campaign_s()
        log.info("no longer leading: {}", reason)
        self.on_lost()


def _start(call: Coroutine[Any, Any, None]) -> "Deferred[None]":
    return Deferred.fromCoroutine(call).addErrback(_log_fault)


def _log_fault(failure: Failure) -> None:
    log.error("leadership call failed unexpectedly: {}", failure.getTraceback())
