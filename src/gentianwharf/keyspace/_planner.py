"""Plans the table of each keyed service on the leading host, and stores it."""

from collections.abc import Callable, Mapping, Sequence, Set
from dataclasses import replace
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

from ._capacity import (
    current_capacities,
    movable_cold_load,
    utilization,
)
from ._demand import REQUESTS_PER_SERVER, Demand
from ._grant_manager import GrantManager
from ._leadership import Leadership, Term
from ._moves import without_finished_moves
from ._plan import plan
from ._plan_types import Candidate, LostHolders
from ._previous_leader import PreviousLeader
from ._service import WARM_UP_S, KeyedService
from ._shard_load import ShardLoad
from ._snapshot import PlacementSnapshot
from ._table import KeyTable, decode_table, encode_table

JOIN_QUIET_S = 1.0
"""Servers that are started together get listed one after another. The first plan waits
until no server has joined for this time, since it would otherwise have to move most
shards again at once."""

MAX_JOIN_WAIT_S = 3.0

REBALANCE_EVERY_S = 0.5
"""As long as most moves take. Requests are counted by shard, so a move in between does
not invalidate the counts."""

MIN_COUNTED_S = 2.0
"""How long a new leader counts requests before it rebalances. It does not have the
counts of the former leader, and without counts the load of all shards appears even."""

CLEAN_UP_AFTER_S = 3.0
"""Finished moves are removed from the stored table together, since each write causes a
paid call by every host. Until then a new leader would only repeat releases that have
already been answered."""

RETRY_WRITE_S = 0.3
RETRY_READ_S = 0.3

Clock = Callable[[], float]


@final
class Planner:
    """Plans the tables of all keyed services while this host leads."""

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
        self.limits_per_s: Callable[[], Mapping[str, float]] = dict
        """Returns the limits that servers name for all hosts together."""
        self._store = store
        self._leadership = leadership
        self._leader_key = leader_key
        self._prefix = table_prefix
        self._grant_manager = grant_manager
        self._shards = shards
        self._now_s = now_s
        self._services: dict[str, KeyedService] = {}
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
        """Read the tables as they are stored now, and carry them out.

        A host may become the leader without having received the changes of the last
        term, if its watch was not answered. By its outdated tables it would renew
        grants of former holders whose grants have already been waited out.
        """
        self._read_due_s = self._now_s() + RETRY_READ_S
        running = Deferred.fromCoroutine(self._begin(self._leadership.term))
        running.addErrback(_log_fault)

    async def _begin(self, term: Term | None) -> None:
        try:
            page = await self._store.items(self._prefix)
        except GentianwharfError as error:
            log.info("tables not read from the store: {}", error.message)
            return
        if term is None or self._leadership.term is not term or self._term is term:
            return
        if not self._leadership.holds_lease():
            # These may be the tables of the next leader, whose grants to the former
            # holders this host does not know. They are read again after a renewal.
            log.info("tables read too late: the lease may have ended")
            return
        rejected = {item.key for item in page.items if not self.note_table(item)}
        for service in self._services.values():
            # The claim may be answered after a table of a later leader was received.
            self._check_term(service.table, service.revision)
        if self._leadership.term is not term:
            return
        self._term = term
        has_spans = any(service.table.spans for service in self._services.values())
        self._take_over(
            term, may_have_grants=has_spans or bool(rejected), rejected=rejected
        )

    def _take_over(
        self, term: Term, *, may_have_grants: bool, rejected: Set[str]
    ) -> None:
        previous = self._previous_leader
        held_s = previous.held_s if previous is not None else None
        if not may_have_grants:
            # Without a stored table there are no grants.
            held_s = 0.0
        own = self._grant_manager.holders.remaining_grants(
            previous.lease_id if previous is not None else 0
        )
        self._grant_manager.take_over(
            self._leadership.confirmed_s,
            leading_since_s=self._gained_s,
            held_s=held_s,
            lease_id=term.lease_id,
        )
        if previous is not None and held_s is None:
            if previous.value == self._leadership.value:
                self._grant_manager.holders.note_remaining_grants(own)
            else:
                self.on_previous_leader(previous)
        log.info(
            "took over",
            extra={
                "revision": term.revision,
                "earlier_grants_s": round(
                    self._grant_manager.holders.earlier_grants_s(), 3
                ),
            },
        )
        for service in self._services.values():
            service.due_s = 0.0
            service.planned_for = None
            if service.key not in rejected:
                # By an older table, shards could be granted to former holders.
                self._grant_manager.follow(service.table)

    def _mark_earlier_grants_expired(self, now_s: float) -> None:
        """Store that the next leader can ignore the leaders before this one."""
        if now_s < self._mark_due_s:
            return
        self._mark_due_s = now_s + RETRY_WRITE_S
        self._has_marked_expired = True
        running = Deferred.fromCoroutine(self._leadership.mark_earlier_grants_expired())
        running.addErrback(_log_fault)
        running.addCallback(
            lambda done: setattr(self, "_has_marked_expired", bool(done))
        )

    def set_services(self, warm_ups_s: Mapping[str, float]) -> None:
        """Set which services are keyed, and for how long their shards warm up."""
        for name, warm_up_s in warm_ups_s.items():
            if name in self._services:
                self._services[name].warm_up_s = warm_up_s
            else:
                self._services[name] = KeyedService(
                    name=name,
                    key=self._prefix + name,
                    demand=Demand(now_s=self._now_s),
                    table=KeyTable(service=name),
                    warm_up_s=warm_up_s,
                )

    def set_candidates(self, service: str, candidates: Sequence[Candidate]) -> None:
        """Set which servers may hold a service's shards."""
        keyed = self._services.get(service)
        if keyed is None:
            return
        server_ids = {candidate.holder.server_id for candidate in candidates}
        if server_ids - keyed.known_ids:
            keyed.last_joined_s = self._now_s()
        keyed.known_ids = server_ids
        keyed.candidates = candidates
        keyed.due_s = 0.0

    def demand(self, service: str) -> Demand | None:
        """Return a service's request counters, None if the service is not keyed."""
        keyed = self._services.get(service)
        return keyed.demand if keyed is not None else None

    def snapshot(self, service: str) -> PlacementSnapshot | None:
        """Return a service's figures for metrics, None if the service is not keyed."""
        keyed = self._services.get(service)
        return keyed.snapshot(self._shards) if keyed is not None else None

    def note_table(self, item: Item) -> bool:
        """Follow a stored table; return False for one that can't be decoded."""
        try:
            table = decode_table(item.value, peer=item.key)
        except InputError as error:
            log.error(
                "table rejected: {}",
                error.message,
                extra={
                    "step": error.step,
                    "peer": error.peer,
                    "revision": item.revision,
                },
            )
            return False
        if table.service not in self._services:
            self.set_services({table.service: WARM_UP_S})
        service = self._services[table.service]
        if item.revision > service.revision:
            self._check_term(table, item.revision)
            self._accept(service, table, item.revision)
        return True

    def _check_term(self, table: KeyTable, revision: int) -> None:
        """End this host's term if a later leader has stored a table.

        Only the leader can store a table. The lease of a leader may have ended early,
        and the table may arrive before the item of the leader that stored it, whose
        grants to the former holders this host does not know.
        """
        term = self._leadership.term
        if (
            term is not None
            and revision > term.revision
            and table.leader_revision != term.revision
        ):
            self._leadership.step_down("a later leader has stored a table")

    def tick(self) -> None:
        """Plan the services that are due; to be called about every 50 ms."""
        for service in self._services.values():
            self._note_election(service)
        if not self._leadership.holds_lease():
            return
        now_s = self._now_s()
        if self._term is not self._leadership.term:
            if now_s >= self._read_due_s:
                self._read_tables()
            return
        self._grant_manager.note_store_answer(self._leadership.lease_renewed_s)
        self._grant_manager.note_store_contact(self._leadership.confirmed_s)
        if (
            not self._has_marked_expired
            and self._grant_manager.holders.earlier_grants_expired()
        ):
            self._mark_earlier_grants_expired(now_s)
        for service in self._services.values():
            if (
                not service.writing
                and now_s >= service.due_s
                and self._has_stable_candidates(service, now_s)
            ):
                self._plan(service, now_s)

    def _has_stable_candidates(self, service: KeyedService, now_s: float) -> bool:
        if service.table.spans:
            return True
        return (
            now_s >= service.last_joined_s + JOIN_QUIET_S
            or now_s >= self._gained_s + MAX_JOIN_WAIT_S
        )

    def _plan(self, service: KeyedService, now_s: float) -> None:
        is_rebalance_due = now_s >= max(
            service.rebalanced_s + REBALANCE_EVERY_S, self._gained_s + MIN_COUNTED_S
        )
        if not is_rebalance_due and not self._is_changed(service):
            return
        reachable = self._reachable(service)
        service.demand.set_server_count(len(reachable))
        load = service.demand.load(self._shards)
        has_enough_counts = load.total >= REQUESTS_PER_SERVER * len(reachable)
        if not service.table.spans and not has_enough_counts:
            load = ShardLoad(counts={}, shards=self._shards)
        if is_rebalance_due:
            service.rebalanced_s = now_s
            service.demand.update_speeds()
        used = utilization(service.demand, reachable)
        cleaned = without_finished_moves(
            service.table, self._grant_manager.finished_moves(service.name)
        )
        # The spans of finished moves may move again.
        table = cleaned or service.table
        planned = plan(
            table,
            current_capacities(
                reachable, service.demand, self.limits_per_s(), utilization=used
            ),
            load,
            shards=self._shards,
            rebalance=is_rebalance_due,
            utilization=used,
            lost_holders=self._lost_holders(service, reachable, now_s),
        )
        service.planned_for = reachable
        service.moves.update(planned.moves)
        if planned.cold_load:
            service.cold_loads.append((now_s, planned.cold_load))
        if planned.table is table and (
            cleaned is None or not self._is_clean_up_due(service, now_s)
        ):
            return
        service.moves_finished_s = None
        self._write(service, planned.table)

    def _lost_holders(
        self, service: KeyedService, reachable: Sequence[Candidate], now_s: float
    ) -> LostHolders:
        while (
            service.cold_loads and service.cold_loads[0][0] < now_s - service.warm_up_s
        ):
            service.cold_loads.popleft()
        cold = sum(load for _, load in service.cold_loads)
        movable_load = movable_cold_load(service.demand, reachable) - cold
        holders = self._grant_manager.holders
        return LostHolders(
            holders=holders.unreachable() - holders.ended(), movable_load=movable_load
        )

    def _is_changed(self, service: KeyedService) -> bool:
        return (
            service.planned_for != self._reachable(service) or not service.table.spans
        )

    def _reachable(self, service: KeyedService) -> list[Candidate]:
        """Return the candidates except those that this host can't reach.

        If it can't reach most of them, this host is the one that is cut off. It then
        moves nothing, and another host should lead. Servers that have ended are left
        out: another one answered at their addresses, so this host reaches these.
        """
        holders = self._grant_manager.holders
        ended, lost = holders.ended(), holders.unreachable()
        living = [
            candidate
            for candidate in service.candidates
            if candidate.holder not in ended
        ]
        reachable = [candidate for candidate in living if candidate.holder not in lost]
        if len(reachable) * 2 > len(living):
            return reachable
        if living:
            self.on_isolated()
        return living

    def _is_clean_up_due(self, service: KeyedService, now_s: float) -> bool:
        if service.moves_finished_s is None:
            service.moves_finished_s = now_s
        return now_s >= service.moves_finished_s + CLEAN_UP_AFTER_S

    def _write(self, service: KeyedService, table: KeyTable) -> None:
        service.writing = True
        running = Deferred.fromCoroutine(self._send(service, table))
        running.addErrback(_log_fault)
        running.addCallback(lambda _: setattr(service, "writing", False))

    async def _send(self, service: KeyedService, table: KeyTable) -> None:
        term = self._leadership.term
        if term is None:
            return
        table = replace(table, leader_revision=term.revision)
        value = encode_table(table)
        change = Change(
            expected={self._leader_key: term.revision, service.key: service.revision},
            puts=(Put(key=service.key, value=value),),
        )
        sent_s = self._now_s()
        try:
            revision = await self._store.change(change)
        except PeerUnavailableError as error:
            self._note_failed(service, error)
        except (ConflictError, GentianwharfError) as error:
            self._note_failed(service, error)
            await self._read_back(service)
        else:
            self._leadership.note_confirmed(term, sent_s)
            self._accept(service, table, revision)

    def _note_failed(self, service: KeyedService, error: GentianwharfError) -> None:
        service.due_s = self._now_s() + RETRY_WRITE_S
        service.planned_for = None
        log.info(
            "table not written: {}",
            error.message,
            extra={"service": service.name, "step": error.step, "peer": error.peer},
        )

    async def _read_back(self, service: KeyedService) -> None:
        """Read the stored table after a write with an unknown outcome.

        The write may still take effect later. It has the same condition as the next
        write, so only one of the two does.
        """
        try:
            item = await self._store.item(service.key)
        except GentianwharfError as error:
            log.info("table not read back from the store: {}", error.message)
            return
        if item is not None:
            self.note_table(item)

    def _note_election(self, service: KeyedService) -> None:
        """Record it if a leader was elected after the service's table was stored."""
        if self._leadership.newest_revision > service.revision > 0:
            self._grant_manager.move_bounds.note_election(
                service.name, service.table.highest_token
            )

    def _accept(self, service: KeyedService, table: KeyTable, revision: int) -> None:
        if revision <= service.revision:
            return
        self._note_election(service)
        service.table, service.revision = table, revision
        self._grant_manager.follow(table)
        self.on_table(table)


def _log_fault(failure: Failure) -> None:
    log.error("planning failed unexpectedly: {}", failure.getTraceback())
