"""A host that starts waits for what others know of requests that end servers."""

from random import Random
from typing import Any, cast

import msgspec
from twisted.internet.task import Clock

from gentianwharf.entryhost._host_links import HostLinks
from gentianwharf.entryhost._peer_messages import (
    HostAddress,
    HostIdentity,
    RecordsReply,
    RecordsRequest,
)
from gentianwharf.entryhost._records_exchange import (
    ANSWER_TIMEOUT_S,
    PAUSE_S,
    RecordsExchange,
)
from tests.builders_store import LinkNet

HOSTS = [HostAddress(f"front-{n}", f"10.1.0.{n}:90") for n in (1, 2, 3)]


class Hosts:
    """Three hosts, whose records name nothing."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.net = LinkNet()
        self.net.most_bytes = 10_000
        self.exchanges = [self._host(address) for address in HOSTS]

    def _host(self, address: HostAddress) -> RecordsExchange:
        exchange = RecordsExchange(
            identity=HostIdentity(address.host, address.address, 1),
            links=HostLinks(dial=cast(Any, self.net.dial), now_s=self.clock.seconds),
            listed=lambda: HOSTS,
            reactor=self.clock,
            rng=Random(1),
        )

        def receive(data: bytes) -> None:
            message = msgspec.msgpack.decode(data, type=RecordsRequest | RecordsReply)
            if isinstance(message, RecordsRequest):
                exchange.answer(message, RecordsReply())
            else:
                exchange.note_answer(message)

        self.net.listeners[address.address] = receive
        return exchange

    def let_know(self, number: int) -> None:
        """Let a host have asked before, without an answer."""
        self.net.cut.update(self.net.listeners)
        self.exchanges[number].tick(knows_hosts=True)
        self.clock.advance(ANSWER_TIMEOUT_S)
        self.net.cut.clear()


def test_host_that_knows_nothing_yet_does_not_end_the_wait() -> None:
    """Guards against requests that end a fourth server after several hosts started."""
    hosts = Hosts()
    starting = hosts.exchanges[0]
    starting.tick(knows_hosts=True)
    assert starting.needs_answer()
    hosts.clock.advance(ANSWER_TIMEOUT_S)
    starting.tick(knows_hosts=True)
    assert not starting.needs_answer()


def test_host_that_knows_ends_the_wait() -> None:
    hosts = Hosts()
    hosts.let_know(2)
    starting = hosts.exchanges[0]
    starting.tick(knows_hosts=True)
    assert not starting.needs_answer()


def test_host_that_has_stood_still_does_not_end_the_wait() -> None:
    """Guards against a resumed host that answers before it has caught up."""
    hosts = Hosts()
    hosts.let_know(2)
    hosts.clock.advance(PAUSE_S + 0.1)
    starting = hosts.exchanges[0]
    starting.tick(knows_hosts=True)
    assert starting.needs_answer()
