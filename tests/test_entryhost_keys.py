"""Lookup of a key's holder while the key moves."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.entryhost._keys import MAX_WAIT_S, MOVE_WAIT_S, KeyHolders
from gentianwharf.keyspace import KeyTable
from gentianwharf.relay import Owner, Problem, Ticket
from gentianwharf.topology import BackendServer
from tests.builders_keyspace import SERVICE, holder, span, table


def server(name: str) -> BackendServer:
    return BackendServer(
        id=name,
        service=SERVICE,
        domain="a",
        address="10.0.0.1:80",
        slots=3,
        connections=9,
    )


def ticket(shard: int = 5) -> Ticket:
    return Ticket(
        request_id="1",
        service=SERVICE,
        request_class="safe",
        caller="c",
        key=str(shard),
        shard=shard,
        deadline_s=100.0,
        repeatable=True,
    )


def make_keys(
    clock: Clock, current: KeyTable, *, listed: tuple[str, ...] = ("s1", "s2")
) -> KeyHolders:
    names = {name: server(name) for name in listed}
    keys = KeyHolders(server_by_id=names.get, reactor=clock)
    keys.set_table(current)
    return keys


def request_owner(keys: KeyHolders) -> "Deferred[Owner]":
    return Deferred.fromCoroutine(keys.owner(ticket()))


def result(pending: "Deferred[Owner]") -> Owner | None:
    owners: list[Owner] = []

    def keep(owner: Owner) -> Owner:
        owners.append(owner)
        return owner

    pending.addCallback(keep)
    return owners[0] if owners else None


def test_holder_is_found_at_once() -> None:
    owner = result(request_owner(make_keys(Clock(), table(span(0, 9, 1)))))
    assert owner is not None
    assert (owner.server.id, owner.token) == ("s1", 1)


def test_request_waits_for_the_notice_of_a_finished_move() -> None:
    """Guards against requests to a new holder that has no grant yet."""
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 1)))
    keys.receives_updates = lambda: True
    keys.set_table(table(span(0, 9, 2, token=2, former_holders=(1,))))
    pending = request_owner(keys)
    clock.advance(MOVE_WAIT_S / 2)
    assert result(pending) is None
    keys.note_granted(SERVICE, 0, 2)
    owner = result(pending)
    assert owner is not None
    assert owner.server.id == "s2"


def test_request_does_not_wait_for_a_slow_move() -> None:
    """Guards against callers that are held until they give up.

    The former holder is lost, and no server may run the key until its grant has
    expired. Callers that are refused at once retry in time.
    """
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 2, token=2, former_holders=(1,))))
    keys.receives_updates = lambda: True
    clock.advance(MOVE_WAIT_S + 0.5)
    keys.report_not_owner(
        ticket(), Owner(server=server("s2"), shard=5, token=2, deadline_s=9)
    )
    pending = request_owner(keys)
    refused = []
    pending.addErrback(lambda failure: refused.append(failure.value))
    assert isinstance(refused[0], Problem)
    assert refused[0].status == 503


def test_host_without_updates_tries_the_new_holder() -> None:
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 2, token=2, former_holders=(1,))))
    pending = request_owner(keys)
    clock.advance(MOVE_WAIT_S + 0.01)
    owner = result(pending)
    assert owner is not None
    assert owner.server.id == "s2"


def test_wait_for_an_unlisted_holder_is_limited() -> None:
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 1)), listed=("s2",))
    pending = request_owner(keys)
    failures = []
    pending.addErrback(lambda failure: failures.append(failure.check(Problem)))
    clock.advance(MAX_WAIT_S + 0.01)
    assert failures == [Problem]


def test_waiting_request_continues_with_a_new_table() -> None:
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 1)), listed=("s2",))
    pending = request_owner(keys)
    keys.set_table(table(span(0, 9, 2, token=2)))
    owner = result(pending)
    assert owner is not None
    assert owner.server.id == "s2"


@pytest.mark.parametrize("token", [1, 3])
def test_refusal_with_another_token_blocks_nothing(token: int) -> None:
    """Guards against a delayed refusal that blocks the current holder."""
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 2, token=2)))
    keys.report_not_owner(
        ticket(), Owner(server=server("s1"), shard=5, token=token, deadline_s=9)
    )
    assert result(request_owner(keys)) is not None
    assert holder(2).server_id == "s2"
