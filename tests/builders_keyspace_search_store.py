"""A store with leases, late writes and outages, for the search of ``keyspace``."""

from collections.abc import Callable
from copy import copy
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
)
from gentianwharf.store import Change, Events, Item, LeaseEndedError, Page
from tests.builders_keyspace import LEADER_KEY
from tests.builders_keyspace_search_loop import Loop

CALL_TIMEOUT_S = 2.0
RENEW_TIMEOUT_S = 0.7
PAGE_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 0.6

Result = TypeVar("Result")


@dataclass
class StoredState:
    """The store itself: items, leases and every change in order."""

    clock: Clock
    items_by_key: dict[str, Item] = field(default_factory=dict)
    revision: int = 10
    is_down: bool = False
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    """The duration and the end of each lease."""
    leader_changed: int = 0
    """The revision of the last change of the leader's item."""
    on_change: Callable[[], None] = lambda: None
    on_write: Callable[[Change, int], None] = lambda change, leader_revision: None
    """Called with each change that is made, and with the revision of the leader's item
    before it, 0 if there was none."""
    claims: list[tuple[int, float]] = field(default_factory=list)
    """The revision and the time of each claim to lead that was stored."""
    _last_lease_id: int = 100
    _down_since_s: float = 0.0

    def page(self, prefix: str) -> Page:
        """Return all items below a prefix."""
        self.expire()
        found = [
            item for key, item in self.items_by_key.items() if key.startswith(prefix)
        ]
        return Page(items=tuple(found), revision=self.revision)

    def change(self, change: Change) -> int:
        """Make a change if its conditions and the leases of its items hold."""
        self.expire()
        for key, revision in change.expected.items():
            known = self.items_by_key.get(key)
            if (known.revision if known else 0) != revision:
                raise ConflictError("condition", step="change", peer="store")
        if any(put.lease_id and put.lease_id not in self.leases for put in change.puts):
            raise LeaseEndedError("no such lease", step="change", peer="store")
        leader = self.items_by_key.get(LEADER_KEY)
        self.on_write(change, leader.revision if leader else 0)
        self.revision += 1
        for put in change.puts:
            item = Item(
                key=put.key,
                value=put.value,
                revision=self.revision,
                lease_id=put.lease_id,
            )
            self._set(put.key, item)
        for key in change.removals:
            self._set(key, None)
        self.on_change()
        return self.revision

    def open_lease(self, duration_s: float) -> int:
        """Open a lease."""
        self._last_lease_id += 1
        end_s = self.clock.seconds() + duration_s
        self.leases[self._last_lease_id] = (duration_s, end_s)
        return self._last_lease_id

    def renew_lease(self, lease_id: int) -> float:
        """Restart the duration of a lease."""
        self.expire()
        if lease_id not in self.leases:
            raise LeaseEndedError("no such lease", step="renew", peer="store")
        duration_s, _ = self.leases[lease_id]
        self.leases[lease_id] = (duration_s, self.clock.seconds() + duration_s)
        return duration_s

    def end_lease(self, lease_id: int) -> None:
        """End a lease and its items."""
        self.leases.pop(lease_id, None)
        self._drop_unleased()

    def end_leader_lease(self) -> None:
        """End the lease of the leader's item before its time."""
        item = self.items_by_key.get(LEADER_KEY)
        if item is not None:
            self.end_lease(item.lease_id)

    def end_leases(self) -> None:
        """End all leases before their time, also those of hosts that campaign."""
        self.leases.clear()
        self._drop_unleased()

    def remove_leader_item(self) -> None:
        """Remove the leader's item; its lease can still be renewed."""
        if LEADER_KEY in self.items_by_key:
            self.revision += 1
            self._set(LEADER_KEY, None)
            self.on_change()

    def stop(self) -> None:
        """Serve nothing from now on."""
        self.is_down = True
        self._down_since_s = self.clock.seconds()

    def start(self, *, pauses_leases: bool) -> None:
        """Serve again; the time without service counts for the leases or not."""
        self.is_down = False
        if pauses_leases:
            down_s = self.clock.seconds() - self._down_since_s
            for lease_id, (duration_s, end_s) in self.leases.items():
                self.leases[lease_id] = (duration_s, end_s + down_s)
        self.expire()

    def expire(self) -> None:
        """End expired leases, unless the store is down."""
        if self.is_down:
            return
        now_s = self.clock.seconds()
        ended = [known for known, (_, end_s) in self.leases.items() if end_s <= now_s]
        for lease_id in ended:
            del self.leases[lease_id]
        if ended:
            self._drop_unleased()

    def _drop_unleased(self) -> None:
        for key, item in list(self.items_by_key.items()):
            if item.lease_id and item.lease_id not in self.leases:
                self.revision += 1
                self._set(key, None)
                self.on_change()

    def _set(self, key: str, item: Item | None) -> None:
        if item is None:
            self.items_by_key.pop(key, None)
        else:
            self.items_by_key[key] = item
            if key == LEADER_KEY:
                self.claims.append((item.revision, self.clock.seconds()))
        if key == LEADER_KEY:
            self.leader_changed = self.revision


@dataclass(kw_only=True)
class StoreFaults:
    """What may go wrong with calls; of the store as a whole, or of one host's calls.

    The numbers are probabilities.
    """

    is_slow: bool = False
    loses_answers: float = 0.0
    writes_late: float = 0.0
    loses_claims: float = 0.0
    answers_claims_late: float = 0.0
    drops_history: float = 0.0
    pages_apart_s: float = 0.0
    """For how long at least a full read lasts."""
    serves_no_tables: bool = False
    tables_late_s: float = 0.0
    """How late at most reads of the tables are executed or answered."""
    serves_no_leader: bool = False
    """Whether reads of the leader's item fail."""
    turns_away: bool = False
    is_cut: bool = False
    loses_all_answers: bool = False
    news_late_s: float = 0.0
    gets_no_news: bool = False


class StoreConnection:
    """One host's calls to the store, each with its timeout in the host's loop."""

    def __init__(
        self,
        *,
        state: StoredState,
        general: StoreFaults,
        clock: Clock,
        loop: Loop,
        rng: Random,
    ) -> None:
        self.own = StoreFaults()
        self.on_renewal: Callable[[], None] = lambda: None
        self.on_claim_lost: Callable[[], None] = lambda: None
        self._state = state
        self._general = general
        self._clock = clock
        self._loop = loop
        self._rng = rng
        self._leader_rng = copy(rng)
        """For the regular reads of the leader's item, so that they change no other
        draws of a seed."""

    async def items(self, prefix: str) -> Page:
        """Return all items below a prefix."""
        if self.own.serves_no_tables and self._rng.random() < 0.8:
            return await self._call(None, step="items", timeout_s=PAGE_TIMEOUT_S)
        return await self._call(
            lambda: self._state.page(prefix), step="items", timeout_s=PAGE_TIMEOUT_S
        )

    async def item(self, key: str) -> Item | None:
        """Return an item."""
        is_leader = key == LEADER_KEY
        fails = is_leader and self.own.serves_no_leader
        return await self._call(
            None if fails else lambda: self._state.items_by_key.get(key),
            step="item",
            rng=self._leader_rng if is_leader else self._rng,
        )

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_s: float,
        on_response_start: Callable[[], None] = lambda: None,
    ) -> Events:
        """Return no changes; hosts get them as ``News``."""
        return Events(changes=(), revision=after_revision)

    async def change(self, change: Change) -> int:
        """Make a change."""
        is_claim = any(put.key == LEADER_KEY for put in change.puts)
        return await self._call(
            lambda: self._state.change(change),
            step="claim" if is_claim else "change",
            is_write=True,
        )

    async def open_lease(self, duration_s: float) -> int:
        """Open a lease."""
        return await self._call(
            lambda: self._state.open_lease(duration_s), step="lease", is_write=True
        )

    async def renew_lease(self, lease_id: int) -> float:
        """Restart the duration of a lease."""
        self.on_renewal()
        return await self._call(
            lambda: self._state.renew_lease(lease_id),
            step="renew",
            timeout_s=RENEW_TIMEOUT_S,
        )

    async def end_lease(self, lease_id: int) -> None:
        """End a lease."""
        await self._call(lambda: self._state.end_lease(lease_id), step="end")

    @property
    def gets_news(self) -> bool:
        """Whether the host receives the store's changes."""
        own = self.own
        is_reached = not (own.is_cut or own.turns_away or own.loses_all_answers)
        return is_reached and not own.gets_no_news and not self._state.is_down

    async def _call(
        self,
        perform: Callable[[], Result] | None,
        *,
        step: str,
        timeout_s: float = CALL_TIMEOUT_S,
        is_write: bool = False,
        rng: Random | None = None,
    ) -> Result:
        done: Deferred[Result] = Deferred()
        timeout = self._loop.callLater(
            timeout_s, self._fail, done, OutcomeUnknownError, step
        )
        self._loop.write(
            lambda: self._send(done, perform, step, is_write, rng or self._rng)
        )
        try:
            return await done
        finally:
            if timeout.active():
                timeout.cancel()

    def _send(
        self,
        done: "Deferred[Result]",
        perform: Callable[[], Result] | None,
        step: str,
        is_write: bool,
        rng: Random,
    ) -> None:
        own = self.own
        if done.called:
            return
        if own.is_cut or (self._state.is_down and rng.random() < 0.5):
            if rng.random() < 0.5:
                self._loop.callLater(
                    CONNECT_TIMEOUT_S, self._fail, done, PeerUnavailableError, step
                )
            return
        if own.turns_away:
            error = rng.choice([PeerUnavailableError, OutcomeUnknownError, None])
            if error is not None:
                self._answer_error(done, error, step)
            return
        if perform is None:
            if rng.random() < 0.5:
                self._answer_error(done, PeerUnavailableError, step)
            return
        delay_s = rng.uniform(0.001, 0.01)
        if self._general.is_slow:
            delay_s += rng.uniform(0.2, 0.5)
        if step == "items" and own.tables_late_s:
            delay_s += rng.uniform(0.0, own.tables_late_s)
        is_lost = own.loses_all_answers or rng.random() < max(
            own.loses_answers, self._general.loses_answers
        )
        if step == "claim" and rng.random() < max(
            own.loses_claims, self._general.loses_claims
        ):
            is_lost = True
            self.on_claim_lost()
        if step == "claim" and not is_lost and rng.random() < own.answers_claims_late:
            self.on_claim_lost()
            answer_s = rng.uniform(0.9, CALL_TIMEOUT_S)
            self._perform(done, perform, step, is_lost, answer_s=answer_s)
            return
        if is_write and rng.random() < self._general.writes_late:
            is_lost = True
            delay_s += rng.uniform(1.0, 6.0)
        if rng.random() < 0.5:
            self._clock.callLater(delay_s, self._perform, done, perform, step, is_lost)
        else:
            # A slow store may also execute the call at once, and answer late.
            self._perform(done, perform, step, is_lost, answer_s=delay_s)

    def _perform(
        self,
        done: "Deferred[Result]",
        perform: Callable[[], Result],
        step: str,
        is_lost: bool,
        answer_s: float = 0.002,
    ) -> None:
        if self._state.is_down:
            return
        result: Result | GentianwharfError
        try:
            result = perform()
        except GentianwharfError as error:
            result = error
        if is_lost:
            return

        def answer() -> None:
            if self.own.is_cut or self.own.loses_all_answers or self._state.is_down:
                return
            self._loop.post(finish)

        def finish() -> None:
            if done.called:
                return
            if isinstance(result, GentianwharfError):
                done.errback(result)
            else:
                done.callback(result)

        self._clock.callLater(answer_s, answer)

    def _answer_error(
        self,
        done: "Deferred[Result]",
        error_type: type[GentianwharfError],
        step: str,
    ) -> None:
        self._clock.callLater(
            0.003,
            lambda: self._loop.post(lambda: self._fail(done, error_type, step)),
        )

    def _fail(
        self,
        done: "Deferred[Result]",
        error_type: type[GentianwharfError],
        step: str,
    ) -> None:
        if not done.called:
            done.errback(error_type("no answer", step=step, peer="store"))
