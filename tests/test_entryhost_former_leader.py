"""A new leader requests the previous leader's remaining grants."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import msgspec
import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost import _previous_leader
from gentianwharf.entryhost._peer_messages import (
    HostIdentity,
    RemainingGrantsRequest,
    RemainingGrantsResponse,
)
from gentianwharf.entryhost._previous_leader import RemainingGrantsExchange
from gentianwharf.keyspace import (
    GrantManager,
    Holder,
    KeyTable,
    Leadership,
    PreviousLeader,
    Span,
)
from gentianwharf.keyspace._grant_manager import GRANT_TIMEOUT_S
from gentianwharf.keyspace._leadership import Term
from gentianwharf.keyspace._timing import CLOCK_DRIFT, MARGIN_S
from tests.builders_keyspace import SERVICE, TIMING, run_manager
from tests.builders_keyspace_hosts import SimpleStore
from tests.builders_lives import Addresses, OrderSender
from tests.builders_store import LinkNet

SHARD = 5
Look = Callable[[], None]


@dataclass
class Leader:
    """One host's grant manager and its exchange with other leaders."""

    identity: HostIdentity
    grant_manager: GrantManager
    leadership: Leadership
    exchange: RemainingGrantsExchange
    lease_id: int = 0

    def held_s(self) -> float:
        """Return for how long grants may be valid as far as this leader knows."""
        held_s = self.grant_manager.holders.held_s(self.lease_id)
        assert held_s is not None
        return held_s

    def stored_previous(self, *, is_settled: bool = True) -> PreviousLeader:
        """Return the information that this leader leaves in the store."""
        value = msgspec.json.encode(self.identity)
        return PreviousLeader(
            value=value,
            earlier_grants_expired=is_settled,
            held_s=None,
            lease_id=self.lease_id,
        )


class Network:
    """Hosts on simulated links, and two servers, the first of which fails."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock()
        self.clock.advance(100)
        self.net = LinkNet()
        self.net.most_bytes = 10_000
        monkeypatch.setattr(_previous_leader, "dial", self.net.dial)
        self.addresses = Addresses(self.clock)
        self.lost = self.addresses.start("a", "10.0.0.1:80")
        self.other = self.addresses.start("b", "10.0.0.2:80")

    def host(self, number: int, *, incarnation: int = 1) -> Leader:
        """Return a host that has just started."""
        clock = self.clock
        identity = HostIdentity(f"h{number}", f"10.1.0.{number}:90", incarnation)
        leadership = Leadership(
            store=SimpleStore(clock),
            key="leader",
            previous_leader_key="former",
            value=msgspec.json.encode(identity),
            now_s=clock.seconds,
            rng=Random(number),
        )
        grant_manager = GrantManager(
            orders=OrderSender(self.addresses), timing=TIMING, now_s=clock.seconds
        )
        exchange = RemainingGrantsExchange(
            identity=identity,
            grant_manager=grant_manager,
            leadership=leadership,
            timing=TIMING,
            reactor=clock,
        )
        leader = Leader(identity, grant_manager, leadership, exchange)

        def received(data: bytes) -> None:
            message: Any = msgspec.msgpack.decode(
                data, type=RemainingGrantsRequest | RemainingGrantsResponse
            )
            if isinstance(message, RemainingGrantsRequest):
                leader.exchange.handle_request(message)
            else:
                leader.exchange.handle_response(message)

        self.net.listeners[identity.address] = received
        return leader

    def lead(self, host: Leader, *, revision: int) -> None:
        """Make a host the leader; its table gives all shards to the lost server."""
        host.lease_id = revision
        host.leadership.term = Term(lease_id=host.lease_id, revision=revision)
        host.grant_manager.take_over(self.clock.seconds(), lease_id=host.lease_id)
        host.grant_manager.follow(self._table(self.lost, 1))

    def move(self, host: Leader) -> None:
        """Move the lost server's shards to the other server."""
        host.grant_manager.follow(self._table(self.other, 2, former=(self.lost,)))

    def served_after_s(self, host: Leader, *others: Leader) -> float:
        """Return the time until the other server holds the shards.

        Checks that two servers never hold them at once.
        """
        started_s = self.clock.seconds()
        while self.addresses.holders(SHARD) != [self.other]:
            assert self.clock.seconds() < started_s + 30
            host.grant_manager.note_store_contact(self.clock.seconds())
            for leader in (host, *others):
                leader.exchange.tick()
                leader.grant_manager.tick()
            self.clock.advance(0.05)
            assert len(self.addresses.holders(SHARD)) <= 1
        return self.clock.seconds() - started_s

    def _table(
        self, holder: Holder, token: int, *, former: tuple[Holder, ...] = ()
    ) -> KeyTable:
        span = Span(first=0, last=9, holder=holder, token=token, former_holders=former)
        return KeyTable(service=SERVICE, highest_token=token, spans=(span,))


@pytest.fixture
def network(monkeypatch: pytest.MonkeyPatch) -> Network:
    return Network(monkeypatch)


def previous_and_next_leader(network: Network) -> tuple[Leader, Leader]:
    """Return a leader that has lost the store, and the next leader."""
    previous, leader = network.host(1), network.host(2)
    network.lead(previous, revision=5)
    run_manager(previous.grant_manager, network.clock, 20.0)
    network.addresses.running[network.lost.address].is_silent = True
    return previous, leader


def test_response_of_the_previous_leader_shortens_the_wait(network: Network) -> None:
    """Guards against 15 s without an owner after each change of the leader.

    A server is lost together with the leader. The next leader does not have the time of
    the server's last grant; the previous one does, and still runs.
    """
    previous, leader = previous_and_next_leader(network)
    network.lead(leader, revision=9)
    leader.exchange.request_grants(previous.stored_previous())
    network.move(leader)
    # The new leader's own renewal may have reached the server until it timed out.
    longest_s = GRANT_TIMEOUT_S + TIMING.grant_s * CLOCK_DRIFT + MARGIN_S
    assert network.served_after_s(leader, previous) <= longest_s + TIMING.retry_every_s
    assert previous.leadership.term is None


def test_ended_process_makes_no_more_grants(network: Network) -> None:
    """Guards against waiting for a leader whose process has ended.

    All hosts are restarted. The previous process may have made grants of the maximum
    duration until its end, but none after it.
    """
    previous, leader = previous_and_next_leader(network)
    previous.grant_manager.stop()
    restarted = network.host(1, incarnation=2)
    network.clock.advance(4.0)
    network.lead(leader, revision=9)
    leader.exchange.request_grants(previous.stored_previous())
    network.move(leader)
    longest_s = TIMING.longest_grant_s * CLOCK_DRIFT + MARGIN_S - 4.0
    elapsed_s = network.served_after_s(leader, restarted)
    assert elapsed_s <= longest_s + TIMING.retry_every_s + 0.1


@pytest.mark.parametrize(
    "is_reached", [False, True], ids=["cut-off", "ended-before-it-was-settled"]
)
def test_without_a_response_the_longest_grant_is_waited_for(
    network: Network, is_reached: bool
) -> None:
    """Guards against two servers that run one key.

    The grants of the leader before the previous one were not taken into account.
    """
    previous, leader = previous_and_next_leader(network)
    previous.grant_manager.stop()
    restarted = network.host(1, incarnation=2)
    if not is_reached:
        network.net.cut.add(previous.identity.address)
    network.lead(leader, revision=9)
    leader.exchange.request_grants(previous.stored_previous(is_settled=not is_reached))
    network.move(leader)
    longest_s = TIMING.renew_without_store_s + TIMING.longest_grant_s
    assert network.served_after_s(leader, restarted) > longest_s


def test_late_request_of_an_earlier_leader_ends_no_leadership(network: Network) -> None:
    previous, leader = previous_and_next_leader(network)
    network.lead(previous, revision=12)
    network.lead(leader, revision=9)
    leader.exchange.request_grants(previous.stored_previous())
    assert previous.leadership.leads
    run_manager(previous.grant_manager, network.clock, 0.1)
    assert leader.held_s() > TIMING.longest_grant_s


def test_response_of_another_process_is_ignored(
    network: Network,
) -> None:
    previous, leader = previous_and_next_leader(network)
    network.lead(leader, revision=9)
    network.net.cut.add(previous.identity.address)
    leader.exchange.request_grants(previous.stored_previous())
    leader.exchange.handle_response(RemainingGrantsResponse(7, 9, None))
    assert leader.held_s() > TIMING.longest_grant_s


def test_late_response_to_an_earlier_request_is_ignored(network: Network) -> None:
    """Guards against two servers that run one key.

    A response is delayed on a link that was cut. Since then the previous leader has led
    again and extended grants, and was replaced once more by the same host.
    """
    previous, leader = previous_and_next_leader(network)
    network.lead(leader, revision=15)
    network.net.cut.add(previous.identity.address)
    leader.exchange.request_grants(previous.stored_previous())
    leader.exchange.handle_response(
        RemainingGrantsResponse(previous.identity.incarnation, 9, None)
    )
    assert leader.held_s() > TIMING.longest_grant_s


def test_response_on_a_term_that_its_sender_never_led_shortens_no_wait(
    network: Network,
) -> None:
    """Guards against two servers that run one key.

    The previous leader's claim was stored after its last term, and it did not notice.
    """
    previous, leader = previous_and_next_leader(network)
    network.lead(leader, revision=9)
    record = previous.stored_previous()
    leader.exchange.request_grants(replace(record, lease_id=record.lease_id + 1))
    network.move(leader)
    longest_s = TIMING.renew_without_store_s + TIMING.longest_grant_s
    assert network.served_after_s(leader, previous) > longest_s
