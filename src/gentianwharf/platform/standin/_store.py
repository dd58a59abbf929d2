"""A stand-in for the platform's store, which serves ``Items`` over HTTP."""

from contextlib import suppress
from functools import partial
from typing import Any, final

import msgspec
from klein import Klein
from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.web.server import Request, Site

from gentianwharf.store import Change, Item, Put, Removal

from .._config import CONFIG_KEY
from .._servers import SERVERS_PREFIX
from .._units import decode_time_s, decode_value, encode_time, encode_value
from ._items import ConditionError, Items, UnknownLeaseError
from ._store_faults import AnswerLink, StoreFaults, StoreRequest, WriteFate

EXPIRY_INTERVAL_S = 0.05
MAX_WAIT_MS = 30_000
MAX_VALUE_BYTES = 1 << 20
"""The value size limit of the stores on the users' platform."""

STATUS_BAD_REQUEST = 400
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412

RESERVED_PREFIXES = (CONFIG_KEY.partition("/")[0] + "/", SERVERS_PREFIX)
"""Prefixes of keys that only operators and backend servers may write."""


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _Put(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Change(msgspec.Struct):
    expected: tuple[_Expected, ...] = ()
    puts: tuple[_Put, ...] = ()
    remove: tuple[str, ...] = ()


class _LeaseRequest(msgspec.Struct):
    ttl_time: str


class _Rejection(Exception):  # noqa: N818
    """Raised to reject a call with an HTTP status and an empty result."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@final
class StandInStore:
    """Serves ``Items`` over the HTTP interface of the platform's store.

    With ``allow_reserved`` calls may write every key; it is meant for operators and
    backend servers. ``faults`` may be shared with stores at other addresses; ``link``
    belongs to this address only.
    """

    klein = Klein()

    def __init__(
        self,
        *,
        items: Items,
        reactor: Any,
        allow_reserved: bool,
        faults: StoreFaults | None = None,
    ) -> None:
        self.faults = faults if faults is not None else StoreFaults(items=items)
        self.link = AnswerLink(reactor=reactor, faults=self.faults)
        self._items = items
        self._reactor = reactor
        self._allow_reserved = allow_reserved
        self._waiters: set[Deferred[None]] = set()
        items.listeners.append(self._notify_waiters)

    def site(self) -> Site:
        """Return the HTTP site of the store."""
        site = Site(
            self.klein.resource(),
            requestFactory=partial(StoreRequest, link=self.link),
            reactor=self._reactor,
        )
        site.noisy = False
        return site

    @klein.handle_errors(_Rejection)  # type: ignore[arg-type]
    def _reject(self, request: Request, failure: Any) -> bytes:
        request.setResponseCode(failure.value.status)
        return b"{}"

    @klein.route("/v1/kv-key", methods=["GET"])
    def _key(self, request: Request) -> bytes:
        item = self._items.get(_argument(request, "key"))
        if item is None:
            raise _Rejection(STATUS_NOT_FOUND)
        return self._response_body(**_encode(item))

    @klein.route("/v1/kv-range", methods=["GET"])
    def _range(self, request: Request) -> bytes:
        found = [
            _encode(item)
            for item in self._items.with_prefix(_argument(request, "prefix"))
        ]
        return self._response_body(items=found, **{"has-more": False})

    @klein.route("/v1/kv-watch", methods=["GET"])
    async def _watch(self, request: Request) -> bytes:
        prefix = _argument(request, "prefix")
        after = int(_argument(request, "after"))
        wait_s = min(MAX_WAIT_MS, int(_argument(request, "wait-ms"))) / 1000
        end_s = self._reactor.seconds() + wait_s
        while not self._changes(prefix, after):
            remaining_s = end_s - self._reactor.seconds()
            if remaining_s <= 0:
                break
            await self._wait(remaining_s)
        changes = [_encode(change) for change in self._changes(prefix, after)]
        return self._response_body(events=changes)

    @klein.route("/v1/kv-txn", methods=["POST"])
    def _txn(self, request: StoreRequest) -> bytes:
        body = _body(request, _Change)
        keys = [put.key for put in body.puts] + list(body.remove)
        if not self._allow_reserved and any(
            key.startswith(RESERVED_PREFIXES) for key in keys
        ):
            raise _Rejection(STATUS_FORBIDDEN)
        change = Change(
            expected={condition.key: condition.revision for condition in body.expected},
            puts=tuple(
                Put(key=put.key, value=decode_value(put.value), lease_id=put.lease)
                for put in body.puts
            ),
            removals=body.remove,
        )
        if any(len(put.value) > MAX_VALUE_BYTES for put in change.puts):
            raise _Rejection(STATUS_BAD_REQUEST)
        fate = self._draw_fate(request)
        if fate is WriteFate.LATE:
            delay_s = self.faults.draw_late_s()
            self._reactor.callLater(delay_s, self._change_late, change)
            return b""
        try:
            return self._response_body(revision=self._items.change(change))
        except ConditionError:
            request.setResponseCode(STATUS_CONDITION_FAILED)
            current = [self._items.get(key) for key in change.expected]
            return self._response_body(
                items=[_encode(item) for item in current if item]
            )
        except UnknownLeaseError as error:
            raise _Rejection(STATUS_NOT_FOUND) from error

    @klein.route("/v1/kv-lease", methods=["POST"])
    def _lease(self, request: StoreRequest) -> bytes:
        self._draw_fate(request)
        duration_s = decode_time_s(_body(request, _LeaseRequest).ttl_time)
        lease_id = self._items.open_lease(duration_s)
        self.link.lease_ids.add(lease_id)
        return self._response_body(lease=lease_id, ttl_time=encode_time(duration_s))

    @klein.route("/v1/kv-keep/<int:lease_id>", methods=["POST"])
    def _keep(self, request: StoreRequest, lease_id: int) -> bytes:
        self._draw_fate(request)
        try:
            duration_s = self._items.renew_lease(lease_id)
        except UnknownLeaseError as error:
            raise _Rejection(STATUS_NOT_FOUND) from error
        return self._response_body(lease=lease_id, ttl_time=encode_time(duration_s))

    @klein.route("/v1/kv-lease-end/<int:lease_id>", methods=["DELETE"])
    def _end(self, request: StoreRequest, lease_id: int) -> bytes:
        self._draw_fate(request)
        try:
            self._items.end_lease(lease_id)
        except UnknownLeaseError as error:
            raise _Rejection(STATUS_NOT_FOUND) from error
        return self._response_body()

    def _draw_fate(self, request: StoreRequest) -> WriteFate:
        """Draw what becomes of a write, and discard its answer if it gets none."""
        if self._allow_reserved:
            return WriteFate.ANSWERED
        fate = self.faults.draw_fate()
        if fate is not WriteFate.ANSWERED:
            request.lose_answer()
        return fate

    def _change_late(self, change: Change) -> None:
        with suppress(ConditionError, UnknownLeaseError):
            self._items.change(change)

    def _changes(self, prefix: str, after: int) -> list[Item | Removal]:
        changes = self._items.changes_after(prefix, after)
        if changes is None:
            raise _Rejection(STATUS_GONE)
        return changes

    async def _wait(self, timeout_s: float) -> None:
        waiter: Deferred[None] = Deferred()
        self._waiters.add(waiter)
        waiter.addTimeout(timeout_s, self._reactor)
        try:
            await waiter
        except defer.TimeoutError:
            return
        finally:
            self._waiters.discard(waiter)

    def _notify_waiters(self) -> None:
        for waiter in list(self._waiters):
            waiter.callback(None)

    def _response_body(self, **fields: Any) -> bytes:
        return msgspec.json.encode({**fields, "as-of": self._items.revision})


def _encode(change: Item | Removal) -> dict[str, Any]:
    if isinstance(change, Removal):
        return {"key": change.key, "revision": change.revision, "deleted": True}
    return {
        "key": change.key,
        "value": encode_value(change.value),
        "revision": change.revision,
        "lease": change.lease_id,
    }


def _argument(request: Request, name: str) -> str:
    values = request.args.get(name.encode())
    if not values:
        raise _Rejection(STATUS_BAD_REQUEST)
    return str(values[0].decode())


def _body(request: Request, body_type: Any) -> Any:
    try:
        return msgspec.json.decode(_content(request), type=body_type)
    except msgspec.DecodeError as error:
        raise _Rejection(STATUS_BAD_REQUEST) from error


def _content(request: Request) -> bytes:
    return request.content.read() if request.content is not None else b""
