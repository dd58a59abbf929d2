"""A store on a virtual clock that hangs, is slow or refuses calls, and its clients."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Any, cast, final
from urllib.parse import parse_qs, urlsplit

import msgspec
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from gentianwharf.platform import PlatformStore
from gentianwharf.platform.standin import Items
from gentianwharf.store import Change, Mirror, Put, Store
from tests.builders_store_link import StoreTransport, change_row

STEP_S = 0.01
CONFIG = "op/config"


@final
class StoreReactor(Clock):
    """A reactor whose connections all lead to one simulated store."""

    def __init__(self, *, answer_s: float = 0.004) -> None:
        super().__init__()
        self.items = Items(now_s=self.seconds)
        self.answer_s = answer_s
        self.is_silent = False
        self.is_unreachable = False
        self.refuses_calls = False
        self.bytes_per_s = float("inf")
        self.history_starts_at = 0
        self.page_delay_s = 0.0
        self.targets: list[str] = []
        self._connectors: list[_Connector] = []

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30.0,
        bindAddress: object = None,  # noqa: N803
    ) -> "_Connector":
        """Connect, or let the attempt time out while the store is unreachable."""
        connector = _Connector(reactor=self, factory=factory)
        factory.startedConnecting(connector)
        self._connectors.append(connector)
        if self.is_unreachable:
            self.callLater(timeout, connector.fail)
        else:
            connector.succeed()
        return connector

    def mute_connections(self) -> None:
        """Lose all data of the connections that are open now, without closing them."""
        for connector in self._connectors:
            connector.is_mute = True

    def respond(self, target: str, reply: Callable[[int, object], None]) -> None:
        """Answer a call unless the store is silent now or when the answer is due."""
        self.targets.append(target)
        if self.is_silent:
            return
        if self.refuses_calls:
            self._reply_later(reply, 503, {})
            return
        url = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(url.query, keep_blank_values=True).items()
        }
        if url.path == "/v1/kv-range":
            rows = [
                change_row(item) for item in self.items.with_prefix(query["prefix"])
            ]
            body = {"items": rows, "has-more": False, "as-of": self.items.revision}
            self._reply_later(reply, 200, body, delay_s=self.page_delay_s)
        elif url.path == "/v1/kv-watch":
            end_s = self.seconds() + int(query["wait-ms"]) / 1000
            self._watch(int(query["after"]), end_s, reply)
        else:
            self._reply_later(reply, 404, {})

    def _watch(
        self, after_revision: int, end_s: float, reply: Callable[[int, object], None]
    ) -> None:
        if self.is_silent:
            return
        if after_revision < self.history_starts_at:
            self._reply_later(reply, 410, {})
            return
        changes = self.items.changes_after("", after_revision) or []
        if not changes and self.seconds() < end_s:
            self.callLater(STEP_S, self._watch, after_revision, end_s, reply)
            return
        body = {
            "events": [change_row(c) for c in changes],
            "as-of": self.items.revision,
        }
        self._reply_later(reply, 200, body)

    def _reply_later(
        self,
        reply: Callable[[int, object], None],
        status: int,
        body: object,
        *,
        delay_s: float = 0.0,
    ) -> None:
        self.callLater(self.answer_s + delay_s, self._reply, reply, status, body)

    def _reply(
        self, reply: Callable[[int, object], None], status: int, body: object
    ) -> None:
        if not self.is_silent:
            reply(status, body)


@final
class _Connector:
    """One connection to the store, or an attempt to open one."""

    def __init__(self, *, reactor: StoreReactor, factory: Any) -> None:
        self._reactor = reactor
        self._factory = factory
        self._protocol: Any = None
        self._transport: Any = None
        self._is_ended = False
        self.is_mute = False

    def succeed(self) -> None:
        self._protocol = self._factory.buildProtocol(None)
        self._transport = StoreTransport(connector=self)
        self._protocol.makeConnection(self._transport)

    def fail(self) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._factory.clientConnectionFailed(self, Failure(TimeoutError()))

    def getDestination(self) -> str:  # noqa: N802
        return "the store"

    def stopConnecting(self) -> None:  # noqa: N802
        self.fail()

    def receive(self, head: bytes, content: bytes) -> None:
        if self.is_mute:
            return
        target = head.split(b" ")[1].decode()
        self._reactor.respond(target, self._reply)

    def _reply(self, status: int, body: object) -> None:
        content = msgspec.json.encode(body)
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(content))
        self._deliver(head)
        chunk_bytes = max(1, round(min(1e9, self._reactor.bytes_per_s * STEP_S)))
        for number, start in enumerate(range(0, len(content), chunk_bytes)):
            chunk = content[start : start + chunk_bytes]
            self._reactor.callLater(number * STEP_S, self._deliver, chunk)

    def _deliver(self, data: bytes) -> None:
        if not self._is_ended and not self.is_mute:
            self._protocol.dataReceived(data)

    def end(self) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._reactor.callLater(
                0, self._protocol.connectionLost, Failure(ConnectionError())
            )


@final
@dataclass(kw_only=True)
class Client:
    """A mirror of the simulated store, and when each value was seen first."""

    reactor: StoreReactor
    mirror: Mirror
    seen_s: dict[bytes, float]

    def write(self, value: bytes) -> None:
        """Write the rules as operators do."""
        self.reactor.items.change(Change(puts=(Put(key=CONFIG, value=value),)))

    def set_outage(self, kind: str, *, is_down: bool) -> None:
        """Begin or end an outage: ``silent``, ``unreachable`` or ``refusing``."""
        self.reactor.is_silent = is_down and kind != "refusing"
        self.reactor.is_unreachable = is_down and kind == "unreachable"
        self.reactor.refuses_calls = is_down and kind == "refusing"

    def run(self, duration_s: float) -> None:
        """Advance the time in steps."""
        for _ in range(round(duration_s / STEP_S)):
            self.reactor.advance(STEP_S)
            self._note()

    def _note(self) -> None:
        item = self.mirror.items.get(CONFIG)
        if item is not None:
            self.seen_s.setdefault(item.value, self.reactor.seconds())


def make_client(*, seed: int, leads: bool, answer_s: float = 0.004) -> Client:
    """Return a running client; one that leads forwards its changes to others."""
    reactor = StoreReactor(answer_s=answer_s)
    # Times that are no multiples of the client's own intervals.
    reactor.advance(100 + Random(seed).random())
    store = PlatformStore(reactor=reactor, address="10.0.0.1:80")
    mirror = Mirror(
        store=cast(Store, store), prefix="", reactor=reactor, rng=Random(seed)
    )
    mirror.forwards_changes = lambda: leads
    client = Client(reactor=reactor, mirror=mirror, seen_s={})
    client.write(b"first")
    mirror.start()
    client.run(3.0)
    assert b"first" in client.seen_s
    return client


def outage_durations_s(
    *, seeds: int, first_seed: int = 1
) -> Iterator[tuple[int, float]]:
    """Return seeds, each with a random duration of an outage."""
    for seed in range(first_seed, first_seed + seeds):
        yield seed, Random(seed).uniform(0.2, 9.0)
