"""A stand-in backend server that holds shards by grants and reports what it ran."""

import json
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from functools import wraps
from typing import Any, cast, final

from klein import Klein
from pydantic import TypeAdapter
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer, IPullProducer, IReactorTime
from twisted.web.http import Request
from twisted.web.iweb import IRequest
from twisted.web.resource import getChildForRequest
from twisted.web.server import Request as SiteRequest
from zope.interface import implementer

from gentianwharf.infra import Grant, ServerReport
from gentianwharf.infra.wire import Nothing, OutcomeAnswer, ReleaseRequest, encode
from gentianwharf.relay import CallerRequest, CallerSite
from gentianwharf.topology import BackendServer

from ._call_id import repeat_call_id
from ._grants import GrantTable

# A server sheds requests beyond this number of waiting ones per slot.
MAX_WAITING_PER_SLOT = 8
# A grant of all 65,536 shards is smaller than this.
MAX_ORDER_BYTES = 2_000_000
CHUNK_BYTES = 65_536

_OrderHandler = Callable[[IRequest], Awaitable[bytes]]

_GRANT = TypeAdapter(Grant)
_REPORT = TypeAdapter(ServerReport)


@implementer(IConsumer)
class _BodyConsumer:
    """Counts the bytes of a body, and keeps its beginning, which holds an order."""

    def __init__(self) -> None:
        self.count = 0
        self.content = b""

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Ignore the producer: this consumer never pauses it."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Do nothing: no producer is registered."""

    def write(self, data: bytes) -> None:
        """Count the data, and keep it until ``MAX_ORDER_BYTES`` are reached."""
        self.count += len(data)
        if len(self.content) < MAX_ORDER_BYTES:
            self.content += data


@final
class ServerRequest(CallerRequest, SiteRequest):
    """A request that klein can route by its path."""

    # Keeps twisted from adding a Content-Type to responses without one.
    defaultContentType = None  # noqa: N815

    def process(self) -> None:
        """Route the request by its path."""
        SiteRequest.process(self)

    def set_head(self, method: bytes, uri: bytes, version: bytes) -> None:
        """Set method, target and version, and derive the path from the target."""
        super().set_head(method, uri, version)
        self.path = uri.split(b"?", 1)[0]


@final
class ServerSite(CallerSite):
    """A site that routes requests with klein before their bodies have arrived.

    It has the attributes that ``twisted.web.server.Request`` uses of its site.
    """

    displayTracebacks = False  # noqa: N815
    _parsePOSTFormSubmission = False

    def getResourceFor(self, request: Any) -> Any:  # noqa: N802
        """Return the resource that serves ``request``."""
        request.sitepath = list(request.prepath)
        return getChildForRequest(cast(Any, self.resource), request)


class _RefusedError(Exception):
    """The request is refused and has not run."""

    def __init__(self, *, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@final
@implementer(IPullProducer)
class _LargeResponse:
    """Writes a response body of any size in chunks, as fast as the client reads."""

    def __init__(self, *, request: Request, size_bytes: int) -> None:
        self.done: Deferred[None] = Deferred(lambda _: self.stopProducing())
        self._request = request
        self._remaining_bytes = size_bytes
        request.setHeader(b"Content-Length", str(size_bytes).encode())
        request.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next chunk."""
        chunk_bytes = min(CHUNK_BYTES, self._remaining_bytes)
        self._remaining_bytes -= chunk_bytes
        self._request.write(bytes(chunk_bytes))
        if not self._remaining_bytes:
            self._request.unregisterProducer()
            self.done.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Stop writing: the client has disconnected."""
        self._remaining_bytes = 0


@final
class StandInBackend:
    """One backend server with slots, grants and a record of idempotency keys.

    It responds with JSON that contains the server, the token of the request and the
    number of runs of its idempotency key; a repeated key is not run again. The
    response to a query of ``bytes=N`` is N bytes long instead.
    """

    def __init__(
        self, *, server: BackendServer, clock: IReactorTime, service_time_s: float = 0.0
    ) -> None:
        self.server = server
        self.service_time_s = service_time_s
        self.grants = GrantTable(
            started_s=clock.seconds(),
            knows_validity=server.knows_validity,
            gives_stamp=server.gives_stamp,
            checks_giver=server.checks_giver,
        )
        self.served = 0
        self._clock = clock
        self._runs: Counter[str] = Counter()
        self._busy = 0
        self._waiting: deque[Deferred[None]] = deque()
        self._running: Counter[int] = Counter()
        self._releasing: list[tuple[set[int], Deferred[None]]] = []
        self.klein = Klein()
        self.klein.url_map.merge_slashes = False
        self._add_routes()

    def site(self) -> CallerSite:
        """Return a site to listen with, which streams request bodies."""
        return ServerSite(
            resource=cast(Any, self.klein.resource()),
            reactor=self._clock,
            request_class=ServerRequest,
        )

    def _add_routes(self) -> None:
        route = self.klein.route
        for name in ("grant", "release", "report", "drain"):
            handler = getattr(self, f"_{name}")
            route(f"/_gentianwharf/{name}", methods=["POST"])(_with_call_id(handler))
        route("/", branch=True)(self._serve)

    # Orders: grant, release, report and drain.

    async def _grant(self, request: IRequest) -> bytes:
        grant = _GRANT.validate_json((await _receive(request)).content)
        outcome = self.grants.grant(grant, now_s=self._clock.seconds())
        return _json(request, encode(OutcomeAnswer(outcome=outcome)))

    async def _release(self, request: IRequest) -> bytes:
        order = ReleaseRequest.model_validate_json((await _receive(request)).content)
        outcome = self.grants.release(order.tokens)
        await self._wait_until_idle(set(order.tokens))
        return _json(request, encode(OutcomeAnswer(outcome=outcome)))

    async def _report(self, request: IRequest) -> bytes:
        # The connection closes after a response to a request whose body was not read,
        # and the next order sent on it would have an unknown outcome.
        await _receive(request)
        report = ServerReport(
            server=self.server.id,
            stamp_s=self._clock.seconds(),
            healthy=True,
            draining=self.grants.leaving,
            cold=False,
            load=self._busy / self.server.slots,
            held=self.grants.held(now_s=self._clock.seconds()),
        )
        return _json(request, _REPORT.dump_json(report))

    async def _drain(self, request: IRequest) -> bytes:
        await _receive(request)
        self.grants.leaving = True
        return _json(request, encode(Nothing()))

    async def _wait_until_idle(self, shards: set[int]) -> None:
        if any(self._running[shard] for shard in shards):
            idle: Deferred[None] = Deferred()
            self._releasing.append((shards, idle))
            await idle

    # Requests of callers.

    async def _serve(self, request: IRequest) -> bytes:
        http = cast(Request, request)
        request_id = _header(http, "gentianwharf-request-id") or ""
        http.setHeader(b"Gentianwharf-Request-Id", request_id.encode())
        shard = _header(http, "gentianwharf-shard")
        try:
            self._check(http, shard)
            await self._acquire_slot()
        except _RefusedError as refusal:
            return _refuse(http, refusal)
        number = int(shard) if shard is not None else -1
        self._running[number] += 1
        try:
            # The deadline or the grant may have ended while waiting for a slot.
            self._check(http, shard)
            return await self._run(http, request_id)
        except _RefusedError as refusal:
            return _refuse(http, refusal)
        finally:
            self._release_slot()
            self._running[number] -= 1
            self._complete_releases()

    def _check(self, request: Request, shard: str | None) -> None:
        deadline = _header(request, "gentianwharf-deadline-unix-ms")
        if deadline is not None and time.time() * 1000 > int(deadline):
            raise _RefusedError(status=503, reason="the deadline has passed")
        if shard is None:
            if self.grants.leaving:
                raise _RefusedError(status=503, reason="leaving")
            return
        token = int(_header(request, "gentianwharf-token") or 0)
        if not self.grants.would_run(
            shard=int(shard), token=token, now_s=self._clock.seconds()
        ):
            raise _RefusedError(status=421, reason="not the owner")

    async def _run(self, request: Request, request_id: str) -> bytes:
        body_bytes = (await _receive(request)).count
        if self.service_time_s:
            await _sleep(self._clock, self.service_time_s)
        self.served += 1
        size = request.uri.rpartition(b"?bytes=")[2]
        if size.isdigit():
            await _LargeResponse(request=request, size_bytes=int(size)).done
            return b""
        idempotency_key = _header(request, "idempotency-key")
        if idempotency_key is not None and self._runs[idempotency_key] == 0:
            self._runs[idempotency_key] += 1
        answer = {
            "service": self.server.service,
            "server": self.server.id,
            "key": _header(request, "gentianwharf-key"),
            "token": _header(request, "gentianwharf-token"),
            "request_id": request_id,
            "runs": self._runs[idempotency_key] if idempotency_key is not None else 1,
            "body_bytes": body_bytes,
        }
        return _json(request, json.dumps(answer).encode())

    async def _acquire_slot(self) -> None:
        if self._busy < self.server.slots:
            self._busy += 1
            return
        if len(self._waiting) >= MAX_WAITING_PER_SLOT * self.server.slots:
            raise _RefusedError(status=503, reason="shedding")
        slot: Deferred[None] = Deferred(self._waiting.remove)
        self._waiting.append(slot)
        await slot

    def _release_slot(self) -> None:
        if self._waiting:
            self._waiting.popleft().callback(None)
        else:
            self._busy -= 1

    def _complete_releases(self) -> None:
        pending: list[tuple[set[int], Deferred[None]]] = []
        for shards, idle in self._releasing:
            if any(self._running[shard] for shard in shards):
                pending.append((shards, idle))
            else:
                idle.callback(None)
        self._releasing = pending


def _with_call_id(handler: _OrderHandler) -> _OrderHandler:
    @wraps(handler)
    async def handle(request: IRequest) -> bytes:
        repeat_call_id(request)
        return await handler(request)

    return handle


def _json(request: Any, body: bytes) -> bytes:
    request.setHeader(b"Content-Type", b"application/json")
    request.setHeader(b"Content-Length", str(len(body)).encode())
    return body


def _refuse(request: Request, refusal: _RefusedError) -> bytes:
    request.setResponseCode(refusal.status)
    request.setHeader(b"Gentianwharf-Run", b"not-run")
    request.setHeader(b"Content-Length", b"0")
    return b""


def _header(request: Request, name: str) -> str | None:
    value = request.getHeader(name)
    return str(value) if value is not None else None


async def _receive(request: Any) -> _BodyConsumer:
    body = _BodyConsumer()
    if isinstance(request, CallerRequest) and request.body is not None:
        upload = request.body.open_upload(on_abort=request.abort)
        await upload.startProducing(body)
    return body


def _sleep(clock: IReactorTime, delay_s: float) -> Deferred[None]:
    done: Deferred[None] = Deferred()
    clock.callLater(delay_s, done.callback, None)
    return done
