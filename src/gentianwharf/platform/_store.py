"""HTTP client of the platform's store: items, conditions, leases and watches."""

import socket
from collections.abc import Callable, Mapping
from typing import Any, TypeVar, final
from urllib.parse import urlencode

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgent, IResponse

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.http_agent import BytesBody, ip_agent
from gentianwharf.logs import log
from gentianwharf.statuses import error_text
from gentianwharf.store import (
    CallAbandonedError,
    Change,
    Events,
    HistoryGoneError,
    Item,
    LeaseEndedError,
    Page,
    Removal,
)

from ._overdue_calls import PROBE_TIMEOUT_S, OverdueCalls, PendingCall
from ._store_messages import (
    ChangeResult,
    ItemRow,
    LeaseResult,
    RangeResult,
    WatchResult,
    decode_item,
)
from ._store_response import CALL_TIMEOUT_S, MAX_BODY_S, TimeLimit, body_reader
from ._units import decode_time_s, encode_time, encode_value

Body = TypeVar("Body")

RENEW_TIMEOUT_S = 0.7
"""Timeout of a lease renewal. If the response is lost, another renewal must follow
while the lease still holds; a slow store takes a quarter of a second."""

CONNECT_TIMEOUT_S = 0.6
"""An unreachable store doesn't respond at all. The kernel retransmits a lost packet
only after about a second; a new connection attempt is made sooner."""

PAGE_TIMEOUT_S = 1.2
"""Time until a page of items begins to arrive while the store answers nothing else."""

WATCH_GRACE_S = 1.0
"""Time that a response may take beyond the watch's own wait while the store answers
nothing else."""

PROBE_KEY = "gentianwharf/probe"
"""Key that has no item, read to check whether the store answers."""

IDLE_TIMEOUT_S = 10.0
MAX_IDLE_CONNECTIONS = 4

# A connection to the store may stop delivering data without being closed. A watch that
# waits for many seconds would not detect that; keep-alive probes after an idle second
# end such a connection within three seconds.
KEEPALIVE = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
}

RANGE_STEP = "kv-range"

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503
UNAVAILABLE_STATUSES = frozenset({STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE})


@final
class PlatformStore:
    """Makes calls to the store, each with a timeout.

    The methods raise ``PeerUnavailableError`` if the call had no effect, and
    ``OutcomeUnknownError`` if it may have taken effect or may still do so seconds
    later. Reads raise ``CallAbandonedError`` if the store answers later calls first.
    """

    def __init__(self, *, reactor: Any, address: str) -> None:
        self.address = address
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S  # type: ignore[assignment]
        # A repeated call may take effect twice; the caller decides which to repeat.
        pool.retryAutomatically = False
        self._agent = ip_agent(
            reactor=reactor,
            pool=pool,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            wrap_endpoint=_KeepaliveEndpoint,
        )
        # Connections that were opened before an outage may never deliver an answer.
        self._probe_agent = ip_agent(
            reactor=reactor,
            pool=HTTPConnectionPool(reactor, persistent=False),
            connect_timeout_s=PROBE_TIMEOUT_S,
        )
        self._overdue = OverdueCalls(reactor=reactor, send_probe=self._send_probe)

    def set_probe_interval_s(self, interval_s: float) -> None:
        """Set how often a probe is sent while a read is overdue."""
        self._overdue.probe_interval_s = interval_s

    async def items(self, prefix: str) -> Page:
        """Return all items below ``prefix`` and the revision of the first page.

        The pages are not a snapshot; a watch from that revision returns the changes
        made in the meantime.
        """
        found: list[Item] = []
        after = ""
        revision: int | None = None
        while True:
            query = {"prefix": prefix, **({"after": after} if after else {})}
            body = await self._call(
                "GET", "/v1/kv-range", query=query, timeout_s=PAGE_TIMEOUT_S
            )
            page = self._decode("range", body, RangeResult)
            found += [decode_item(item) for item in page.items]
            revision = page.as_of if revision is None else revision
            if not page.has_more or not page.items:
                return Page(items=tuple(found), revision=revision)
            after = page.items[-1].key

    async def item(self, key: str) -> Item | None:
        """Return an item, or None if it doesn't exist."""
        try:
            body = await self._call("GET", "/v1/kv-key", query={"key": key})
        except LeaseEndedError:
            # 404 stands for a missing item as well as for a missing lease.
            return None
        return decode_item(self._decode("item", body, ItemRow))

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_s: float,
        on_response_start: Callable[[], None] = lambda: None,
    ) -> Events:
        """Return the changes below ``prefix``, waiting up to ``wait_s`` for one.

        Raises ``HistoryGoneError`` if the store no longer has the changes since
        ``after_revision``; the items must then be read again.
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
            wait_s=wait_s,
            on_response_start=on_response_start,
        )
        watched = self._decode("watch", body, WatchResult)
        changes = tuple(
            Removal(key=event.key, revision=event.revision)
            if event.deleted
            else decode_item(event)
            for event in watched.events
        )
        return Events(changes=changes, revision=watched.as_of)

    async def change(self, change: Change) -> int:
        """Apply a change and return its revision.

        Raises ``ConflictError`` if one of its conditions doesn't hold.
        """
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
        content = await self._call("POST", "/v1/kv-txn", body=body)
        return self._decode("change", content, ChangeResult).revision

    async def open_lease(self, duration_s: float) -> int:
        """Open a lease and return its id.

        The duration is counted from the arrival of the call at the store.
        """
        body = {"ttl_time": encode_time(duration_s)}
        content = await self._call("POST", "/v1/kv-lease", body=body)
        return self._decode("lease", content, LeaseResult).lease

    async def renew_lease(self, lease_id: int) -> float:
        """Renew a lease for its full duration and return that in seconds."""
        content = await self._call(
            "POST", f"/v1/kv-keep/{lease_id}", body={}, timeout_s=RENEW_TIMEOUT_S
        )
        return decode_time_s(self._decode("renew", content, LeaseResult).ttl_time)

    async def end_lease(self, lease_id: int) -> None:
        """End a lease, which removes its items at once."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease_id}")

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: Mapping[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        wait_s: float = 0.0,
        on_response_start: Callable[[], None] = lambda: None,
    ) -> bytes:
        """Make a call; a watch is answered after ``wait_s`` if nothing changes."""
        step = path.removeprefix("/v1/").partition("/")[0]
        is_read = method == "GET"
        limit = TimeLimit(
            reactor=self._reactor,
            timeout_s=timeout_s,
            # Reads may return large values; other responses have a few bytes.
            max_body_s=MAX_BODY_S if is_read else 0.0,
        )
        sent_s = self._reactor.seconds()
        pending = Deferred.fromCoroutine(
            self._request(self._agent, method, path, query, body, limit)
        )
        limit.start(pending)
        call: PendingCall | None = None
        if is_read:
            call = self._overdue.add(
                step, pending, wait_s=wait_s, may_be_slow=step == RANGE_STEP
            )

            def note_response_start() -> None:
                self._overdue.remove(call)
                on_response_start()

            limit.on_response_start = note_response_start
        try:
            status, content = await pending
        except Exception as error:
            if call is not None and call.is_abandoned:
                raise CallAbandonedError(
                    "expected a response, got one to a later call",
                    step=step,
                    peer=self.address,
                ) from error
            self._overdue.note_failure(sent_s=sent_s)
            if isinstance(error, ConnectError | ConnectingCancelledError):
                raise PeerUnavailableError(
                    f"can't connect: {type(error).__name__}",
                    step=step,
                    peer=self.address,
                ) from error
            raise OutcomeUnknownError(
                f"expected a response within {timeout_s} s, got {error_text(error)}",
                step=step,
                peer=self.address,
            ) from error
        finally:
            if call is not None:
                self._overdue.remove(call)
        if status not in UNAVAILABLE_STATUSES:
            self._overdue.note_answer(step, sent_s=sent_s)
        if status != STATUS_OK:
            raise self._error(step, status, content)
        return content

    def _send_probe(self) -> None:
        """Send a read over a new connection to check whether the store is available."""
        sent_s = self._reactor.seconds()
        limit = TimeLimit(
            reactor=self._reactor, timeout_s=PROBE_TIMEOUT_S, max_body_s=0.0
        )
        # Such reads are not counted toward the store's rate limit.
        query = {"key": PROBE_KEY, "stale-ok": "1"}
        pending = Deferred.fromCoroutine(
            self._request(self._probe_agent, "GET", "/v1/kv-key", query, None, limit)
        )
        limit.start(pending)

        def note_end(is_answered: bool) -> None:
            self._overdue.note_probe(sent_s=sent_s, is_answered=is_answered)

        pending.addCallbacks(
            lambda response: note_end(response[0] not in UNAVAILABLE_STATUSES),
            lambda failure: note_end(False),
        )
        pending.addErrback(
            lambda failure: log.error("probing failed: {}", failure.getTraceback())
        )

    async def _request(
        self,
        agent: IAgent,
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
        response: IResponse = await agent.request(
            method.encode(), target.encode(), headers, producer
        )
        limit.on_response_start()
        reader = body_reader(on_chunk=limit.extend)
        response.deliverBody(reader)
        return response.code, await reader.done

    def _error(self, step: str, status: int, content: bytes) -> GentianwharfError:
        error_types: dict[int, type[GentianwharfError]] = {
            STATUS_NOT_FOUND: LeaseEndedError,
            STATUS_GONE: HistoryGoneError,
            STATUS_CONDITION_FAILED: ConflictError,
            STATUS_TOO_MANY_REQUESTS: PeerUnavailableError,
            STATUS_UNAVAILABLE: PeerUnavailableError,
        }
        error_type = error_types.get(status, RefusedError)
        text = content[:200].decode("utf-8", "replace")
        return error_type(
            f"the store responded with {status}: {text}", step=step, peer=self.address
        )

    def _decode(self, step: str, body: bytes, body_type: type[Body]) -> Body:
        try:
            return msgspec.json.decode(body, type=body_type)
        except (msgspec.DecodeError, RecursionError) as error:
            raise OutcomeUnknownError(
                f"can't decode the store's response: {error}",
                step=step,
                peer=self.address,
            ) from error


@final
class _KeepaliveEndpoint:
    """Enables TCP keep-alive on each connection that an endpoint opens."""

    def __init__(self, endpoint: IStreamClientEndpoint) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Any:
        """Connect and enable keep-alive probes."""
        connecting: Any = self._endpoint.connect(factory)
        return connecting.addCallback(_enable_keepalive)


def _enable_keepalive(protocol: Any) -> Any:
    transport = protocol.transport
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE.items():
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
    return protocol
