"""Calls of a host whose answers end after a number of bytes, without sockets."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from gentianwharf.cli._client import AdminClient, treq_client
from gentianwharf.infra import HttpBackendControl, HttpHostList, HttpStore
from gentianwharf.keyspace import Grant, Holder, Release
from gentianwharf.platform import PlatformHeaderCodec, PlatformStore, ServerOrders
from gentianwharf.relay import LoadClient, ServerConnectionPool
from gentianwharf.store import Change
from gentianwharf.topology import BackendServer
from tests.builders_cut_heads import Form
from tests.builders_keyspace import may_always_send
from tests.builders_transport import ProbedTransport

ADDRESS = "10.0.0.1:80"
URL = f"http://{ADDRESS}"
SERVER = BackendServer(
    id="i-1", service="calendar", domain="lac", address=ADDRESS, slots=2, connections=4
)
HOLDER = Holder(server_id="i-1", born_ms=1, address=ADDRESS)
GRANT = Grant(first=3, last=9, token=12, duration_s=2.5, handover="5c0e")
RELEASE = Release(first=3, last=9, token=13)
TIMEOUT_S = 2.0

Start = Callable[[Any], Callable[[], Any]]
"""Creates a client on a reactor and returns what makes a call of it."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class HostCall:
    """A call, and the status, headers and body of its answer."""

    start: Start
    status: bytes = b"200 OK"
    fields: bytes = b""
    body: bytes = b"{}"
    reads_body: bool = True
    """Whether the result follows from the body."""
    needs_end: bool = False
    """Whether a body without a stated end is not accepted."""
    keeps_connection: bool = True
    """Whether the next call uses the same connection."""

    def forms(self) -> dict[str, Form]:
        """Return the forms that the answer may have."""
        size, fields = len(self.body), self.fields
        length = b"Content-Length: %d" % size
        lines = (fields + length).replace(b"\r\n", b"\n")
        chunked = b"%x\r\n%b\r\n0\r\n\r\n" % (size, self.body) if size else b"0\r\n\r\n"
        ok = b"HTTP/1.1 %b\r\nID" % self.status
        return {
            "length": Form(head=ok + fields + length + b"\r\n\r\n", body=self.body),
            "length-first": Form(
                head=ok + length + b"\r\n" + fields + b"X-A: 1\r\n\r\n", body=self.body
            ),
            "chunked": Form(
                head=ok + fields + b"Transfer-Encoding: chunked\r\n\r\n", body=chunked
            ),
            "until-closed": Form(
                head=ok + fields + b"X-A: 1\r\n\r\n", body=self.body, has_end=False
            ),
            "bare-newlines": Form(
                head=ok.replace(b"\r\n", b"\n") + lines + b"\n\n", body=self.body
            ),
            "folded": Form(
                head=ok + fields + b"Content-Length:\r\n %d\r\n\r\n" % size,
                body=self.body,
            ),
            "after-hints": Form(
                head=b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                + ok
                + fields
                + length
                + b"\r\n\r\n",
                body=self.body,
            ),
        }


def _change(store: PlatformStore) -> Any:
    return store.change(Change(removals=["a"]))


def _grant(orders: ServerOrders) -> Any:
    return orders.grant(HOLDER, GRANT, timeout_s=TIMEOUT_S, may_send=may_always_send)


def _swap(store: HttpStore) -> Any:
    return store.compare_and_swap("a", b"1", expected_revision=7)


def _platform(call: Callable[[PlatformStore], Any]) -> Start:
    def start(reactor: Any) -> Callable[[], Any]:
        store = PlatformStore(reactor=reactor, address=ADDRESS)
        return lambda: call(store)

    return start


def _order(call: Callable[[ServerOrders], Any]) -> Start:
    def start(reactor: Any) -> Callable[[], Any]:
        orders = ServerOrders(reactor=reactor)
        return lambda: call(orders)

    return start


def _store(call: Callable[[HttpStore], Any]) -> Start:
    def start(reactor: Any) -> Callable[[], Any]:
        store = HttpStore(reactor=reactor, url=URL)
        return lambda: call(store)

    return start


def _query_load(reactor: Any) -> Callable[[], Any]:
    client = LoadClient(
        connections={SERVER.id: ServerConnectionPool(server=SERVER, reactor=reactor)},
        paths={"calendar": "/health"},
        codec=PlatformHeaderCodec(),
        reactor=reactor,
    )
    return lambda: client.query(SERVER)


def _read_hosts(reactor: Any) -> Callable[[], Any]:
    hosts = HttpHostList(reactor=reactor, url=URL)
    return hosts.read


def _release_shards(reactor: Any) -> Callable[[], Any]:
    control = HttpBackendControl(reactor=reactor)
    return lambda: control.release(SERVER, "calendar", {3: 12})


def _read_status(reactor: Any) -> Callable[[], Any]:
    client = AdminClient(
        http=treq_client(reactor), url=URL, token=None, operator="amira"
    )
    return lambda: client.get("v1", "status")


CALLS = {
    "store-item": HostCall(
        start=_platform(lambda store: store.item("op/config")),
        body=b'{"key":"op/config","revision":7,"value":"QUJD","lease":0}',
    ),
    "store-item-absent": HostCall(
        start=_platform(lambda store: store.item("op/config")),
        status=b"404 Not Found",
        reads_body=False,
    ),
    "store-items": HostCall(
        start=_platform(lambda store: store.items("")),
        body=b'{"items":[{"key":"a","revision":7}],"has-more":false,"as-of":9}',
    ),
    "store-watch": HostCall(
        start=_platform(lambda store: store.watch("", after_revision=1, wait_s=1.0)),
        body=b'{"events":[],"as-of":12}',
    ),
    "store-change": HostCall(
        start=_platform(_change),
        body=b'{"revision":12}',
    ),
    "store-conflict": HostCall(
        start=_platform(_change), status=b"412 Precondition Failed", reads_body=False
    ),
    "store-busy": HostCall(
        start=_platform(_change), status=b"503 Busy", reads_body=False
    ),
    "store-renewal": HostCall(
        start=_platform(lambda store: store.renew_lease(7)),
        body=b'{"ttl_time":"1500ms","lease":12}',
    ),
    "store-end-of-lease": HostCall(
        start=_platform(lambda store: store.end_lease(7)), reads_body=False
    ),
    "order-grant": HostCall(
        start=_order(_grant),
        body=b"ok",
        needs_end=True,
    ),
    "order-refused": HostCall(
        start=_order(_grant),
        status=b"409 Conflict",
        needs_end=True,
        keeps_connection=False,
    ),
    "order-other-server": HostCall(
        start=_order(_grant),
        status=b"421 Misdirected Request",
        needs_end=True,
        keeps_connection=False,
    ),
    "order-release": HostCall(
        start=_order(
            lambda orders: orders.release(
                HOLDER, RELEASE, timeout_s=TIMEOUT_S, may_send=may_always_send
            )
        ),
        fields=b"Handover: 77\r\n",
        body=b"",
        needs_end=True,
    ),
    "load-query": HostCall(
        start=_query_load,
        fields=b"Instance-Id: i-1\r\nServer-Load: 1,2,2,300\r\n",
        reads_body=False,
    ),
    "daemon-store-get": HostCall(
        start=_store(lambda store: store.get("a")),
        body=b'{"values":[{"key":"a","value":"QUJD","revision":7}]}',
    ),
    "daemon-store-conflict": HostCall(
        start=_store(_swap),
        status=b"409 Conflict",
        body=b'{"error":"conflict","message":"newer"}',
    ),
    "daemon-store-renewal": HostCall(
        start=_store(lambda store: store.lease_renew("a"))
    ),
    "daemon-hosts": HostCall(start=_read_hosts, body=b'{"hosts":[]}'),
    "daemon-release": HostCall(start=_release_shards, body=b'{"outcome":"accepted"}'),
    "command-line": HostCall(
        start=_read_status, body=b'{"state":"up"}', keeps_connection=False
    ),
}


@final
class CutCall:
    """One call, to which a test delivers part of an answer and an end."""

    _protocol: Any

    def __init__(self, call: HostCall, *, after: Form | None = None) -> None:
        self._reactor: Any = MemoryReactorClock()
        self._call = call.start(self._reactor)
        self._transport = ProbedTransport()
        self.results: list[Any] = []
        self._start()
        if after is not None:
            self._protocol.dataReceived(after.answer(self._transport.value()))
            self._transport.clear()
            self.results.clear()
            self._start()

    def _start(self) -> None:
        opened = len(self._reactor.tcpClients)
        result: Deferred[Any] = Deferred.fromCoroutine(self._call())
        result.addBoth(self.results.append)
        if len(self._reactor.tcpClients) > opened:
            factory = self._reactor.tcpClients[-1][2]
            self._protocol = factory.buildProtocol(None)
            self._protocol.makeConnection(self._transport)

    @property
    def connections(self) -> int:
        """The number of connections that were opened."""
        return len(self._reactor.tcpClients)

    def answer(self, form: Form) -> bytes:
        """Return the whole answer to the call."""
        return form.answer(self._transport.value())

    @property
    def is_closing(self) -> bool:
        """Whether the connection is being closed."""
        return self._transport.disconnecting

    def feed(self, data: bytes) -> None:
        """Deliver part of an answer."""
        self._protocol.dataReceived(data)

    def receive(self, data: bytes) -> Any:
        """Deliver the rest of an answer; returns the result, or a ``Failure``."""
        self.feed(data)
        assert len(self.results) == 1, "expected a result at the end of the answer"
        return self.results[0]

    def deliver(self, data: bytes, end: type[Exception]) -> Any:
        """Deliver part of an answer and the end of the connection.

        Returns the result of the call, which is a ``Failure`` if it raised an error.
        """
        if data:
            self._protocol.dataReceived(data)
        self._protocol.connectionLost(Failure(end()))
        assert len(self.results) == 1, "expected a result when the connection ends"
        return self.results[0]
