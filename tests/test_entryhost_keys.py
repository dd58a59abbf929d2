"""Who is asked for a key while it moves, and who is told to come back."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.entryhost._keys import MOST_WAIT_S, MOVING_S, KeyHolders
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
    keys = KeyHolders(server_of=names.get, reactor=clock)
    keys.take(current)
    return keys


def ask(keys: KeyHolders) -> "Deferred[Owner]":
    return Deferred.fromCoroutine(keys.owner(ticket()))


def result(asked: "Deferred[Owner]") -> Owner | None:
    found: list[Owner] = []

    def keep(owner: Owner) -> Owner:
        found.append(owner)
        return owner

    asked.addCallback(keep)
    return found[0] if found else None


def test_holder_is_found_at_once() -> None:
    found = result(ask(make_keys(Clock(), table(span(0, 9, 1)))))
    assert found is not None
    assert (found.server.id, found.token) == ("s1", 1)


def test_request_waits_for_the_leader_s_word_that_a_move_is_done() -> None:
    """A family's request is refused by the new holder, which has no grant yet."""
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 1)))
    keys.hears_leader = lambda: True
    keys.take(table(span(0, 9, 2, token=2, former_holders=(1,))))
    asked = ask(keys)
    clock.advance(MOVING_S / 2)
    assert result(asked) is None
    keys.open(SERVICE, 0, 2)
    found = result(asked)
    assert found is not None
    assert found.server.id == "s2"


def test_move_that_takes_long_is_not_waited_for() -> None:
    """The former holder is lost: until its grant has run out nobody may run a thing.

    Callers that are held meanwhile leave; told at once, they come back in time.
    """
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 2, token=2, former_holders=(1,))))
    keys.hears_leader = lambda: True
    clock.advance(MOVING_S + 0.5)
    keys.report_not_owner(
        ticket(), Owner(server=server("s2"), shard=5, token=2, deadline_s=9)
    )
    asked = ask(keys)
    refused = []
    asked.addErrback(lambda failure: refused.append(failure.value))
    assert isinstance(refused[0], Problem)
    assert refused[0].status == 503


def test_host_that_hears_no_leader_asks_the_holder_itself() -> None:
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 2, token=2, former_holders=(1,))))
    asked = ask(keys)
    clock.advance(MOVING_S + 0.01)
    found = result(asked)
    assert found is not None
    assert found.server.id == "s2"


def test_holder_that_is_not_listed_is_waited_for_a_bounded_time() -> None:
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 1)), listed=("s2",))
    asked = ask(keys)
    failures = []
    asked.addErrback(lambda failure: failures.append(failure.check(Problem)))
    clock.advance(MOST_WAIT_S + 0.01)
    assert failures == [Problem]


def test_request_goes_on_when_the_table_names_another_holder() -> None:
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 1)), listed=("s2",))
    asked = ask(keys)
    keys.take(table(span(0, 9, 2, token=2)))
    found = result(asked)
    assert found is not None
    assert found.server.id == "s2"


@pytest.mark.parametrize("token", [1, 3])
def test_refusal_under_another_token_closes_nothing(token: int) -> None:
    """An old refusal comes late and keeps callers from the holder of today."""
    clock = Clock()
    keys = make_keys(clock, table(span(0, 9, 2, token=2)))
    keys.report_not_owner(
        ticket(), Owner(server=server("s1"), shard=5, token=token, deadline_s=9)
    )
    assert result(ask(keys)) is not None
    assert holder(2).server_id == "s2"
