"""Decisions on which server serves a key, for replays of a keyed service.

``PlannedPlacement`` runs the real planner and demand. The store and the orders for
grants are small models: a span that moves is not served from its release until the
work that runs for it at the former holder has ended.
"""

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, cast

from gentianwharf.entryhost._load_accumulator import LoadAccumulator
from gentianwharf.keyspace import Candidate, Holder, KeyTable, ObservedLoad, Span
from gentianwharf.keyspace._leadership import Term
from gentianwharf.keyspace._moves import SpanKey, key_of
from gentianwharf.keyspace._planner import Planner
from gentianwharf.store import Change, Item, Page
from tests.builders_placement_patterns import PATTERNS, Fleet, Outcome
from tests.builders_placement_replay import SERVICE, SHARDS, Placement, Replay

PREFIX = "keys/"
TICK_S = 0.05
WRITE_S = 0.02
ORDER_S = 0.01
"""From the leader's order to the server, and the same for the notice to the hosts."""


class IdealPlacement:
    """Knows the load of each key and each server's speed, and moves keys at once."""

    def __init__(self) -> None:
        self._owners: dict[int, int] = {}

    def start(self, replay: Replay) -> None:
        """Place all keys, and again whenever the demand changes."""
        self._place(replay)
        for time_s in {
            time_s
            for hot in replay.pattern.hot
            for time_s in (hot.since_s, hot.until_s)
        }:
            replay.call_later(time_s, lambda: self._place(replay))

    def _place(self, replay: Replay) -> None:
        hot = replay.pattern.hot_at(replay.elapsed_s())
        share = 1 - (hot.share if hot else 0.0)
        scale = share / sum(replay.weights)
        loads = {
            key: weight * scale
            for key, weight in zip(replay.keys, replay.weights, strict=True)
        }
        if hot is not None:
            for key in range(hot.first, hot.first + hot.keys):
                loads[key] = loads.get(key, 0.0) + hot.share / hot.keys
        heap = [(0.0, -s.speed, n) for n, s in enumerate(replay.servers)]
        heapq.heapify(heap)
        for key, load in sorted(loads.items(), key=lambda item: -item[1]):
            used, slowness, number = heap[0]
            heapq.heapreplace(heap, (used - load / slowness, slowness, number))
            self._owners[key] = number

    def owner(self, shard: int) -> int | None:
        """Return the server of a shard."""
        return self._owners[shard]

    def note_ended(self, server: int) -> None:
        """Do nothing: moves don't wait for running work."""

    def report(self, observed: LoadAccumulator) -> None:
        """Discard the report."""
        observed.collect()


class _Holders:
    def unreachable(self) -> frozenset[Holder]:
        return frozenset()

    def ended(self) -> frozenset[Holder]:
        return frozenset()

    def remaining_grants(self) -> Mapping[str, float]:
        return {}

    def earlier_grants_expired(self) -> bool:
        return False


class _Leadership:
    term = Term(lease_id=1, revision=1)
    lease_renewed_s = confirmed_s = 0.0
    newest_revision = 0
    value = b""

    def holds_lease(self) -> bool:
        return True

    def note_confirmed(self, term: Term, sent_s: float) -> None:
        pass


class _Store:
    def __init__(self) -> None:
        self._revision = 1

    async def items(self, prefix: str) -> Page:
        return Page(items=(), revision=self._revision)

    async def change(self, change: Change) -> int:
        self._revision += 1
        return self._revision

    async def item(self, key: str) -> Item | None:
        return None


@dataclass(kw_only=True, slots=True, eq=False)
class _Move:
    span: Span
    former: int
    is_released: bool = False


class PlannedPlacement:
    """The real planner and demand, with a model of the orders to servers."""

    def __init__(self) -> None:
        self.holders = _Holders()
        self._table = KeyTable(service=SERVICE)
        self._moves: dict[SpanKey, _Move] = {}
        self._finished: set[SpanKey] = set()
        self._numbers: dict[str, int] = {}

    def start(self, replay: Replay) -> None:
        """Begin to lead, with all servers as candidates."""
        self._replay = replay
        self._numbers = {s.backend.id: n for n, s in enumerate(replay.servers)}
        self.planner = Planner(
            store=cast("Any", _Store()),
            leadership=cast("Any", _Leadership()),
            leader_key="leader",
            table_prefix=PREFIX,
            grant_manager=cast("Any", self),
            shards=SHARDS,
            now_s=lambda: replay.now_s,
        )
        self.planner.set_services({SERVICE: 0.0})
        self.planner.set_candidates(
            SERVICE,
            [
                Candidate(
                    holder=Holder(
                        server_id=server.backend.id,
                        born_ms=1,
                        address=server.backend.address,
                    ),
                    capacity=float(server.slots),
                )
                for server in replay.servers
            ],
        )
        # The servers were listed long ago.
        replay.now_s += 5.0
        replay.begun_s = replay.now_s
        self._tick()

    def _tick(self) -> None:
        self._replay.call_later(TICK_S, self._tick)
        self.planner.tick()

    def report(self, observed: LoadAccumulator) -> None:
        """Add a host's report to the demand."""
        requests, loads, _ = observed.collect()
        demand = self.planner.demand(SERVICE)
        assert demand is not None
        demand.note_requests(requests.get(SERVICE, {}))
        for server_id, load in loads.get(SERVICE, {}).items():
            demand.note_load(
                server_id,
                ObservedLoad(
                    running=load.running,
                    waiting=load.waiting,
                    answers=load.answers,
                    executed=load.executed,
                    unqueued=load.unqueued,
                    unqueued_s=load.unqueued_s,
                    unanswered=load.unanswered,
                ),
            )

    def owner(self, shard: int) -> int | None:
        """Return the server of a shard, None from its release until its grant."""
        span = self._table.span_of(shard)
        if span is None:
            return None
        move = self._moves.get(key_of(SERVICE, span))
        if move is None:
            return self._numbers[span.holder.server_id]
        return None if move.is_released else move.former

    # Stands in for the grant manager.

    def take_over(
        self,
        store_contact_s: float,
        *,
        leading_since_s: float,
        held_s: float | None,
        lease_id: int,
    ) -> None:
        """Nothing was granted before."""

    def note_store_answer(self, answered_s: float) -> None:
        pass

    def note_store_contact(self, store_contact_s: float) -> None:
        """Do nothing: the store is always reachable."""

    def finished_moves(self, service: str) -> Sequence[SpanKey]:
        """Return the spans whose move has finished."""
        return list(self._finished)

    def follow(self, table: KeyTable) -> None:
        """Begin the moves of a table that has just been stored."""
        replay = self._replay
        known = {key_of(SERVICE, span) for span in self._table.spans}
        spans = {key_of(SERVICE, span): span for span in table.spans}
        self._table = table
        self._finished &= spans.keys()
        for key in [key for key in self._moves if key not in spans]:
            del self._moves[key]
        for key, span in spans.items():
            if key in known or not span.former_holders:
                continue
            former = self._numbers[span.former_holders[0].server_id]
            move = self._moves[key] = _Move(span=span, former=former)
            if replay.is_measured():
                replay.outcome.spans_moved += 1
                replay.outcome.moved += span.shards / SHARDS
            delay_s = WRITE_S + ORDER_S
            replay.call_later(delay_s, partial(self._release, key, move))
        replay.outcome.spans = len(table.spans)

    def _release(self, key: SpanKey, move: _Move) -> None:
        if self._moves.get(key) is not move:
            return
        move.is_released = True
        self._replay.release(move.former, move.span.first, move.span.last)
        self._check(key, move)

    def note_ended(self, server: int) -> None:
        """Grant the spans whose former holder has no running work for them left."""
        for key, move in list(self._moves.items()):
            if move.former == server and move.is_released:
                self._check(key, move)

    def _check(self, key: SpanKey, move: _Move) -> None:
        span = move.span
        if not self._replay.is_running(move.former, span.first, span.last):
            # The grant is sent at the next tick, and the notice after its answer.
            delay_s = TICK_S / 2 + 3 * ORDER_S
            self._replay.call_later(delay_s, lambda: self._grant(key, move))

    def _grant(self, key: SpanKey, move: _Move) -> None:
        if self._moves.get(key) is not move:
            return
        del self._moves[key]
        self._finished.add(key)
        self._replay.wake(move.span.first, move.span.last)


def replayed(
    pattern: str,
    *,
    fleet: Fleet,
    seed: int,
    placement: Placement | None = None,
    duration_s: float = 32.0,
) -> Outcome:
    """Return what callers get under a pattern, with the real planner by default."""
    return Replay(
        fleet=fleet,
        pattern=PATTERNS[pattern],
        placement=placement or PlannedPlacement(),
        seed=seed,
    ).run(duration_s)
