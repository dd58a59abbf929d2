"""A stand-in for the platform's store: the users' calls over ``Items``."""

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

EXPIRE_EVERY_S = 0.05
MAX_WAIT_MS = 30_000
MAX_VALUE_BYTES = 1 << 20
"""What the sites of the users' platform set for a value of their stores."""

STATUS_BAD = 400
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412

RESERVED_PREFIXES = (CONFIG_KEY.partition("/")[0] + "/", SERVERS_PREFIX)
"""What operators and servers write, and hosts may not."""


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


class _LeaseWish(msgspec.Struct):
    ttl_time: str


class _Refusal(Exception):  # noqa: N818
    """A call that is answered with a status and no result."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@final
class StandInStore:
    """Serves ``Items`` in the users' words.

    ``allow_reserved`` is for operators and servers: they may write every key.
    """

    klein = Klein()

    def __init__(self, *, items: Items, reactor: Any, allow_reserved: bool) -> None:
        self._items = items
        self._reactor = reactor
        self._allow_reserved = allow_reserved
        self._waiting: set[Deferred[None]] = set()
        items.listeners.append(self._wake)

    def site(self) -> Site:
        """Return what to listen with."""
        site = Site(self.klein.resource(), reactor=self._reactor)
        site.noisy = False
        return site

    @klein.handle_errors(_Refusal)  # type: ignore[arg-type]
    def _refused(self, request: Request, failure: Any) -> bytes:
        request.setResponseCode(failure.value.status)
        return b"{}"

    @klein.route("/v1/kv-key", methods=["GET"])
    def _key(self, request: Request) -> bytes:
        item = self._items.get(_argument(request, "key"))
        if item is None:
            raise _Refusal(STATUS_NOT_FOUND)
        return self._answer(**_shown(item))

    @klein.route("/v1/kv-range", methods=["GET"])
    def _range(self, request: Request) -> bytes:
        found = [
            _shown(one) for one in self._items.with_prefix(_argument(request, "prefix"))
        ]
        return self._answer(items=found, **{"has-more": False})

    @klein.route("/v1/kv-watch", methods=["GET"])
    async def _watch(self, request: Request) -> bytes:
        prefix = _argument(request, "prefix")
        after = int(_argument(request, "after"))
        wait_s = min(MAX_WAIT_MS, int(_argument(request, "wait-ms"))) / 1000
        end_s = self._reactor.seconds() + wait_s
        while not self._changes(prefix, after):
            left_s = end_s - self._reactor.seconds()
            if left_s <= 0:
                break
            await self._wait(left_s)
        changes = [_shown(one) for one in self._changes(prefix, after)]
        return self._answer(events=changes)

    @klein.route("/v1/kv-txn", methods=["POST"])
    def _txn(self, request: Request) -> bytes:
        wish = _body(request, _Change)
        keys = [one.key for one in wish.puts] + list(wish.remove)
        if not self._allow_reserved and any(
            key.startswith(RESERVED_PREFIXES) for key in keys
        ):
            raise _Refusal(STATUS_FORBIDDEN)
        change = Change(
            expected={one.key: one.revision for one in wish.expected},
            puts=tuple(
                Put(key=one.key, value=decode_value(one.value), lease_id=one.lease)
                for one in wish.puts
            ),
            removals=wish.remove,
        )
        if any(len(put.value) > MAX_VALUE_BYTES for put in change.puts):
            raise _Refusal(STATUS_BAD)
        try:
            return self._answer(revision=self._items.change(change))
        except ConditionError:
            request.setResponseCode(STATUS_CONDITION_FAILED)
            known = [self._items.get(key) for key in change.expected]
            return self._answer(items=[_shown(one) for one in known if one])
        except UnknownLeaseError as error:
            raise _Refusal(STATUS_NOT_FOUND) from error

    @klein.route("/v1/kv-lease", methods=["POST"])
    def _lease(self, request: Request) -> bytes:
        duration_s = decode_time_s(_body(request, _LeaseWish).ttl_time)
        lease_id = self._items.open_lease(duration_s)
        return self._answer(lease=lease_id, ttl_time=encode_time(duration_s))

    @klein.route("/v1/kv-keep/<int:lease_id>", methods=["POST"])
    def _keep(self, request: Request, lease_id: int) -> bytes:
        try:
            duration_s = self._items.renew_lease(lease_id)
        except UnknownLeaseError as error:
            raise _Refusal(STATUS_NOT_FOUND) from error
        return self._answer(lease=lease_id, ttl_time=encode_time(duration_s))

    @klein.route("/v1/kv-lease-end/<int:lease_id>", methods=["DELETE"])
    def _end(self, request: Request, lease_id: int) -> bytes:
        try:
            self._items.end_lease(lease_id)
        except UnknownLeaseError as error:
            raise _Refusal(STATUS_NOT_FOUND) from error
        return self._answer()

    def _changes(self, prefix: str, after: int) -> list[Item | Removal]:
        changes = self._items.changes_after(prefix, after)
        if changes is None:
            raise _Refusal(STATUS_GONE)
        return changes

    async def _wait(self, longest_s: float) -> None:
        waiting: Deferred[None] = Deferred()
        self._waiting.add(waiting)
        waiting.addTimeout(longest_s, self._reactor)
        try:
            await waiting
        except defer.TimeoutError:
            return
        finally:
            self._waiting.discard(waiting)

    def _wake(self) -> None:
        for waiting in list(self._waiting):
            waiting.callback(None)

    def _answer(self, **fields: Any) -> bytes:
        return msgspec.json.encode({**fields, "as-of": self._items.revision})


def _shown(change: Item | Removal) -> dict[str, Any]:
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
        raise _Refusal(STATUS_BAD)
    return str(values[0].decode())


def _body(request: Request, kind: Any) -> Any:
    try:
        return msgspec.json.decode(_content(request), type=kind)
    except msgspec.DecodeError as error:
        raise _Refusal(STATUS_BAD) from error


def _content(request: Request) -> bytes:
    return request.content.read() if request.content is not None else b""
