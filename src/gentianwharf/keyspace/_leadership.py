"""Which host leads: the one whose item stands in the store under a lease."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gentianwharf.errors import ConflictError, GentianwharfError
from gentianwharf.logs import log
from gentianwharf.store import Change, Item, LeaseEndedError, Put, Store

from ._previous_leader import (
    PreviousLeader,
    decode_previous_leader,
    encode_previous_leader,
)
from ._timing import LEADER_LEASE_S, RENEW_LEASE_EVERY_S

CAMPAIGN_WITHIN_S = 0.15
"""Hosts that see the leader gone ask for its place at random within this time: each
call is paid, and the first one's item reaches most others before they ask."""

CAMPAIGN_AGAIN_S = 0.6

Clock = Callable[[], float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Term:
    """One host's time as the leader; ``revision`` guards what it writes."""

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
        self.on_gained: Callable[[PreviousLeader | None], None] = lambda previous: None
        self.on_lost: Callable[[], None] = lambda: None
        self._campaign_pause_until_s = float("-inf")
        self._store = store
        self._key = key
        self._previous_leader_key = previous_leader_key
        self._previous_leader_item: Item | None = None
        self._previous_leader: PreviousLeader | None = None
        self.value = value
        self._now_s = now_s
        self._rng = rng
        self._campaign_delay_s = campaign_delay_s
        self._item: Item | None = None
        self._asking_lease_id = 0
        self._asked_s = 0.0
        self._campaigning = False
        self._due_s: float | None = None

    @property
    def leads(self) -> bool:
        """Whether this host takes itself for the leader."""
        return self.term is not None

    def holds_lease(self) -> bool:
        """Whether the lease surely holds, so that nobody else leads."""
        return (
            self.term is not None
            and self._now_s() < self.lease_renewed_s + LEADER_LEASE_S
        )

    def note_item(self, item: Item | None) -> None:
        """Follow the leader's item in the store."""
        self._item = item
        if self.term is not None:
            if item is None or item.revision != self.term.revision:
                self._lose("the leader's item is not this host's any more")
        elif item is not None and item.lease_id == self._asking_lease_id != 0:
            # The answer to the write was lost; the write was not.
            self._gain(item.revision)
        if item is None and self._due_s is None:
            self._due_s = self._campaign_s()

    def tick(self) -> None:
        """Renew the lease or ask for it when that is due."""
        now_s = self._now_s()
        if self._due_s is None or now_s < self._due_s:
            return
        if self.term is not None:
            _start(self._renew(self.term, now_s))
        elif self._campaigning or now_s < self._campaign_pause_until_s:
            return
        elif self._item is None:
            self._campaigning = True
            _start(self._campaign(now_s)).addCallback(self._end_campaign)
        else:
            self._due_s = None

    async def resign(self, held_s: float, *, campaign_pause_s: float) -> None:
        """Give the place up, so that another host takes it at once.

        ``held_s`` is for how long this host's grants may still hold. The next leader
        finds it beside the place, and puts its own word there when it takes the place:
        so it is never taken for the word of a leader in between, who was lost. For
        ``campaign_pause_s`` this host does not ask for the place again.
        """
        self._campaign_pause_until_s = self._now_s() + campaign_pause_s
        term = self.term
        if term is None:
            return
        self._lose("resigned")
        try:
            await self._store.change(
                Change(
                    expected={self._key: term.revision},
                    puts=(self._word(earlier_grants_expired=True, held_s=held_s),),
                    removals=(self._key,),
                )
            )
        except GentianwharfError as error:
            log.info("not resigned, the lease will run out: {}", error.message)

    def step_down(self) -> None:
        """Lead no more: another host does, and has said so."""
        if self.term is not None:
            self._lose("another host leads")

    async def mark_earlier_grants_expired(self) -> bool:
        """Leave word that only grants of this leader may hold; whether that is done."""
        term = self.term
        if term is None:
            return False
        word = self._word(earlier_grants_expired=True)
        try:
            await self._store.change(
                Change(expected={self._key: term.revision}, puts=(word,))
            )
        except GentianwharfError as error:
            log.info("no word left for the next leader: {}", error.message)
            return False
        return True

    def note_previous_leader(self, item: Item | None) -> None:
        """Follow the item in which each leader leaves its word for the next one."""
        self._previous_leader_item = item

    def _word(
        self, *, earlier_grants_expired: bool, held_s: float | None = None
    ) -> Put:
        previous = PreviousLeader(
            value=self.value,
            earlier_grants_expired=earlier_grants_expired,
            held_s=held_s,
        )
        return Put(
            key=self._previous_leader_key, value=encode_previous_leader(previous)
        )

    def _end_campaign(self, _: object) -> None:
        self._campaigning = False

    async def _campaign(self, now_s: float) -> None:
        self._due_s = now_s + CAMPAIGN_AGAIN_S * (1 + self._rng.random())
        try:
            self._asking_lease_id = 0
            lease_id = await self._store.open_lease(LEADER_LEASE_S)
            self._asking_lease_id, self._asked_s = lease_id, now_s
            previous = self._previous_leader_item
            self._previous_leader = decode_previous_leader(previous)
            put = Put(key=self._key, value=self.value, lease_id=lease_id)
            revision = await self._store.change(
                Change(
                    # Its word has to be the last leader's: one that this host has not
                    # heard of may have granted what an earlier one knows nothing of.
                    expected={
                        self._key: 0,
                        self._previous_leader_key: previous.revision if previous else 0,
                    },
                    puts=(put, self._word(earlier_grants_expired=False)),
                )
            )
        except ConflictError:
            self._asking_lease_id = 0
            self._due_s = None
            return
        except GentianwharfError as error:
            log.info(
                "not the leader: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )
            return
        if self.term is None and self._asking_lease_id == lease_id:
            self._gain(revision)

    async def _renew(self, term: Term, now_s: float) -> None:
        self._due_s = now_s + RENEW_LEASE_EVERY_S
        try:
            await self._store.renew_lease(term.lease_id)
        except LeaseEndedError:
            if self.term is term:
                self._lose("the lease has ended")
            return
        except GentianwharfError as error:
            log.info(
                "lease not renewed: {}",
                error.message,
                extra={"step": error.step, "peer": error.peer},
            )
            return
        if self.term is term:
            # The lease runs from the call's arrival, which is not before its sending.
            self.lease_renewed_s = max(self.lease_renewed_s, now_s)

    def _gain(self, revision: int) -> None:
        self.term = Term(lease_id=self._asking_lease_id, revision=revision)
        self._asking_lease_id = 0
        self.lease_renewed_s = self._asked_s
        self._due_s = self._now_s() + RENEW_LEASE_EVERY_S
        held_s = (
            self._previous_leader.held_s if self._previous_leader is not None else None
        )
        log.info("leading", extra={"revision": revision, "held_s": held_s})
        self.on_gained(self._previous_leader)

    def _campaign_s(self) -> float:
        within_s = self._rng.random() * CAMPAIGN_WITHIN_S
        return self._now_s() + self._campaign_delay_s + within_s

    def _lose(self, reason: str) -> None:
        self.term = None
        self._due_s = self._campaign_s()
        log.info("no longer leading: {}", reason)
        self.on_lost()


def _start(call: Coroutine[Any, Any, None]) -> "Deferred[None]":
    return Deferred.fromCoroutine(call).addErrback(_log_fault)


def _log_fault(failure: Failure) -> None:
    log.error("a call of the leadership failed: {}", failure.getTraceback())
