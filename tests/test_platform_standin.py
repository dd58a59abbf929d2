"""The client of the platform's store over HTTP against the stand-in store."""

from collections.abc import Awaitable, Callable, Iterator
from random import Random
from typing import Any, cast

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from gentianwharf.errors import (
    ConflictError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.platform import PlatformStore
from gentianwharf.platform.standin import (
    MAX_VALUE_BYTES,
    HoldChange,
    Items,
    LateKind,
    Rejections,
    ServerOrder,
    ServerSpec,
    StandInServer,
    StandInStore,
    _late_orders,
    _store,
)
from gentianwharf.platform.standin._server import HEARTBEAT_S
from gentianwharf.store import (
    Change,
    HistoryGoneError,
    LeaseEndedError,
    Put,
    Removal,
    Store,
)
from tests.builders_relay import in_reactor, running_reactor


class RunningStore:
    """A listening stand-in store, with a client for hosts and one for operators."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.items = Items(now_s=lambda: self.now_s)
        self.reactor = running_reactor()
        self._ports: list[Any] = []
        self.hosts: Store = in_reactor(lambda: self._client(allow_reserved=False))
        self.operators: Store = in_reactor(lambda: self._client(allow_reserved=True))

    def _client(self, *, allow_reserved: bool) -> PlatformStore:
        store = StandInStore(
            items=self.items, reactor=self.reactor, allow_reserved=allow_reserved
        )
        port = self.reactor.listenTCP(0, store.site(), interface="127.0.0.1")
        self._ports.append(port)
        address = f"127.0.0.1:{port.getHost().port}"
        return PlatformStore(reactor=self.reactor, address=address)

    def call(self, call: Callable[[], Awaitable[Any]]) -> Any:
        """Make a call within the reactor and return its result."""
        return in_reactor(lambda: Deferred.fromCoroutine(call()))  # type: ignore[arg-type]

    def stop(self) -> None:
        """Stop listening."""
        for port in self._ports:
            in_reactor(port.stopListening)


@pytest.fixture
def store() -> Iterator[RunningStore]:
    store = RunningStore()
    yield store
    store.stop()


def put(key: str, value: bytes = b"v", lease_id: int = 0) -> Change:
    return Change(puts=(Put(key=key, value=value, lease_id=lease_id),))


def test_written_item_is_read_back(store: RunningStore) -> None:
    revision = store.call(lambda: store.hosts.change(put("own/a", b"\x00\xff")))
    found = store.call(lambda: store.hosts.item("own/a"))
    assert (found.value, found.revision) == (b"\x00\xff", revision)
    page = store.call(lambda: store.hosts.items("own/"))
    assert [item.key for item in page.items] == ["own/a"]
    assert page.revision == revision


def test_missing_item_is_none(store: RunningStore) -> None:
    assert store.call(lambda: store.hosts.item("own/none")) is None


def test_failed_condition_changes_nothing(store: RunningStore) -> None:
    store.call(lambda: store.hosts.change(put("own/a")))
    change = Change(expected={"own/a": 0}, puts=(Put(key="own/a", value=b"new"),))
    with pytest.raises(ConflictError):
        store.call(lambda: store.hosts.change(change))
    assert store.call(lambda: store.hosts.item("own/a")).value == b"v"


def test_watch_returns_later_changes(store: RunningStore) -> None:
    first = store.call(lambda: store.hosts.change(put("own/a")))
    second = store.call(lambda: store.hosts.change(Change(removals=("own/a",))))
    events = store.call(
        lambda: store.hosts.watch("own/", after_revision=first, wait_s=5.0)
    )
    assert events.changes == (Removal(key="own/a", revision=second),)
    assert events.revision == second


def test_watch_waits_for_a_change(store: RunningStore) -> None:
    results: list[Any] = []

    def start_watch() -> None:
        watch = store.hosts.watch(
            "own/", after_revision=store.items.revision, wait_s=5.0
        )
        Deferred.fromCoroutine(watch).addCallback(results.append)

    in_reactor(start_watch)
    store.call(lambda: store.hosts.change(put("other/b")))
    store.call(lambda: store.hosts.change(put("own/a")))
    # Calls are served in order of arrival, so the response to this one shows that the
    # watch has been served.
    store.call(lambda: store.hosts.items("own/"))
    assert [[item.key for item in events.changes] for events in results] == [["own/a"]]


def test_discarded_history_is_reported(store: RunningStore) -> None:
    def fill_history() -> None:
        for _ in range(2_100):
            store.items.change(put("own/a"))

    in_reactor(fill_history)
    with pytest.raises(HistoryGoneError):
        store.call(lambda: store.hosts.watch("own/", after_revision=5, wait_s=5.0))


def test_items_are_removed_with_their_lease(store: RunningStore) -> None:
    lease_id = store.call(lambda: store.hosts.open_lease(1.2))
    store.call(lambda: store.hosts.change(put("own/a", lease_id=lease_id)))
    store.now_s = 1.0
    assert store.call(lambda: store.hosts.renew_lease(lease_id)) == 1.2
    store.now_s = 2.0
    in_reactor(store.items.expire)
    assert store.call(lambda: store.hosts.item("own/a")) is not None
    store.now_s = 2.3
    in_reactor(store.items.expire)
    assert store.call(lambda: store.hosts.item("own/a")) is None
    with pytest.raises(LeaseEndedError):
        store.call(lambda: store.hosts.renew_lease(lease_id))


@pytest.mark.parametrize("key", ["op/config", "servers/s1"])
def test_hosts_may_not_write_reserved_keys(store: RunningStore, key: str) -> None:
    with pytest.raises(RefusedError, match="403"):
        store.call(lambda: store.hosts.change(put(key)))
    store.call(lambda: store.operators.change(put(key)))


def test_value_is_accepted_up_to_the_size_limit(store: RunningStore) -> None:
    longest = b"x" * MAX_VALUE_BYTES
    store.call(lambda: store.operators.change(put("op/config", longest)))
    assert store.call(lambda: store.hosts.item("op/config")).value == longest
    with pytest.raises(RefusedError, match="400"):
        store.call(lambda: store.operators.change(put("op/config", longest + b"x")))
    assert store.call(lambda: store.hosts.item("op/config")).value == longest


def test_unreachable_store_raises_peer_unavailable(store: RunningStore) -> None:
    store.stop()
    with pytest.raises(PeerUnavailableError):
        store.call(lambda: store.hosts.change(put("own/a")))


def test_lost_response_leaves_the_outcome_unknown(store: RunningStore) -> None:
    """The connection breaks after the store has received the change."""

    def abort(request: Any) -> bytes:
        request.transport.abortConnection()
        return b""

    from twisted.web.resource import Resource
    from twisted.web.server import Site

    resource = Resource()
    resource.isLeaf = True
    resource.render = abort  # type: ignore[method-assign]
    port = in_reactor(
        lambda: store.reactor.listenTCP(0, Site(resource), interface="127.0.0.1")
    )
    address = f"127.0.0.1:{port.getHost().port}"
    client = in_reactor(lambda: PlatformStore(reactor=store.reactor, address=address))
    with pytest.raises(OutcomeUnknownError):
        store.call(lambda: client.change(put("own/a")))
    in_reactor(port.stopListening)


@pytest.mark.parametrize("value", ["no base64!", "YQ", "é"])
def test_invalid_base64_value_affects_only_its_key(
    store: RunningStore, monkeypatch: pytest.MonkeyPatch, value: str
) -> None:
    """One value that can't be decoded keeps every host from getting any change.

    That happens if the whole response is rejected because of it on each read.
    """
    encode = _store._encode
    store.call(lambda: store.hosts.change(put("own/a", b"1")))
    store.call(lambda: store.hosts.change(put("own/odd")))
    monkeypatch.setattr(
        _store,
        "_encode",
        lambda item: encode(item) | ({"value": value} if item.key == "own/odd" else {}),
    )
    page = store.call(lambda: store.hosts.items("own/"))
    assert [(item.key, item.value) for item in page.items] == [
        ("own/a", b"1"),
        ("own/odd", b""),
    ]
    events = store.call(
        lambda: store.hosts.watch("own/", after_revision=page.revision - 2, wait_s=1)
    )
    assert [item.value for item in events.changes] == [b"1", b""]


def test_withdrawn_server_stops_renewing_its_entry() -> None:
    """Guards against servers of an ended test that appear in the store of another."""
    clock = Clock()
    store = _CountingStore()
    spec = ServerSpec(
        id="s1",
        service="seats",
        address="127.0.0.1:1",
        domain="a",
        slots=1,
        work_s=0.1,
        born_ms=1,
    )
    server = StandInServer(spec=spec, reactor=clock, rng=Random(1))
    Deferred.fromCoroutine(server.maintain_entry(cast(Store, store)))
    clock.advance(HEARTBEAT_S)
    assert store.changes == 2
    server.withdraw()
    clock.advance(HEARTBEAT_S)
    clock.advance(HEARTBEAT_S)
    assert store.changes == 2


WORK_S, HELD_S, SHARD = 0.1, 2.5, 7


class _ServerOnBytes:
    """A stand-in server on a clock, which gets raw requests."""

    def __init__(self) -> None:
        self.clock = Clock()
        spec = ServerSpec(
            id="s1",
            service="calendar",
            address="127.0.0.1:1",
            domain="a",
            slots=1,
            work_s=WORK_S,
            born_ms=1,
        )
        self.server = StandInServer(spec=spec, reactor=self.clock, rng=Random(1))
        self.changes: list[HoldChange] = []
        self.server.on_hold_change = self.changes.append
        self.site = self.server.site()

    def order_late(self, order: str, token: int) -> StringTransport:
        """Send a grant or a release that is carried out late."""
        kind = LateKind(f"{order}s")
        self.server.late_orders.change(ServerOrder(late_share=1.0, late_kind=kind))
        sent = self.order(order, token)
        self.server.late_orders.change(ServerOrder())
        return sent

    def order(self, order: str, token: int) -> StringTransport:
        """Send a grant for ``HELD_S`` or a release of the shard."""
        content = msgspec.json.encode(
            {"from": SHARD, "target": SHARD, "fence": token, "hold_time": "2500ms"}
        )
        return self._send(f"POST /v1/{order}", "", content)

    def request(self) -> StringTransport:
        """Send a request for the shard."""
        return self._send("GET /", f"Attempt-Id: r1\r\nShard-Key: {SHARD}\r\n", b"")

    def _send(self, line: str, headers: str, content: bytes) -> StringTransport:
        transport = StringTransport()
        protocol = self.site.buildProtocol(None)
        protocol.makeConnection(transport)
        head = f"{line} HTTP/1.1\r\nHost: s1\r\n{headers}"
        length = f"Content-Length: {len(content)}\r\n\r\n"
        protocol.dataReceived((head + length).encode() + content)
        return transport


def status_of(transport: StringTransport) -> int | None:
    """Return the status of the response, None if there is none yet."""
    head = transport.value()
    return int(head.split(b" ", 2)[1]) if head else None


def test_release_waits_for_the_work_and_does_not_end_it() -> None:
    """Guards against requests that fail since their keys move while they run."""
    server = _ServerOnBytes()
    assert status_of(server.order("grant", 1)) == 200
    request = server.request()
    release = server.order("release", 2)
    assert (status_of(request), status_of(release)) == (None, None)
    assert status_of(server.request()) == 421
    server.clock.advance(2 * WORK_S)
    assert (status_of(request), status_of(release)) == (200, 200)


@pytest.mark.parametrize("renewed", [False, True], ids=["alone", "renewed"])
def test_work_that_outlasts_its_grant_fails(renewed: bool) -> None:
    """Guards against a stand-in that lets work end beside that of the next holder."""
    server = _ServerOnBytes()
    server.order("grant", 1)
    server.clock.advance(HELD_S - WORK_S / 4)
    request = server.request()
    if renewed:
        server.order("grant", 1)
    server.clock.advance(2 * WORK_S)
    assert status_of(request) == 500


@pytest.mark.parametrize(
    ("shares", "expected"),
    [((0.0, 0.0), 200), ((1.0, 0.0), 503), ((0.0, 1.0), 500)],
    ids=["run", "refused", "failed"],
)
def test_rejected_request_is_not_run_and_only_a_refusal_says_so(
    shares: tuple[float, float], expected: int
) -> None:
    """Guards against a faulty server that states more than real ones do."""
    server = _ServerOnBytes()
    begun: list[object] = []
    server.server.on_begin = begun.append
    server.server.rejection = Rejections(
        part=b"/", rng=Random(1), refused_share=shares[0], failed_share=shares[1]
    ).status
    server.order("grant", 1)
    request = server.request()
    server.clock.advance(2 * WORK_S)
    assert status_of(request) == expected
    assert bool(begun) is (expected == 200)
    assert (b"not-executed" in request.value().lower()) is (expected == 503)


class _CountingStore:
    """Counts changes, and accepts each."""

    def __init__(self) -> None:
        self.changes = 0

    async def change(self, change: Change) -> int:
        """Count the change."""
        self.changes += 1
        return self.changes

    async def open_lease(self, duration_s: float) -> int:
        """Return a lease."""
        return 1

    async def renew_lease(self, lease_id: int) -> float:
        """Renew it."""
        return 1.0


@pytest.fixture
def late_s(monkeypatch: pytest.MonkeyPatch) -> float:
    """Set the time after which late orders are carried out, within ``HELD_S``."""
    monkeypatch.setattr(_late_orders, "LATE_S", (2.0, 2.0))
    return 2.0


def test_late_grant_is_not_answered_and_counts_from_its_arrival(late_s: float) -> None:
    """Guards against a stand-in that holds keys for longer than their grant allows."""
    server = _ServerOnBytes()
    grant = server.order_late("grant", 1)
    assert status_of(server.request()) == 421
    server.clock.advance(late_s)
    request = server.request()
    server.clock.advance(2 * WORK_S)
    assert (status_of(grant), status_of(request)) == (None, 200)
    server.clock.advance(HELD_S - late_s)
    assert status_of(server.request()) == 421
    (change,) = server.changes
    assert change.is_late
    assert (change.arrived_s, change.carried_out_s, change.until_s) == (
        (0.0, late_s, HELD_S)
    )


def test_higher_token_refuses_a_late_grant(late_s: float) -> None:
    """Guards against late grants that take back keys from a later holder."""
    server = _ServerOnBytes()
    server.order_late("grant", 1)
    server.order("release", 2)
    server.clock.advance(late_s)
    assert status_of(server.request()) == 421
    assert [change.token for change in server.changes] == [2]


def test_late_grant_takes_keys_again_after_their_release(late_s: float) -> None:
    """Guards against a stand-in where a release is the end of its token."""
    server = _ServerOnBytes()
    server.order_late("grant", 1)
    server.order("release", 1)
    server.clock.advance(late_s)
    request = server.request()
    server.clock.advance(2 * WORK_S)
    assert status_of(request) == 200


def test_late_grant_does_not_shorten_a_renewal(late_s: float) -> None:
    """Guards against holders that lose keys by an older copy of their grant."""
    server = _ServerOnBytes()
    server.order_late("grant", 1)
    server.clock.advance(late_s / 2)
    server.order("grant", 1)
    server.clock.advance(late_s / 2)
    server.clock.advance(HELD_S - late_s)
    request = server.request()
    server.clock.advance(2 * WORK_S)
    assert status_of(request) == 200


def test_late_release_takes_keys_from_their_holder(late_s: float) -> None:
    """Guards against a stand-in that refuses a release, which is never refused."""
    server = _ServerOnBytes()
    release = server.order_late("release", 1)
    server.order("grant", 2)
    server.clock.advance(late_s)
    assert (status_of(release), status_of(server.request())) == (None, 421)
    assert [change.until_s for change in server.changes] == [HELD_S, 0.0]


def test_pending_late_orders_are_carried_out_as_the_trouble_ends() -> None:
    """Guards against orders that disturb a deployment that has to recover."""
    server = _ServerOnBytes()
    server.order_late("grant", 1)
    server.server.late_orders.change(ServerOrder(carries_out_pending=True))
    server.clock.advance(0.0)
    request = server.request()
    server.clock.advance(2 * WORK_S)
    assert status_of(request) == 200
