"""One host's link to a store on a virtual clock, for the store's real client."""

from collections.abc import Callable
from typing import Any, Protocol, final
from urllib.parse import parse_qs, urlsplit

import msgspec
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from gentianwharf.platform._units import decode_time_s, decode_value, encode_value
from gentianwharf.platform.standin import Items
from gentianwharf.platform.standin._items import ConditionError, UnknownLeaseError
from gentianwharf.store import Change, Item, Put, Removal

STEP_S = 0.025

Reply = Callable[[int, object], None]


@final
class StoreLink:
    """One host's link to the store: the reactor of its client."""

    def __init__(self, *, clock: Clock, items: Items) -> None:
        self.seconds = clock.seconds
        self.callLater = clock.callLater
        self.answer_s = 0.004
        self.watch_delay_s = 0.0
        """Additional delay of answers to watches, which are as of before it."""
        self.is_silent = False
        self.is_unreachable = False
        self.refuses_calls = False
        self.answers_stale_reads_only = False
        self.history_is_gone = False
        self.bytes_per_s = float("inf")
        self._items = items
        self._busy_until_s = 0.0

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30.0,
        bindAddress: object = None,  # noqa: N803
    ) -> "_Connector":
        """Connect, or let the attempt time out while the store is unreachable."""
        connector = _Connector(link=self, factory=factory)
        factory.startedConnecting(connector)
        if self.is_unreachable:
            self.callLater(timeout, connector.fail)
        else:
            connector.succeed()
        return connector

    def respond(self, method: str, target: str, content: bytes, reply: Reply) -> None:
        """Answer a call, unless the store is silent now or when the answer is due."""
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
        step = url.path.removeprefix("/v1/").partition("/")[0]
        if self.answers_stale_reads_only and "stale-ok" not in query:
            return
        if step == "kv-watch":
            end_s = self.seconds() + int(query["wait-ms"]) / 1000
            self._watch(int(query["after"]), end_s, reply)
            return
        status, body = self._answer(step, url.path, query, content)
        self._reply_later(reply, status, body)

    def _answer(
        self, step: str, path: str, query: dict[str, str], content: bytes
    ) -> tuple[int, object]:
        items = self._items
        if step == "kv-range":
            rows = [change_row(item) for item in items.with_prefix(query["prefix"])]
            return 200, {"items": rows, "has-more": False, "as-of": items.revision}
        if step == "kv-key":
            item = items.get(query["key"])
            return (200, change_row(item)) if item is not None else (404, {})
        try:
            if step == "kv-txn":
                return 200, {"revision": items.change(_decode_change(content))}
            if step == "kv-lease":
                ttl_time = msgspec.json.decode(content)["ttl_time"]
                lease = items.open_lease(decode_time_s(ttl_time))
                return 200, {"lease": lease, "ttl_time": ttl_time}
            if step == "kv-keep":
                items.renew_lease(int(path.rpartition("/")[2]))
                return 200, {"ttl_time": "1200ms"}
        except ConditionError:
            return 412, {}
        except UnknownLeaseError:
            return 404, {}
        raise AssertionError(f"unexpected call {path}")

    def _watch(self, after_revision: int, end_s: float, reply: Reply) -> None:
        if self.is_silent or self.answers_stale_reads_only:
            return
        if self.history_is_gone:
            self._reply_later(reply, 410, {})
            return
        changes = self._items.changes_after("", after_revision) or []
        if not changes and self.seconds() < end_s:
            self.callLater(STEP_S, self._watch, after_revision, end_s, reply)
            return
        rows = [change_row(change) for change in changes]
        body = {"events": rows, "as-of": self._items.revision}
        self._reply_later(reply, 200, body, delay_s=self.watch_delay_s)

    def _reply_later(
        self, reply: Reply, status: int, body: object, *, delay_s: float = 0.0
    ) -> None:
        self.callLater(self.answer_s + delay_s, self._reply, reply, status, body)

    def _reply(self, reply: Reply, status: int, body: object) -> None:
        if not self.is_silent:
            reply(status, body)

    def send_s(self, size_bytes: int) -> float:
        """Return in how many seconds a response has passed the link, after others."""
        now_s = self.seconds()
        begun_s = max(now_s, self._busy_until_s)
        self._busy_until_s = begun_s + size_bytes / self.bytes_per_s
        return self._busy_until_s - now_s


class StoreConnection(Protocol):
    """The simulated store's side of one connection."""

    def receive(self, head: bytes, content: bytes) -> None:
        """Handle a whole request; ``head`` is without its blank line."""

    def end(self) -> None:
        """Close the connection."""


def change_row(change: Item | Removal) -> dict[str, object]:
    """Return a change as the store sends it."""
    row: dict[str, object] = {"key": change.key, "revision": change.revision}
    if isinstance(change, Item):
        return {**row, "value": encode_value(change.value), "lease": change.lease_id}
    return {**row, "deleted": True}


def _decode_change(content: bytes) -> Change:
    body = msgspec.json.decode(content)
    return Change(
        expected={part["key"]: part["revision"] for part in body["expected"]},
        puts=tuple(
            Put(
                key=put["key"],
                value=decode_value(put["value"]),
                lease_id=put["lease"],
            )
            for put in body["puts"]
        ),
        removals=tuple(body["remove"]),
    )


@final
class _Connector:
    """One connection to the store, or an attempt to open one."""

    def __init__(self, *, link: StoreLink, factory: Any) -> None:
        self._link = link
        self._factory = factory
        self._protocol: Any = None
        self._is_ended = False

    def succeed(self) -> None:
        self._protocol = self._factory.buildProtocol(None)
        self._protocol.makeConnection(StoreTransport(connector=self))

    def fail(self) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._factory.clientConnectionFailed(self, Failure(TimeoutError()))

    def getDestination(self) -> str:  # noqa: N802
        return "the store"

    def stopConnecting(self) -> None:  # noqa: N802
        self.fail()

    def receive(self, head: bytes, content: bytes) -> None:
        method, target, _ = head.split(b" ", 2)
        self._link.respond(method.decode(), target.decode(), content, self._reply)

    def _reply(self, status: int, body: object) -> None:
        content = msgspec.json.encode(body)
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(content))
        part_bytes = 16_000
        for start in range(0, len(content), part_bytes):
            part = content[start : start + part_bytes]
            data = head + part if start == 0 else part
            self._link.callLater(self._link.send_s(len(data)), self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if not self._is_ended:
            self._protocol.dataReceived(data)

    def end(self) -> None:
        if not self._is_ended:
            self._is_ended = True
            reason = Failure(ConnectionError())
            self._link.callLater(0, self._protocol.connectionLost, reason)


@final
class StoreTransport(StringTransport):
    """Passes each whole request on to the store."""

    def __init__(self, *, connector: StoreConnection) -> None:
        super().__init__()
        self._connector = connector

    def getHandle(self) -> "StoreTransport":  # noqa: N802
        return self

    def setsockopt(self, *option: int) -> None:
        """Ignore an option."""

    def write(self, data: bytes) -> None:
        super().write(data)
        head, separator, content = self.value().partition(b"\r\n\r\n")
        if not separator:
            return
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        if len(content) == int(length or 0):
            self.clear()
            self._connector.receive(head, content)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        self.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        super().loseConnection()
        self._connector.end()

    def abortConnection(self) -> None:  # noqa: N802
        super().abortConnection()
        self._connector.end()
