"""Tests that reported queue lengths of servers take effect at once."""

from random import Random

from gentianwharf.load import Gate, Outcome, OutcomeKind, RequestClass, Start, Ticket
from gentianwharf.topology import BackendServer, Service

SLOTS = 3
LOOK_UP = RequestClass(
    name="look-up", deadline_ms=1000, weight=4, max_wait_ms=150, hedged=True
)


def server(number: int) -> BackendServer:
    return BackendServer(
        id=f"s{number}",
        service="roster",
        domain="hall-a",
        address="127.0.0.1:1",
        slots=SLOTS,
        connections=120,
    )


def ticket(number: int, *, owner: str | None) -> Ticket:
    return Ticket(
        id=str(number),
        service="roster",
        request_class="look-up",
        caller=str(number),
        deadline_s=100.0,
        key="7" if owner else None,
        shard=7 if owner else None,
        repeatable=True,
        server=owner,
    )


def make_gate(*, keyed: bool, servers: int = 1) -> Gate:
    gate = Gate(
        services=[Service(name="roster", keyed=keyed, shards=0)],
        classes=[LOOK_UP],
        domain="hall-a",
        rng=Random(1),
        daemons=10,
    )
    gate.set_servers("roster", [server(n) for n in range(servers)], 0.0)
    return gate


def count_started(gate: Gate, submitted: int) -> int:
    decisions = [gate.submit(ticket(n, owner="s0"), 10.0) for n in range(submitted)]
    return sum(isinstance(decision, Start) for decision in decisions)


def test_owner_that_reports_a_long_queue_gets_fewer_requests_per_host() -> None:
    """Guards against filling the owner of a hot key until it resets connections.

    Ten hosts sent six requests each to an owner with three slots and a queue of twelve.
    A request that was reset may have run, so it must not be sent again.
    """
    before = count_started(make_gate(keyed=True), 20)
    gate = make_gate(keyed=True)
    # A first request, so that the gate creates the owner's pool.
    gate.submit(ticket(99, owner="s0"), 5.0)
    gate.finished("99", Outcome(kind=OutcomeKind.OK, elapsed_s=0.1), 5.1)
    for _ in range(12):
        gate.note_load("s0", waiting=10, slots=SLOTS, now_s=5.2)
    after = count_started(gate, 20)
    assert after <= 2
    assert after <= before


def test_server_without_a_queue_is_preferred_to_one_with_a_queue() -> None:
    gate = make_gate(keyed=False, servers=2)
    for number in range(2):
        gate.note_load(f"s{number}", waiting=0, slots=SLOTS, now_s=10.0)
    gate.note_load("s0", waiting=8, slots=SLOTS, now_s=10.0)
    chosen = [gate.submit(ticket(n, owner=None), 10.0) for n in range(2)]
    assert [item.server for item in chosen if isinstance(item, Start)] == ["s1", "s1"]


def test_reported_queue_length_expires() -> None:
    gate = make_gate(keyed=False, servers=2)
    gate.note_load("s0", waiting=8, slots=SLOTS, now_s=10.0)
    chosen = [gate.submit(ticket(n, owner=None), 11.0) for n in range(2)]
    servers = {item.server for item in chosen if isinstance(item, Start)}
    assert servers == {"s0", "s1"}


def test_server_that_resets_connections_gets_no_requests_for_a_moment() -> None:
    """Guards against an unknown outcome of requests that must not repeat.

    The server resets connections when its queue is full. An upload that the router
    refuses can be sent again; one that the server resets cannot.
    """
    gate = make_gate(keyed=True)
    gate.submit(ticket(99, owner="s0"), 5.0)
    gate.finished("99", Outcome(kind=OutcomeKind.TIMEOUT, elapsed_s=0.003), 5.003)
    assert not isinstance(gate.submit(ticket(1, owner="s0"), 5.01), Start)
    assert isinstance(gate.submit(ticket(2, owner="s0"), 5.2), Start)


def test_server_that_is_unlisted_and_listed_again_keeps_its_counts() -> None:
    """Guards against internal errors for all requests of some keys until a restart.

    Their server was missing from the list for a moment, as after an outage of the
    store, and had no requests in flight. Listed again, it got a new state, while its
    requests were still counted in the old one.
    """
    gate = make_gate(keyed=True)
    gate.submit(ticket(1, owner="s0"), 1.0)
    gate.finished("1", Outcome(kind=OutcomeKind.OK, elapsed_s=0.1), 1.1)
    gate.set_servers("roster", [], 1.2)
    gate.set_servers("roster", [server(0)], 1.21)
    assert isinstance(gate.submit(ticket(2, owner="s0"), 1.3), Start)
    assert [row.in_flight for row in gate.snapshot().servers] == [1]
    gate.finished("2", Outcome(kind=OutcomeKind.OK, elapsed_s=0.1), 1.4)
    assert [row.in_flight for row in gate.snapshot().servers] == [0]
