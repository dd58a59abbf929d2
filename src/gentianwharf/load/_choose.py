"""Server selection for requests that any server of a service can run.

Load pattern: ten to twelve hosts send to the same few servers, and no host sees the
requests that the others have in flight. Round robin ignores slow servers and long jobs;
always choosing the apparently best server makes all hosts choose the same one.

The server with the least expected delay is chosen, by this daemon's own counts and
timings. Ties are resolved in favour of the own failure domain, then at random.

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
>>> near.overdue = 1  # One of its answers is overdue.
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

# Comparing all servers of a large service would cost too much. Starting at a random one
# also keeps all hosts from choosing the same of several nearly equal servers.
MAX_COMPARED = 16
# The round trip to another failure domain adds 1 ms to answers of about 10 ms; this is
# weighted like half a request in flight.
OTHER_DOMAIN_COST = 0.5
# The cost of a local server with no request of this daemon in flight; no cost is lower.
MIN_COST = 1.0
# A server with an overdue answer is running a long job or hangs. Its other slots are
# used once the other servers have requests of this daemon in flight too.
OVERDUE_COST = 2.0
# A cold server is chosen after other idle servers, but before a server that already has
# a request in flight. Dividing the cost by the ramp-up share instead left cold servers
# idle while the others refused 10 % of the requests.
COLD_COST = 0.9
# Added for each request in the server's reported queue: a new request is run after it.
QUEUE_COST = 0.5


def cost_of(state: ServerState, now_s: float) -> float:
    """Return the expected delay, in units of one typical answer time."""
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
    """Return the server with the least cost that has capacity, or None.

    ``avoid`` is the id of a server that has just failed this request.
    """
    total = len(states)
    if not total:
        return None
    first = int(rng.random() * total)
    best: ServerState | None = None
    best_cost = 0.0
    for offset in range(min(total, MAX_COMPARED)):
        state = states[(first + offset) % total]
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
    """Return the server to send a request to now, or None if it has to wait."""
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
    if state.notices.accepted_in_s(now_s):
        return None
    return state if len(state.flights) < state.max_connections else None
