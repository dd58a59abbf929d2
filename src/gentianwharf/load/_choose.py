"""Which server a request goes to when any of its service could run it.

Load pattern: ten to twelve hosts send to the same few servers and none sees what the
others have in flight. Sending in turn ignores slow servers and long jobs; always
sending to the one that looks best makes all hosts choose the same.

The least expected delay by this daemon's own counts and timings decides; ties go to
the own failure domain and then to a random one.

>>> from gentianwharf.topology import BackendServer
>>> near, far = (
...     ServerState(
...         server=BackendServer(id=f"ledger-{number}", service="ledger",
...                              domain="hall-a", address="127.0.0.1:9200", slots=3,
...                              connections=120),
...         local=number == 1, max_connections=10)
...     for number in (1, 2))
>>> choose_server([near, far], now_s=0.0, rng=Random(1)).server.id
'ledger-1'
>>> near.overdue = 1  # It owes an answer that is late.
>>> choose_server([near, far], now_s=0.0, rng=Random(1)).server.id
'ledger-2'
"""

from collections.abc import Sequence
from random import Random

from ._class_state import ClassState
from ._owner import may_start_long
from ._pool import Pool
from ._requests import Ticket
from ._server_state import USUAL_RATIO, ServerState

# A tie between nearly equal servers must not send all hosts to the same one, and in a
# large service a look at all servers would cost too much: this many are compared.
MAX_COMPARED = 16
# A server of another domain is 1 ms farther, of some 10 ms; half a request in flight.
OTHER_DOMAIN_COST = 0.5
# A near server with nothing of ours in flight: no other can be better.
MIN_COST = 1.0
# Whoever owes an answer for long is busy with a long job or stuck: its other slots
# are used when the other servers have some of our requests in flight too.
OVERDUE_COST = 2.0
# A cold server comes last among idle ones, but before a second request in flight
# elsewhere. Dividing by its share instead left it idle while the others refused 10 %.
COLD_COST = 0.9
# A request that others have waiting there: whatever is sent now is served after it.
QUEUE_COST = 0.5


def cost_of(state: ServerState, now_s: float) -> float:
    """Return the expected delay, in units of one usual answer."""
    load = len(state.flights) + 1.0 + state.overdue * OVERDUE_COST
    load += state.estimated_queue(now_s) * QUEUE_COST
    cost = load * max(1.0, state.latency_ratio / USUAL_RATIO)
    if state.ramp_started_s is not None:
        cost += (1.0 - state.ramp_share(now_s)) * COLD_COST
    return cost if state.local else cost + OTHER_DOMAIN_COST


def choose_server(
    states: Sequence[ServerState],
    *,
    now_s: float,
    rng: Random,
    avoid: str | None = None,
) -> ServerState | None:
    """Return the best server that has room, or None.

    ``avoid`` is a server that has just failed this request.
    """
    total = len(states)
    if not total:
        return None
    first = int(rng.random() * total)
    best: ServerState | None = None
    best_cost = 0.0
    for step in range(min(total, MAX_COMPARED)):
        state = states[(first + step) % total]
        if not state.has_capacity(now_s) or state.server.id == avoid:
            continue
        cost = cost_of(state, now_s)
        if cost <= MIN_COST:
            return state
        if best is None or cost < best_cost:
            best, best_cost = state, cost
    return best


def select_server(
    pool: Pool,
    class_state: ClassState,
    ticket: Ticket,
    *,
    now_s: float,
    rng: Random,
    avoid: str | None,
) -> ServerState | None:
    """Return where the pool sends a request now, or None while it must wait."""
    if pool.pinned:
        state = pool.states[0]
        if class_state.request_class.long and not may_start_long(pool, state, now_s):
            return None
        return _select_owner(state, ticket, now_s)
    if class_state.request_class.long:
        states = pool.long_states or pool.states
        return choose_server(states, now_s=now_s, rng=rng, avoid=avoid)
    for state in pool.suspects:
        if state.accepts_probe(now_s, repeatable=ticket.repeatable):
            return state
    return choose_server(pool.short_states, now_s=now_s, rng=rng, avoid=avoid)


def _select_owner(
    state: ServerState, ticket: Ticket, now_s: float
) -> ServerState | None:
    if state.accepts_probe(now_s, repeatable=ticket.repeatable):
        return state
    if not state.accepts_pinned(now_s) or now_s < state.shed_until_s:
        return None
    return state if len(state.flights) < state.max_connections else None
