"""What outcomes say about servers, and what follows from it.

Load pattern: a server becomes ten times slower, fails, sheds or falls silent among
others that are well. Without judging it by its answers, and by those that it owes, it
keeps its share of the requests: p99 894 ms with round robin, 116 ms here.

>>> from random import Random
>>> from gentianwharf.load import Gate, RequestClass, Start
>>> from gentianwharf.topology import BackendServer, Service
>>> servers = tuple(
...     BackendServer(id=f"ledger-{number}", service="ledger", domain="hall-a",
...                   address="127.0.0.1:9200", slots=6, connections=120)
...     for number in (1, 2))
>>> gate = Gate(
...     services=[Service(name="ledger", keyed=False, shards=0, servers=servers)],
...     classes=[
...         RequestClass.from_deadline(name="look-up", deadline_ms=2000, weight=8)],
...     domain="hall-a", rng=Random(1), daemons=1)
>>> def serve(now_s, slow_s):
...     took_s = {"ledger-1": slow_s, "ledger-2": 0.02}
...     asked = [Ticket(id=str(n), service="ledger", request_class="look-up",
...                     caller=str(n), deadline_s=now_s + 2.0) for n in range(12)]
...     sent = [gate.submit(one, now_s) for one in asked]
...     for one in (one for one in sent if isinstance(one, Start)):
...         ended = Outcome(kind=OutcomeKind.OK, elapsed_s=took_s[one.server])
...         gate.finished(one.ticket_id, ended, now_s + ended.elapsed_s)
>>> serve(now_s=0.0, slow_s=0.02)
>>> serve(now_s=1.0, slow_s=0.2)
>>> [one.health.value for one in gate.snapshot().servers]
['suspect', 'active']
"""

from collections.abc import Callable, Iterable

from ._class_state import ClassState
from ._limit import LONG_QUEUE_RATIO
from ._pool import Pool
from ._requests import Outcome, OutcomeKind, Ticket
from ._server_state import (
    FROZEN_S,
    MAX_RATIO,
    MIN_OVERDUE_S,
    OVERDUE_RATIO,
    Flight,
    HealthStatus,
    ServerState,
)

# What a server that sheds without naming a time is given.
DEFAULT_SHED_S = 0.05
# An answer that is lost sooner was most likely no answer: work takes longer.
RESET_S = 0.02
# Some requests end at a full server within this time.
RESET_SHED_S = 0.1

PoolOf = Callable[[Ticket], Pool]


def record_outcome(
    pool: Pool,
    class_state: ClassState,
    state: ServerState,
    flight: Flight,
    outcome: Outcome,
    now_s: float,
) -> None:
    """Learn from the end of a request.

    Long classes teach nothing about their server: an upload takes as long as its
    caller sends.
    """
    kind = outcome.kind
    if flight.paused and kind is not OutcomeKind.SHED:
        state.last_answer_s = now_s
        return
    if kind is OutcomeKind.SHED:
        pool.limit.record_shed()
        state.record_shed(now_s, outcome.retry_after_s or DEFAULT_SHED_S)
    elif kind is OutcomeKind.TIMEOUT and outcome.elapsed_s < RESET_S:
        # Some servers reset connections when they are full. What they reset may have
        # run: a request that must not repeat is better refused here for a moment.
        pool.limit.record_shed()
        state.record_shed(now_s, RESET_SHED_S)
    elif kind in (OutcomeKind.CONNECT_FAILED, OutcomeKind.TIMEOUT):
        if kind is OutcomeKind.TIMEOUT:
            _record_timeout(pool, flight, outcome.elapsed_s)
        _evaluate(pool, state, flight, MAX_RATIO, now_s)
    elif kind in (OutcomeKind.OK, OutcomeKind.SLOW):
        state.last_answer_s = now_s
        if pool.pinned and state.health is HealthStatus.SUSPECT:
            # Its keys can be served nowhere else, so slow is better than not at all.
            state.reactivate(now_s)
        ratio = class_state.record_answer(outcome.elapsed_s)
        if not flight.long:
            has_queue = (
                state.estimated_queue(now_s) > state.server.slots * LONG_QUEUE_RATIO
            )
            pool.pacer.record_answer(elapsed_s=outcome.elapsed_s, has_queue=has_queue)
            state.short_answers.record(ratio, flight.started_s, now_s)
            has_backlog = pool.waiting > 0
            pool.limit.record_answer(
                elapsed_s=outcome.elapsed_s, has_backlog=has_backlog
            )
            _evaluate(pool, state, flight, ratio, now_s)


def evaluate_servers(
    states: Iterable[ServerState], pool_of: PoolOf, paused_s: float, now_s: float
) -> None:
    """Judge every server at a tick, after a pause of ``paused_s`` of this host."""
    for state in states:
        state.decay_ratio(now_s)
        if not state.flights:
            continue
        if paused_s:
            _discount_pause(state, paused_s)
        _evaluate_overdue(state, pool_of, now_s)


def _discount_pause(state: ServerState, paused_s: float) -> None:
    """Leave the time in which this host stood still out of what its servers owe.

    A host that was paused finds every answer overdue at once, while they wait unread
    in its sockets. Judged by that, all its servers seem frozen, and it refuses
    everything although all of them are well.
    """
    for flight in state.flights.values():
        flight.started_s += paused_s
        flight.paused = True


def _evaluate_overdue(state: ServerState, pool_of: PoolOf, now_s: float) -> None:
    """Count answers that are owed for too long before they come.

    A frozen server gives no answers that could be judged: its callers would wait for
    their deadline before anybody noticed.
    """
    for flight in list(state.flights.values()):
        if flight.long:
            continue
        pool = pool_of(flight.ticket)
        if flight.overdue and _is_frozen(state, flight, now_s):
            _suspect(pool, state, now_s)
        if flight.evaluated:
            continue
        class_state = pool.classes[flight.ticket.request_class]
        overdue_s = max(MIN_OVERDUE_S, OVERDUE_RATIO * class_state.median_s)
        if not class_state.median_s or now_s - flight.started_s <= overdue_s:
            continue
        state.overdue += 1
        flight.overdue = True
        # It may never come back and must not hold the limit until then.
        pool.record_end(class_state, flight)
        _evaluate(pool, state, flight, MAX_RATIO, now_s)


def _record_timeout(pool: Pool, flight: Flight, waited_s: float) -> None:
    """Let the owner of keys have less; elsewhere others take the work."""
    if pool.pinned and not flight.long:
        pool.pacer.record_timeout(waited_s)


def _is_frozen(state: ServerState, flight: Flight, now_s: float) -> bool:
    """Whether a server stopped answering; also for the owner of keys.

    Requests sent to it would be lost or, if they may not repeat, of unknown outcome;
    refused at once as not run, their callers can come back when the owner does or
    the keys have moved.
    """
    if state.health is not HealthStatus.ACTIVE or not state.is_silent_since(flight):
        return False
    return now_s - flight.started_s > FROZEN_S


def _evaluate(
    pool: Pool, state: ServerState, flight: Flight, ratio: float, now_s: float
) -> None:
    if flight.evaluated:
        return
    flight.evaluated = True
    state.record_latency_ratio(ratio, now_s, probe=flight.probe)
    # A pinned pool has one server: refusing everything is worse than slow answers.
    if pool.pinned or not state.is_too_slow():
        return
    if state.is_silent() or pool.may_suspect_slow():
        _suspect(pool, state, now_s)


def _suspect(pool: Pool, state: ServerState, now_s: float) -> None:
    state.suspect(now_s)
    pool.update_suspects()
    # What it owes must not hold the pool's limit while others are free.
    for flight in state.flights.values():
        if (flight.ticket.server is None) is not pool.pinned:
            pool.record_end(pool.classes[flight.ticket.request_class], flight)
