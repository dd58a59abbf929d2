"""Builders for queries to many hosts, on a virtual clock and a fake network."""

from collections.abc import Iterable
from functools import partial
from random import Random
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.spread import PeerQueries
from gentianwharf.spread._queries import OnAnswer

QUERYING_HOST = "lac-0"
LATENCY_S = 0.001


@final
class QueryNetwork:
    """Delivers queries between hosts; ``cut`` hosts are disconnected."""

    def __init__(self, *, clock: Clock, cut: Iterable[str] = ()) -> None:
        self.clock = clock
        self.cut = set(cut)
        self.lost_first = 0
        self.sent_to: list[str] = []
        self.hosts: dict[str, PeerQueries] = {}

    def add(self, host: str) -> PeerQueries:
        """Add a host to this network and return its queries."""
        self.hosts[host] = PeerQueries(
            clock=self.clock, peers=_Outbox(network=self, sender=host), rng=Random(1)
        )
        return self.hosts[host]

    def deliver(self, sender: str, receiver: str, message: bytes) -> bool:
        """Deliver a message after the latency, unless it is lost."""
        self.sent_to.append(receiver)
        if self.lost_first:
            self.lost_first -= 1
        elif receiver in self.hosts and not {sender, receiver} & self.cut:
            self.clock.callLater(
                LATENCY_S, self.hosts[receiver].received, sender, message
            )
        return True


@final
class _Outbox:
    def __init__(self, *, network: QueryNetwork, sender: str) -> None:
        self._network = network
        self._sender = sender

    def send(self, host_id: str, message: bytes) -> bool:
        """Send through the network."""
        return self._network.deliver(self._sender, host_id, message)


@final
class RunningQuery:
    """A query that ``QUERYING_HOST`` sent to other hosts, and its results."""

    def __init__(self, *, network: QueryNetwork, queries: PeerQueries) -> None:
        self.clock = network.clock
        self.sent_to = network.sent_to
        self.queries = queries
        self.answers: dict[str, bytes] = {}
        self.silent: dict[str, str] = {"nobody": "the question is still open"}
        self.done: Deferred[dict[str, str]] = Deferred()
        self.number = 0

    def ask(self, hosts: Iterable[str], kind: str, on_answer: OnAnswer | None) -> None:
        """Send the query."""
        self.done = Deferred.fromCoroutine(
            self.queries.gather(
                kind,
                hosts,
                on_answer=on_answer or self._take,
                host_timeout_s=1.0,
                timeout_s=3.0,
            )
        )
        self.number = self.queries._last_number
        self.done.addCallback(self._end)

    def run(self, duration_s: float = 0.5) -> None:
        """Advance the clock."""
        for _ in range(int(duration_s * 1_000)):
            self.clock.advance(0.001)

    def _take(self, host: str, answer: bytes) -> None:
        assert host not in self.answers
        self.answers[host] = answer

    def _end(self, silent: dict[str, str]) -> dict[str, str]:
        self.silent = silent
        return silent


def _answer(body: bytes, argument: str) -> bytes:
    return body


def start_query(
    hosts: Iterable[str],
    *,
    cut: Iterable[str] = (),
    lost_first: int = 0,
    kind: str = "name",
    answer: bytes | None = None,
    on_answer: OnAnswer | None = None,
) -> RunningQuery:
    """Return a query to hosts that answer with ``answer`` or their names."""
    network = QueryNetwork(clock=Clock(), cut=cut)
    network.lost_first = lost_first
    queries = network.add(QUERYING_HOST)
    for host in hosts:
        body = host.encode() if answer is None else answer
        network.add(host).register_handler("name", partial(_answer, body))
    query = RunningQuery(network=network, queries=queries)
    query.ask(hosts, kind, on_answer)
    return query
