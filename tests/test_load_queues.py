"""What servers say of their queues is followed at once."""

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


def in_flight(gate: Gate, asked: int) -> int:
    sent = [gate.submit(ticket(n, owner="s0"), 10.0) for n in range(asked)]
    return sum(isinstance(one, Start) for one in sent)


def test_owner_that_says_that_its_queue_is_long_gets_less_from_each_host() -> None:
    """A big club's roster is asked for by everybody, and its server resets connections.

    Ten hosts send it six requests each while it has three slots and room for twelve
    more. What it resets may have run, so nobody may send it again.
    """
    before = in_flight(make_gate(keyed=True), 20)
    gate = make_gate(keyed=True)
    # One request, so that the gate knows the owner.
    gate.submit(ticket(99, owner="s0"), 5.0)
    gate.finished("99", Outcome(kind=OutcomeKind.OK, elapsed_s=0.1), 5.1)
    for _ in range(12):
        gate.note_load("s0", waiting=10, slots=SLOTS, now_s=5.2)
    after = in_flight(gate, 20)
    assert after <= 2
    assert after <= before


def test_server_with_a_queue_is_passed_over_for_one_without() -> None:
    gate = make_gate(keyed=False, servers=2)
    for number in range(2):
        gate.note_load(f"s{number}", waiting=0, slots=SLOTS, now_s=10.0)
    gate.note_load("s0", waiting=8, slots=SLOTS, now_s=10.0)
    chosen = [gate.submit(ticket(n, owner=None), 10.0) for n in range(2)]
    assert [one.server for one in chosen if isinstance(one, Start)] == ["s1", "s1"]


def test_word_of_a_queue_is_forgotten() -> None:
    gate = make_gate(keyed=False, servers=2)
    gate.note_load("s0", waiting=8, slots=SLOTS, now_s=10.0)
    chosen = [gate.submit(ticket(n, owner=None), 11.0) for n in range(2)]
    servers = {one.server for one in chosen if isinstance(one, Start)}
    assert servers == {"s0", "s1"}


def test_server_that_resets_at_once_gets_nothing_that_must_not_repeat() -> None:
    """An editor's issue is sent to a server that is full, and nobody knows its fate.

    The server resets connections when its queue is full. Refused by the router the
    upload can be sent again, reset by the server it can't.
    """
    gate = make_gate(keyed=True)
    gate.submit(ticket(99, owner="s0"), 5.0)
    gate.finished("99", Outcome(kind=OutcomeKind.TIMEOUT, elapsed_s=0.003), 5.003)
    assert not isinstance(gate.submit(ticket(1, owner="s0"), 5.01), Start)
    assert isinstance(gate.submit(ticket(2, owner="s0"), 5.2), Start)


def test_server_that_leaves_the_list_and_returns_is_one_server() -> None:
    """Every request for some keys gets a fault of the router, until it restarts.

    Their server was gone from the list for a moment, as after an outage of the store,
    and had nothing in flight. Back on the list it was another row than the one that
    its requests were still counted in.
    """
    gate = make_gate(keyed=True)
    gate.submit(ticket(1, owner="s0"), 1.0)
    gate.finished("1", Outcome(kind=OutcomeKind.OK, elapsed_s=0.1), 1.1)
    gate.set_servers("roster", [], 1.2)
    gate.set_servers("roster", [server(0)], 1.21)
    assert isinstance(gate.submit(ticket(2, owner="s0"), 1.3), Start)
    assert [one.in_flight for one in gate.snapshot().servers] == [1]
    gate.finished("2", Outcome(kind=OutcomeKind.OK, elapsed_s=0.1), 1.4)
    assert [one.in_flight for one in gate.snapshot().servers] == [0]
