"""The platform's store: items, conditions, leases and watches over HTTP."""

import socket
from collections.abc import Mapping
from typing import Any, TypeVar, final
from urllib.parse import urlencode

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.http_agent import BytesBody, ip_agent
from gentianwharf.logs import log
from gentianwharf.store import (
    Change,
    Events,
    HistoryGoneError,
    Item,
    LeaseEndedError,
    Page,
    Removal,
)

from ._store_answer import CALL_TIMEOUT_S, MOST_BODY_S, BodyReader, TimeLimit
from ._units import decode_time_s, decode_value, encode_time, encode_value

Body = TypeVar("Body")

RENEW_TIMEOUT_S = 0.7
"""Of a lease's renewal: when its answer is lost another one must follow in time, and a
store that is slow takes a quarter of a second."""

CONNECT_TIMEOUT_S = 0.6
"""A cut-off store does not answer at all; the kernel repeats a lost packet only after
about a second, and a new try comes sooner."""

PAGE_TIMEOUT_S = 1.2
"""Until a page of items begins to arrive. A host that is back from an outage reads them
all, and has to have them within three seconds of its end."""

WATCH_GRACE_S = 1.0
"""What an answer may take beyond the time that the watch was to wait: a store that is
slow takes half a second."""

IDLE_CONNECTION_S = 10.0
CONNECTIONS = 4

# A connection to the store may fall silent for good. A watch waits for many seconds
# and would not notice: probes after a second without a byte end it within three.
KEEPALIVE = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
}

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503


class _Item(msgspec.Struct):
    key: str
    revision: int
    # Missing from the event of a removal.
    value: str | None = None
    lease: int = 0
    deleted: bool = False


class _Range(msgspec.Struct, rename="kebab"):
    items: tuple[_Item, ...]
    has_more: bool
    # The store's revision when it answered.
    as_of: int


class _Watch(msgspec.Struct, rename="kebab"):
    events: tuple[_Item, ...]
    as_of: int


class _Written(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct):
    # How long the lease lasts, as text with a unit.
    ttl_time: str
    lease: int = 0


@final
class PlatformStore:
    """Calls to the store, each bounded in time.

    ``PeerUnavailableError``: the store did nothing. ``OutcomeUnknownError``: the call
    may have taken effect, or may still do so seconds later.
    """

    def __init__(self, *, reactor: Any, address: str) -> None:
        self.address = address
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = CONNECTIONS
        pool.cachedConnectionTimeout = IDLE_CONNECTION_S  # type: ignore[assignment]
        # A repeated call may take effect twice; who calls knows which may repeat.
        pool.retryAutomatically = False
        self._agent = ip_agent(
            reactor=reactor,
            pool=pool,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            wrap_endpoint=_ProbedEndpoint,
        )

    async def items(self, prefix: str) -> Page:
        """Return all items below ``prefix``, as of the first page's revision.

        Pages are no snapshot: changes after the first revision come by a watch.
        """
        found: list[Item] = []
        after = ""
        revision: int | None = None
        while True:
            query = {"prefix": prefix, **({"after": after} if after else {})}
            body = await self._call(
                "GET", "/v1/kv-range", query=query, timeout_s=PAGE_TIMEOUT_S
            )
            page = self._decode("range", body, _Range)
            found += [_item(one) for one in page.items]
            revision = page.as_of if revision is None else revision
            if not page.has_more or not page.items:
                return Page(items=tuple(found), revision=revision)
            after = page.items[-1].key

    async def item(self, key: str) -> Item | None:
        """Return an item, None if there is none."""
        try:
            body = await self._call("GET", "/v1/kv-key", query={"key": key})
        except LeaseEndedError:
            # The store's word for whatever it doesn't have.
            return None
        return _item(self._decode("item", body, _Item))

    async def watch(self, prefix: str, *, after_revision: int, wait_s: float) -> Events:
        """Return what changes below ``prefix``, waiting for something to change.

        Raises ``HistoryGoneError`` when the items have to be read anew.
        """
        body = await self._call(
            "GET",
            "/v1/kv-watch",
            query={
                "prefix": prefix,
                "after": str(after_revision),
                "wait-ms": str(round(wait_s * 1000)),
            },
            timeout_s=wait_s + WATCH_GRACE_S,
        )
        watched = self._decode("watch", body, _Watch)
        changes = tuple(
            Removal(key=one.key, revision=one.revision) if one.deleted else _item(one)
            for one in watched.events
        )
        return Events(changes=changes, revision=watched.as_of)

    async def change(self, change: Change) -> int:
        """Make a change and return its revision; ``ConflictError`` on a condition."""
        body = {
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in change.expected.items()
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": encode_value(put.value),
                    "lease": put.lease_id,
                }
                for put in change.puts
            ],
            "remove": list(change.removals),
        }
        answer = await self._call("POST", "/v1/kv-txn", body=body)
        return self._decode("change", answer, _Written).revision

    async def open_lease(self, duration_s: float) -> int:
        """Open a lease that lasts ``duration_s`` from the arrival of the call."""
        body = {"ttl_time": encode_time(duration_s)}
        answer = await self._call("POST", "/v1/kv-lease", body=body)
        return self._decode("lease", answer, _Lease).lease

    async def renew_lease(self, lease_id: int) -> float:
        """Let a lease begin anew and return its duration in seconds."""
        answer = await self._call(
            "POST", f"/v1/kv-keep/{lease_id}", body={}, timeout_s=RENEW_TIMEOUT_S
        )
        return decode_time_s(self._decode("renew", answer, _Lease).ttl_time)

    async def end_lease(self, lease_id: int) -> None:
        """End a lease; its items go at once."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease_id}")

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: Mapping[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> bytes:
        step = path.removeprefix("/v1/").partition("/")[0]
        limit = TimeLimit(
            reactor=self._reactor,
            timeout_s=timeout_s,
            # What reads may bring a large value; all else is answered in a few bytes.
            most_body_s=MOST_BODY_S if method == "GET" else 0.0,
        )
        asked = Deferred.fromCoroutine(self._ask(method, path, query, body, limit))
        limit.start(asked)
        try:
            status, answer = await asked
        except (ConnectError, ConnectingCancelledError) as error:
            raise PeerUnavailableError(
                f"can't connect: {type(error).__name__}", step=step, peer=self.address
            ) from error
        except Exception as error:
            raise OutcomeUnknownError(
                f"expected an answer within {timeout_s} s, got {type(error).__name__}",
                step=step,
                peer=self.address,
            ) from error
        if status != STATUS_OK:
            raise self._error(step, status, answer)
        return answer

    async def _ask(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None,
        body: Mapping[str, Any] | None,
        limit: TimeLimit,
    ) -> tuple[int, bytes]:
        target = f"http://{self.address}{path}"
        if query:
            target += "?" + urlencode(query)
        headers = Headers({b"Content-Type": [b"application/json"]})
        producer = None
        if body is not None:
            producer = BytesBody(body=msgspec.json.encode(body))
        response: IResponse = await self._agent.request(
            method.encode(), target.encode(), headers, producer
        )
        reader = BodyReader(on_piece=limit.extend)
        response.deliverBody(reader)
        return response.code, await reader.done

    def _error(self, step: str, status: int, answer: bytes) -> GentianwharfError:
        known: dict[int, type[GentianwharfError]] = {
            STATUS_NOT_FOUND: LeaseEndedError,
            STATUS_GONE: HistoryGoneError,
            STATUS_CONDITION_FAILED: ConflictError,
            STATUS_TOO_MANY: PeerUnavailableError,
            STATUS_UNAVAILABLE: PeerUnavailableError,
        }
        kind = known.get(status, RefusedError)
        text = answer[:200].decode("utf-8", "replace")
        return kind(
            f"the store answered {status}: {text}", step=step, peer=self.address
        )

    def _decode(self, step: str, body: bytes, kind: type[Body]) -> Body:
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.DecodeError as error:
            raise OutcomeUnknownError(
                f"the store's answer doesn't fit: {error}", step=step, peer=self.address
            ) from error


def _item(one: _Item) -> Item:
    return Item(
        key=one.key,
        value=_value(one),
        revision=one.revision,
        lease_id=one.lease,
    )


def _value(one: _Item) -> bytes:
    try:
        return decode_value(one.value or "")
    except ValueError as error:
        # Raised from here it would cost every other item of the answer, at each try.
        # Without bytes the readers of this key refuse it, and use no older value.
        log.error(
            "value can't be decoded: {}",
            error,
            extra={"step": "read-value", "peer": one.key, "revision": one.revision},
        )
        return b""


@final
class _ProbedEndpoint:
    """Lets the kernel probe each connection that an endpoint makes."""

    def __init__(self, endpoint: IStreamClientEndpoint) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Any:
        """Connect, and turn probes on."""
        connected: Any = self._endpoint.connect(factory)
        return connected.addCallback(_probe)


def _probe(protocol: Any) -> Any:
    transport = protocol.transport
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE.items():
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
    return protocol
