"""Admission rules for the owner of a key, the only server that can run a request.

Load pattern: uploads and archive reads of seconds at owners that also answer look-ups.
Twelve hosts that do not coordinate send one long job each. Six of those fill the owner,
and every look-up there waits for one of them to end. Without these rules the bench's
look-ups beside long jobs had a p99 of 714 ms, and a refusal took up to 700 ms: the
request waited at the host, was sent, was shed by the owner, waited again and was
refused.

There are three rules, each based on this host's own observations:

- A long job starts right after quick answers to short requests, which show that the
  owner has free slots. Hosts get such answers at different moments, so they do not
  start long jobs together.
- No request is queued for an owner that has left a short request unanswered for longer
  than the class may wait, or that has just shed: the time to wait is unknown.
- A request that an owner shed was not run, and is refused, since no other server can
  run it.

>>> from random import Random
>>> from gentianwharf.load import RequestClass
>>> from gentianwharf.topology import BackendServer
>>> look_up = RequestClass.from_deadline(name="look-up", deadline_ms=2000, weight=8)
>>> server = BackendServer(id="ledger-1", service="ledger", domain="hall-a",
...                        address="127.0.0.1:9200", slots=3, connections=120)
>>> owner = ServerState(server=server, local=True, max_connections=10)
>>> pool = Pool(service="ledger", states=[owner], classes={"look-up": look_up},
...             daemons=12, rng=Random(1), pinned=True)
>>> may_start_long(pool, owner, 1.0)  # There are no short requests.
True
>>> owner.short_answers.record(ratio=5.0, sent_s=0.9, now_s=1.0)
>>> may_start_long(pool, owner, 1.0), may_queue(pool, pool.classes["look-up"], 1.0)
(False, True)
>>> owner.record_shed(1.0, wait_s=0.05)
>>> may_queue(pool, pool.classes["look-up"], 1.0)
False
"""

from ._class_state import ClassState
from ._pool import Pool
from ._server_state import Flight, ServerState
from ._short_answers import QUICK_RATIO


def may_start_long(pool: Pool, state: ServerState, now_s: float) -> bool:
    """Whether short answers show that the owner has a free slot for a long job."""
    if state.overdue or not state.short_answers.allow_long_job(now_s):
        return False
    flight = _oldest_short(state)
    return flight is None or not _is_slow(pool, flight, now_s)


def may_queue(pool: Pool, class_state: ClassState, now_s: float) -> bool:
    """Whether the owner can be expected to be free within the class's maximum wait."""
    if class_state.request_class.long:
        return True
    state = pool.states[0]
    if now_s < state.shed_until_s:
        return False
    if pool.pacer.remaining_s(now_s) > class_state.max_wait_s:
        return False
    flight = _oldest_short(state)
    return flight is None or now_s - flight.started_s <= class_state.max_wait_s


def _oldest_short(state: ServerState) -> Flight | None:
    """Return the oldest short request that may be waiting inside the server.

    ``state.flights`` is in the order in which the requests were sent.
    """
    last_sent_s = state.short_answers.last_sent_s
    for flight in state.flights.values():
        if not flight.long and flight.started_s > last_sent_s:
            return flight
    return None


def _is_slow(pool: Pool, flight: Flight, now_s: float) -> bool:
    median_s = pool.classes[flight.ticket.request_class].median_s
    return bool(median_s) and now_s - flight.started_s > median_s * QUICK_RATIO
