"""Faults of the stand-in store, as the client of the platform's store sees them."""

from collections.abc import Callable, Iterator
from math import inf
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError
from gentianwharf.platform import PlatformStore
from gentianwharf.platform.standin import (
    InvalidOrderError,
    Items,
    OrderReader,
    Outage,
    Revoked,
    ServerOrder,
    StandInStore,
    StoreFaults,
    StoreOrder,
    _store_faults,
)
from gentianwharf.platform.standin._store_faults import ANSWER_S
from gentianwharf.platform.standin._store_orders import carry_out
from gentianwharf.store import Change, HistoryGoneError, LeaseEndedError, Put, Removal
from tests.builders_relay import in_reactor, running_reactor

HOST, OTHER_HOST = "host", "other-host"
LONG_WAIT_S = 20.0


class FaultyStore:
    """A stand-in store that hosts reach by links of their own."""

    def __init__(self) -> None:
        self.items = Items(now_s=lambda: 0.0)
        self.reactor = running_reactor()
        self._ports: list[Any] = []
        self._clients: dict[str, PlatformStore] = {}
        first = self._listen(HOST, None)
        self.faults = first.faults
        other = self._listen(OTHER_HOST, first)
        self.links = {HOST: first.link, OTHER_HOST: other.link}
        self.items.change(Change(puts=(Put(key="a", value=b"1"),)))

    def _listen(self, name: str, first: StandInStore | None) -> StandInStore:
        store = StandInStore(
            items=self.items,
            reactor=self.reactor,
            allow_reserved=False,
            faults=first.faults if first is not None else None,
        )
        port = in_reactor(
            lambda: self.reactor.listenTCP(0, store.site(), interface="127.0.0.1")
        )
        self._ports.append(port)
        address = f"127.0.0.1:{port.getHost().port}"
        self._clients[name] = PlatformStore(reactor=self.reactor, address=address)
        return store

    def client(self, name: str = HOST) -> PlatformStore:
        """Return the client of a host."""
        return self._clients[name]

    def order(self, **fields: Any) -> int:
        """Carry out an order, and return how many items were revoked."""
        return int(
            in_reactor(
                lambda: carry_out(
                    StoreOrder(**fields), faults=self.faults, links=self.links
                )
            )
        )

    def lease(self, *keys: str, name: str = HOST) -> int:
        """Let a host open a lease with items."""
        lease_id = int(self.call(lambda: self.client(name).open_lease(10.0)))
        for key in keys:
            self.items.change(change_of(key, lease_id=lease_id))
        return lease_id

    def keys(self) -> list[str]:
        """Return the keys of all items."""
        return [item.key for item in self.items.with_prefix("")]

    def begin(self, call: Callable[[], Any]) -> list[Any]:
        """Begin a call; its result or failure is appended to the returned list."""
        results: list[Any] = []
        in_reactor(
            lambda: Deferred.fromCoroutine(call()).addBoth(results.append) and None
        )
        return results

    def call(self, call: Callable[[], Any]) -> Any:
        """Make a call and return its result."""
        return in_reactor(lambda: Deferred.fromCoroutine(call()))

    def wait(self, duration_s: float) -> None:
        """Let the reactor run."""
        in_reactor(lambda: deferLater(self.reactor, duration_s))

    def read_time_s(self, name: str = HOST) -> float:
        """Return how long a host takes to read the item."""

        async def read() -> float:
            begun_s = self.reactor.seconds()
            await self.client(name).item("a")
            return float(self.reactor.seconds() - begun_s)

        return float(self.call(read))

    def watch(self, after: int) -> list[Any]:
        """Begin a watch that waits."""
        client = self.client()
        return self.begin(
            lambda: client.watch("", after_revision=after, wait_s=LONG_WAIT_S)
        )

    def stop(self) -> None:
        """Stop listening."""
        for port in self._ports:
            in_reactor(port.stopListening)


@pytest.fixture
def store() -> Iterator[FaultyStore]:
    store = FaultyStore()
    yield store
    store.stop()


def test_store_that_hangs_answers_only_what_arrives_afterwards(
    store: FaultyStore,
) -> None:
    """Guards against outages that end with an answer to all that came meanwhile."""
    before = store.watch(store.items.revision)
    store.wait(0.05)
    store.order(outage=Outage.HANG)
    change = Change(puts=(Put(key="b", value=b"2"),))
    during = store.begin(lambda: store.client().change(change))
    store.wait(0.1)
    assert not during
    store.order(outage=Outage.NONE)
    store.wait(0.1)
    assert store.items.get("b") is None
    store.call(lambda: store.client().change(change))
    store.wait(0.05)
    assert not [event for event in before if hasattr(event, "changes")]
    store.wait(2.0)
    (failure,) = during
    assert failure.check(OutcomeUnknownError)


def test_store_that_refuses_answers_at_once_and_closes_watches(
    store: FaultyStore,
) -> None:
    waiting = store.watch(store.items.revision)
    store.wait(0.05)
    store.order(outage=Outage.REFUSE)
    with pytest.raises(PeerUnavailableError, match="503"):
        store.call(lambda: store.client().item("a"))
    (failure,) = waiting
    assert failure.check(OutcomeUnknownError)
    store.order(outage=Outage.NONE)
    assert store.call(lambda: store.client().item("a")).value == b"1"


def test_slow_store_takes_a_multiple_of_the_time(store: FaultyStore) -> None:
    store.order(slowdown=50.0)
    assert store.read_time_s() >= 49 * ANSWER_S
    store.order(slowdown=1.0)
    assert store.faults.answer_delay_s() == 0.0


@pytest.mark.parametrize("missed", [0, 1], ids=["none-missed", "one-missed"])
def test_dropped_history_ends_watches_from_before(
    store: FaultyStore, missed: int
) -> None:
    revision = store.items.revision
    waiting = store.watch(revision)
    store.wait(0.05)
    store.order(drops_history=True)
    store.wait(0.05)
    (failure,) = waiting
    assert failure.check(OutcomeUnknownError)
    with pytest.raises(HistoryGoneError):
        store.call(
            lambda: store.client().watch("", after_revision=revision - missed, wait_s=0)
        )


def test_items_can_be_watched_once_they_are_read_again(store: FaultyStore) -> None:
    """Guards against a dropped history that ends each watch from then on."""
    store.order(drops_history=True)
    page = store.call(lambda: store.client().items(""))
    assert [item.key for item in page.items] == ["a"]
    events = store.call(
        lambda: store.client().watch("", after_revision=page.revision, wait_s=0)
    )
    assert events.changes == ()
    store.items.change(Change(puts=(Put(key="b", value=b"2"),)))
    events = store.call(
        lambda: store.client().watch("", after_revision=page.revision, wait_s=0)
    )
    assert [change.key for change in events.changes] == ["b"]


def test_thin_link_limits_the_answers_to_its_host_alone(store: FaultyStore) -> None:
    store.items.change(Change(puts=(Put(key="a", value=b"x" * 60_000),)))
    store.order(rate_bytes_per_s=200_000.0, addresses=(HOST,))
    assert store.read_time_s(HOST) >= 0.4
    assert store.links[OTHER_HOST].rate_bytes_per_s == inf
    store.order(rate_bytes_per_s=0.0)
    assert store.links[HOST].rate_bytes_per_s == inf


def test_answers_share_a_thin_link(store: FaultyStore) -> None:
    """Guards against a limit that each connection has for itself."""
    store.items.change(Change(puts=(Put(key="a", value=b"x" * 30_000),)))
    store.order(rate_bytes_per_s=200_000.0)
    begun_s = store.reactor.seconds()
    together = [store.begin(lambda: store.client().item("a")) for _ in range(3)]
    while not all(together):
        store.wait(0.01)
    assert store.reactor.seconds() - begun_s >= 0.6


def test_outage_ends_an_answer_that_is_under_way(store: FaultyStore) -> None:
    store.items.change(Change(puts=(Put(key="a", value=b"x" * 60_000),)))
    store.order(rate_bytes_per_s=200_000.0)
    results = store.begin(lambda: store.client().item("a"))
    store.wait(0.1)
    store.order(outage=Outage.REFUSE)
    store.wait(0.05)
    (failure,) = results
    assert failure.check(OutcomeUnknownError)


def test_orders_are_lines_of_json() -> None:
    orders: list[StoreOrder] = []
    reader = OrderReader(order_type=StoreOrder, on_order=orders.append)
    reader.lineReceived(b'{"outage": "hang"}')
    assert orders == [StoreOrder(outage=Outage.HANG)]


@pytest.mark.parametrize(
    ("order_type", "line"),
    [
        (StoreOrder, b'{"outage": "sometimes"}'),
        (StoreOrder, b'{"outages": "hang"}'),
        (StoreOrder, b'{"late_share": -0.1}'),
        (StoreOrder, b'{"revokes": "hosts"}'),
        (ServerOrder, b'{"late_share": 1.5}'),
        (ServerOrder, b'{"late_kind": "some"}'),
        (ServerOrder, b'{"share": 0.5}'),
        (ServerOrder, b"late"),
    ],
    ids=[
        "unknown outage",
        "unknown field of the store",
        "negative share",
        "unknown form of a revocation",
        "share above 1",
        "unknown kind",
        "unknown field of a server",
        "no JSON",
    ],
)
def test_unknown_orders_are_refused(
    order_type: type[StoreOrder | ServerOrder], line: bytes
) -> None:
    """Guards against runs whose faults were never injected."""
    orders: list[StoreOrder | ServerOrder] = []
    reader = OrderReader(order_type=order_type, on_order=orders.append)
    with pytest.raises(InvalidOrderError, match=f"expected a {order_type.__name__}"):
        reader.lineReceived(line)
    assert not orders


def change_of(key: str, **fields: Any) -> Change:
    return Change(puts=(Put(key=key, value=b"2", **fields),))


def test_unanswered_writes_are_done(store: FaultyStore) -> None:
    """Guards against a stand-in whose lost answers mean that nothing was done."""
    store.order(unanswered_share=1.0)
    results = store.begin(lambda: store.client().change(change_of("b")))
    store.wait(0.1)
    assert not results
    assert store.items.get("b") is not None


@pytest.mark.parametrize(
    ("overtaken", "lease_ended", "expected"),
    [(False, False, b"2"), (True, False, b"3"), (False, True, None)],
    ids=["conditions hold", "condition fails", "lease has ended"],
)
def test_late_writes_are_done_if_they_may_be(
    store: FaultyStore,
    monkeypatch: pytest.MonkeyPatch,
    overtaken: bool,
    lease_ended: bool,
    expected: bytes | None,
) -> None:
    """Guards against late writes that break their conditions."""
    monkeypatch.setattr(_store_faults, "LATE_S", (0.2, 0.3))
    lease_id = store.items.open_lease(10.0)
    change = Change(
        expected={"b": 0}, puts=(Put(key="b", value=b"2", lease_id=lease_id),)
    )
    store.order(late_share=1.0)
    results = store.begin(lambda: store.client().change(change))
    store.wait(0.1)
    assert store.items.get("b") is None
    if overtaken:
        store.items.change(Change(puts=(Put(key="b", value=b"3"),)))
    if lease_ended:
        store.items.end_lease(lease_id)
    store.wait(0.4)
    item = store.items.get("b")
    assert not results
    assert (item.value if item is not None else None) == expected


def test_leases_lapse_while_the_store_hangs() -> None:
    """Guards against outages that no leader and no entry of a host is lost by."""
    now_s = 0.0
    items = Items(now_s=lambda: now_s)
    lease_id = items.open_lease(1.0)
    items.change(change_of("a", lease_id=lease_id))
    StoreFaults(items=items).begin(Outage.HANG)
    now_s = 1.1
    items.expire()
    assert items.get("a") is None


def test_lease_of_one_host_ends_early(store: FaultyStore) -> None:
    """Guards against leases that end by time alone, and those of others with them."""
    lease_id = store.lease("hosts/1", "leader")
    store.lease("hosts/2", name=OTHER_HOST)
    assert store.order(revokes=Revoked.LEASES, addresses=(HOST,)) == 2
    assert store.keys() == ["a", "hosts/2"]
    with pytest.raises(LeaseEndedError):
        store.call(lambda: store.client().renew_lease(lease_id))


def test_items_go_while_their_lease_is_renewed(store: FaultyStore) -> None:
    """Guards against a store in which a renewal proves that the items are there."""
    lease_id = store.lease("hosts/1", "leader")
    store.lease("hosts/2", name=OTHER_HOST)
    assert store.order(revokes=Revoked.ITEMS, addresses=(HOST,)) == 2
    assert store.keys() == ["a", "hosts/2"]
    store.call(lambda: store.client().renew_lease(lease_id))
    change = change_of("leader", lease_id=lease_id)
    store.call(lambda: store.client().change(change))
    assert store.keys() == ["a", "hosts/2", "leader"]


@pytest.mark.parametrize("revoked", Revoked)
def test_leases_of_all_hosts_are_revoked_without_addresses(
    store: FaultyStore, revoked: Revoked
) -> None:
    store.lease("leader")
    store.lease("hosts/2", name=OTHER_HOST)
    assert store.order(revokes=revoked) == 2
    assert store.keys() == ["a"]
    assert store.order(revokes=revoked) == 0


@pytest.mark.parametrize("revoked", Revoked)
def test_watches_show_what_is_revoked(store: FaultyStore, revoked: Revoked) -> None:
    store.lease("leader", name=OTHER_HOST)
    waiting = store.watch(store.items.revision)
    store.wait(0.05)
    store.order(revokes=revoked, addresses=(OTHER_HOST,))
    store.wait(0.05)
    (events,) = waiting
    assert [(change.key, type(change)) for change in events.changes] == [
        ("leader", Removal)
    ]


@pytest.mark.parametrize("revoked", Revoked)
@pytest.mark.parametrize("outage", [Outage.HANG, Outage.REFUSE])
def test_items_are_revoked_while_their_host_is_turned_away(
    store: FaultyStore, outage: Outage, revoked: Revoked
) -> None:
    """Guards against outages that other hosts see, or that save what is leased."""
    store.lease("leader")
    waiting = store.watch(store.items.revision)
    store.wait(0.05)
    store.order(outage=outage, addresses=(HOST,))
    assert store.order(revokes=revoked, addresses=(HOST,)) == 1
    read = store.begin(lambda: store.client().item("leader"))
    other = store.client(OTHER_HOST)
    assert store.call(lambda: other.item("leader")) is None
    store.wait(0.05)
    assert not [result for result in waiting + read if not hasattr(result, "check")]
    assert bool(read) is (outage is Outage.REFUSE)
    store.order(outage=Outage.NONE, addresses=(HOST,))
    store.wait(2.0)
    assert store.call(lambda: store.client().item("leader")) is None


def test_order_for_an_unknown_address_changes_nothing(store: FaultyStore) -> None:
    """Guards against runs whose host was never touched."""
    store.lease("leader")
    with pytest.raises(InvalidOrderError, match="among host, other-host, got third"):
        store.order(revokes=Revoked.LEASES, addresses=(HOST, "third"))
    assert store.keys() == ["a", "leader"]
