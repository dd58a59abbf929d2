"""What the leader writes: plans each service's table and follows what stands."""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import final

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    InputError,
    PeerUnavailableError,
)
from gentianwharf.logs import log
from gentianwharf.store import Change, Item, Put, Store

from ._demand import Demand
from ._grant_manager import GrantManager
from ._leadership import Leadership, Term
from ._moves import done
from ._plan import Candidate, Losses, plan
from ._previous_leader import PreviousLeader
from ._room import at_its_speed, cold_room, used_part
from ._table import KeyTable, decode_table, encode_table

SETTLE_S = 1.0
"""Servers that start together appear one after another; the first plan waits until none
has come for so long, or it would move most shards again at once."""

MOST_SETTLE_S = 3.0

EVEN_OUT_EVERY_S = 0.5
"""As long as most moves take. What is counted is counted by shards, so that a move in
between does not make it wrong."""

WARM_UP_S = 5.0
"""How long that lasts, where the operators don't say."""

CLEAN_UP_AFTER_S = 3.0
"""Finished moves are noted in the store together, each note being a paid call of every
host; until then a new leader would only release once more what has been released."""

WRITE_AGAIN_S = 0.3
READ_AGAIN_S = 0.3

Clock = Callable[[], float]


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _Service:
    """One keyed service: its table as it stands in the store, and who may hold."""

    name: str
    key: str
    demand: Demand
    table: KeyTable
    revision: int = 0
    candidates: Sequence[Candidate] = ()
    planned_for: Sequence[Candidate] | None = None
    joined_s: float = 0.0
    evened_s: float = 0.0
    moved_s: float | None = None
    due_s: float = 0.0
    writing: bool = False
    known: set[str] = field(default_factory=set)
    warm_up_s: float = WARM_UP_S
    cold: deque[tuple[float, float]] = field(default_factory=deque)


@final
class Planner:
    """Plans for every keyed service while this host leads."""

    def __init__(
        self,
        *,
        store: Store,
        leadership: Leadership,
        leader_key: str,
        table_prefix: str,
        grant_manager: GrantManager,
        shards: int,
        now_s: Clock,
    ) -> None:
        self.on_table: Callable[[KeyTable], None] = lambda table: None
        self.on_isolated: Callable[[], None] = lambda: None
        self.on_previous_leader: Callable[[PreviousLeader], None] = lambda previous: (
            None
        )
        self._store = store
        self._leadership = leadership
        self._leader_key = leader_key
        self._prefix = table_prefix
        self._manager = grant_manager
        self._shards = shards
        self._now_s = now_s
        self._services: dict[str, _Service] = {}
        self._gained_s = 0.0
        self._previous_leader: PreviousLeader | None = None
        self._term: Term | None = None
        self._read_due_s = 0.0
        self._has_marked_expired = False
        self._mark_due_s = 0.0

    def note_gained(self, previous: PreviousLeader | None) -> None:
        """Begin to lead; ``previous`` is the record of the previous leader."""
        self._gained_s = self._now_s()
        self._previous_leader = previous
        self._has_marked_expired = False
        self._mark_due_s = float("-inf")
        self._read_tables()

    def _read_tables(self) -> None:
        """Read the tables as they stand now, and then carry them out.

        A host may take the lead without having heard of the last one's term, when its
        watch was left without an answer. By its older tables it would renew grants of
        holders that had been waited out.
        """
        self._read_due_s = self._now_s() + READ_AGAIN_S
        running = Deferred.fromCoroutine(self._begin(self._leadership.term))
        running.addErrback(_log_fault)

    async def _begin(self, term: Term | None) -> None:
        try:
            page = await self._store.items(self._prefix)
        except GentianwharfError as error:
            log.info("tables not read: {}", error.message)
            return
        if term is None or self._leadership.term is not term or self._term is term:
            return
        self._term = term
        for item in page.items:
            self.note_table(item)
        self._take_over()

    def _take_over(self) -> None:
        previous = self._previous_leader
        held_s = previous.held_s if previous is not None else None
        if not any(row.table.spans for row in self._services.values()):
            # Nothing is granted without a table in the store.
            held_s = 0.0
        own = self._manager.holders.remaining_grants()
        self._manager.take_over(self._leadership.lease_renewed_s, held_s=held_s)
        if previous is not None and held_s is None:
            if previous.value == self._leadership.value:
                self._manager.holders.note_remaining_grants(own)
            else:
                self.on_previous_leader(previous)
        for service in self._services.values():
            service.due_s = 0.0
            service.planned_for = None
            self._manager.follow(service.table)

    def _mark_earlier_grants_expired(self, now_s: float) -> None:
        """Leave word for the next leader that it need not know of those before."""
        if now_s < self._mark_due_s:
            return
        self._mark_due_s = now_s + WRITE_AGAIN_S
        self._has_marked_expired = True
        running = Deferred.fromCoroutine(self._leadership.mark_earlier_grants_expired())
        running.addErrback(_log_fault)
        running.addCallback(
            lambda done: setattr(self, "_has_marked_expired", bool(done))
        )

    def set_services(self, warm_ups_s: Mapping[str, float]) -> None:
        """Follow which services are divided by key, and how long shards warm up."""
        for name, warm_up_s in warm_ups_s.items():
            if name in self._services:
                self._services[name].warm_up_s = warm_up_s
            else:
                self._services[name] = _Service(
                    name=name,
                    key=self._prefix + name,
                    demand=Demand(now_s=self._now_s),
                    table=KeyTable(service=name),
                    warm_up_s=warm_up_s,
                )

    def set_candidates(self, service: str, candidates: Sequence[Candidate]) -> None:
        """Follow which servers may hold a service's shards."""
        row = self._services.get(service)
        if row is None:
            return
        names = {one.holder.server_id for one in candidates}
        if names - row.known:
            row.joined_s = self._now_s()
        row.known = names
        row.candidates = candidates
        row.due_s = 0.0

    def demand(self, service: str) -> Demand | None:
        """Return where to count a service's requests, None if it isn't divided."""
        row = self._services.get(service)
        return row.demand if row is not None else None

    def note_table(self, item: Item) -> None:
        """Follow a table in the store; one that can't be read changes nothing."""
        try:
            table = decode_table(item.value, peer=item.key)
        except InputError as error:
            log.error(
                "table not taken: {}",
                error.message,
                extra={
                    "step": error.step,
                    "peer": error.peer,
                    "revision": item.revision,
                },
            )
            return
        if table.service not in self._services:
            self.set_services({table.service: WARM_UP_S})
        row = self._services[table.service]
        if item.revision > row.revision:
            self._take(row, table, item.revision)

    def tick(self) -> None:
        """Plan where that is due; to be called every 50 ms or so."""
        if not self._leadership.holds_lease():
            return
        now_s = self._now_s()
        if self._term is not self._leadership.term:
            if now_s >= self._read_due_s:
                self._read_tables()
            return
        self._manager.note_store_contact(self._leadership.lease_renewed_s)
        if (
            not self._has_marked_expired
            and self._manager.holders.earlier_grants_expired()
        ):
            self._mark_earlier_grants_expired(now_s)
        for row in self._services.values():
            if not row.writing and now_s >= row.due_s and self._is_settled(row, now_s):
                self._plan(row, now_s)

    def _is_settled(self, row: _Service, now_s: float) -> bool:
        if row.table.spans:
            return True
        return (
            now_s >= row.joined_s + SETTLE_S or now_s >= self._gained_s + MOST_SETTLE_S
        )

    def _plan(self, row: _Service, now_s: float) -> None:
        is_even_due = now_s >= row.evened_s + EVEN_OUT_EVERY_S
        if not is_even_due and not self._is_changed(row):
            return
        reached = self._reached(row)
        load = row.demand.load(self._shards)
        if is_even_due:
            row.evened_s = now_s
            row.demand.learn_speeds()
        planned = plan(
            row.table,
            [at_its_speed(one, row.demand) for one in reached],
            load,
            shards=self._shards,
            even_out=is_even_due,
            used=used_part(row.demand, reached),
            losses=self._losses(row, reached, now_s),
        )
        row.planned_for = reached
        if planned.cold_load:
            row.cold.append((now_s, planned.cold_load))
        cleaned = done(planned.table, self._manager.moved(row.name))
        if planned.table is row.table and (
            cleaned is None or not self._is_clean_up_due(row, now_s)
        ):
            return
        row.moved_s = None
        self._write(row, cleaned or planned.table)

    def _losses(
        self, row: _Service, reached: Sequence[Candidate], now_s: float
    ) -> Losses:
        while row.cold and row.cold[0][0] < now_s - row.warm_up_s:
            row.cold.popleft()
        cold = sum(load for _, load in row.cold)
        room = cold_room(row.demand, reached) - cold
        return Losses(holders=self._manager.holders.unreachable(), room=room)

    def _is_changed(self, row: _Service) -> bool:
        return row.planned_for != self._reached(row) or not row.table.spans

    def _reached(self, row: _Service) -> list[Candidate]:
        """Return the candidates but those that this host can't reach.

        When it can't reach most of them, this host is the one that is cut off: then
        nothing moves, and somebody else should lead.
        """
        lost = self._manager.holders.unreachable()
        reached = [one for one in row.candidates if one.holder not in lost]
        if len(reached) * 2 > len(row.candidates):
            return reached
        if row.candidates:
            self.on_isolated()
        return list(row.candidates)

    def _is_clean_up_due(self, row: _Service, now_s: float) -> bool:
        if row.moved_s is None:
            row.moved_s = now_s
        return now_s >= row.moved_s + CLEAN_UP_AFTER_S

    def _write(self, row: _Service, table: KeyTable) -> None:
        row.writing = True
        running = Deferred.fromCoroutine(self._send(row, table))
        running.addErrback(_log_fault)
        running.addCallback(lambda _: setattr(row, "writing", False))

    async def _send(self, row: _Service, table: KeyTable) -> None:
        term = self._leadership.term
        if term is None:
            return
        value = encode_table(table)
        change = Change(
            expected={self._leader_key: term.revision, row.key: row.revision},
            puts=(Put(key=row.key, value=value),),
        )
        try:
            revision = await self._store.change(change)
        except PeerUnavailableError as error:
            self._note_failed(row, error)
        except (ConflictError, GentianwharfError) as error:
            self._note_failed(row, error)
            await self._read_back(row)
        else:
            self._take(row, table, revision)

    def _note_failed(self, row: _Service, error: GentianwharfError) -> None:
        row.due_s = self._now_s() + WRITE_AGAIN_S
        row.planned_for = None
        log.info(
            "table not written: {}",
            error.message,
            extra={"service": row.name, "step": error.step, "peer": error.peer},
        )

    async def _read_back(self, row: _Service) -> None:
        """Learn what stands in the store after a write with unknown outcome.

        The write may still take effect later; it has the same condition as the next
        one, so that only one of them does.
        """
        try:
            item = await self._store.item(row.key)
        except GentianwharfError as error:
            log.info("table not read back: {}", error.message)
            return
        if item is not None:
            self.note_table(item)

    def _take(self, row: _Service, table: KeyTable, revision: int) -> None:
        if revision <= row.revision:
            return
        row.table, row.revision = table, revision
        self._manager.follow(table)
        self.on_table(table)


def _log_fault(failure: Failure) -> None:
    log.error("planning failed: {}", failure.getTraceback())
