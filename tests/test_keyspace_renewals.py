"""How the leader renews many spans of few servers."""

from twisted.internet.task import Clock

from gentianwharf.keyspace import GrantManager, KeyTable, Span
from tests.builders_keyspace import SERVICE, TIMING, run_manager
from tests.builders_lives import Addresses, Way

SPANS = 12
ANSWER_S = 0.006


def test_grants_of_one_server_are_given_in_turn() -> None:
    """Servers run out of connections for requests, and spend their time on handshakes.

    A dozen spans of each server are renewed every half second, side by side: each takes
    a connection, of which all but one are dropped when they are answered.
    """
    clock = Clock()
    addresses = Addresses(clock)
    servers = [addresses.start(f"s{n}", f"10.0.0.{n}:80") for n in range(3)]
    for address in addresses.living.values():
        address.answer_s = ANSWER_S
    manager = GrantManager(orders=Way(addresses), timing=TIMING, now_s=clock.seconds)
    manager.take_over(clock.seconds())
    spans = tuple(
        Span(first=n, last=n, holder=servers[n % 3], token=1) for n in range(3 * SPANS)
    )
    manager.follow(KeyTable(service=SERVICE, highest_token=1, spans=spans))
    run_manager(manager, clock, 0.05)
    for _ in range(round(SPANS * ANSWER_S / 0.001) + 1):
        clock.advance(0.001)
    assert all(addresses.holders(n) for n in range(3 * SPANS)), "each waits for no tick"
    for _ in range(100):
        run_manager(manager, clock, 0.05)
        assert all(addresses.holders(n) for n in range(3 * SPANS))
    assert {one.most_granting for one in addresses.living.values()} == {1}


def test_grant_that_is_left_unanswered_does_not_end_the_others() -> None:
    """One lost answer, and a server's other spans are served nowhere."""
    clock = Clock()
    addresses = Addresses(clock)
    server = addresses.start("s1", "10.0.0.1:80")
    manager = GrantManager(orders=Way(addresses), timing=TIMING, now_s=clock.seconds)
    manager.take_over(clock.seconds())
    spans = tuple(Span(first=n, last=n, holder=server, token=1) for n in range(SPANS))
    manager.follow(KeyTable(service=SERVICE, highest_token=1, spans=spans))
    run_manager(manager, clock, 1.0)
    addresses.living[server.address].is_silent = True
    run_manager(manager, clock, 0.6)
    addresses.living[server.address].is_silent = False
    for _ in range(100):
        run_manager(manager, clock, 0.05)
        assert all(addresses.holders(n) for n in range(SPANS))
