"""A stand-in backend server: holds shards by grant and says who served whom."""

import json
import time
from collections import Counter, deque
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

from ._grants import GrantTable

# Waiting requests per slot beyond which a server sheds.
MOST_WAITING_PER_SLOT = 8
# A grant of all 65,536 shards is below this.
MOST_ORDER_BYTES = 2_000_000
PIECE_BYTES = 65_536

_GRANT = TypeAdapter(Grant)
_REPORT = TypeAdapter(ServerReport)


@implementer(IConsumer)
class _Received:
    """Counts a body, and keeps the beginning of it for orders."""

    def __init__(self) -> None:
        self.count = 0
        self.kept = b""

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Need no producer: nothing here is ever full."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Need no producer."""

    def write(self, data: bytes) -> None:
        """Count, and keep."""
        self.count += len(data)
        if len(self.kept) < MOST_ORDER_BYTES:
            self.kept += data


@final
class ServerRequest(CallerRequest, SiteRequest):
    """A request whose path klein may route by."""

    # Keeps twisted from adding a Content-Type to responses without one.
    defaultContentType = None  # noqa: N815

    def process(self) -> None:
        """Route the request by its path."""
        SiteRequest.process(self)

    def set_head(self, method: bytes, uri: bytes, version: bytes) -> None:
        """Take method, target and version."""
        super().set_head(method, uri, version)
        self.path = uri.split(b"?", 1)[0]


@final
class ServerSite(CallerSite):
    """A site that routes requests with klein before their bodies have arrived.

    Provides what ``twisted.web.server.Request`` expects of its site.
    """

    displayTracebacks = False  # noqa: N815
    _parsePOSTFormSubmission = False

    def getResourceFor(self, request: Any) -> Any:  # noqa: N802
        """Return the resource that serves ``request``."""
        request.sitepath = list(request.prepath)
        return getChildForRequest(cast(Any, self.resource), request)


class _RefusedError(Exception):
    """A request that is refused without running it."""

    def __init__(self, *, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@final
@implementer(IPullProducer)
class _LargeAnswer:
    """Writes an answer of any size in pieces, at the reader's pace."""

    def __init__(self, *, request: Request, size_bytes: int) -> None:
        self.done: Deferred[None] = Deferred(lambda _: self.stopProducing())
        self._request = request
        self._left_bytes = size_bytes
        request.setHeader(b"Content-Length", str(size_bytes).encode())
        request.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next piece."""
        piece_bytes = min(PIECE_BYTES, self._left_bytes)
        self._left_bytes -= piece_bytes
        self._request.write(bytes(piece_bytes))
        if not self._left_bytes:
            self._request.unregisterProducer()
            self.done.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Write no more: the reader is gone."""
        self._left_bytes = 0


@final
class StandInBackend:
    """One backend server with slots, grants and a memory of idempotency keys.

    Answers with JSON that says who ran the request under which token, and how often
    the server ran the idempotency key (a repeated key is not run again). A query of
    ``bytes=N`` is answered with that many bytes instead.
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
        self._released: list[tuple[set[int], Deferred[None]]] = []
        self.klein = Klein()
        self.klein.url_map.merge_slashes = False
        self._add_routes()

    def site(self) -> CallerSite:
        """Return what to listen with; bodies are read as they come."""
        return ServerSite(
            resource=cast(Any, self.klein.resource()),
            reactor=self._clock,
            request_class=ServerRequest,
        )

    def _add_routes(self) -> None:
        route = self.klein.route
        for name in ("grant", "release", "report", "drain"):
            handler = getattr(self, f"_{name}")
            route(f"/_gentianwharf/{name}", methods=["POST"])(handler)
        route("/", branch=True)(self._serve)

    # Orders.

    async def _grant(self, request: IRequest) -> bytes:
        grant = _GRANT.validate_json((await _receive(request)).kept)
        outcome = self.grants.grant(grant, now_s=self._clock.seconds())
        return _json(request, encode(OutcomeAnswer(outcome=outcome)))

    async def _release(self, request: IRequest) -> bytes:
        order = ReleaseRequest.model_validate_json((await _receive(request)).kept)
        outcome = self.grants.release(order.tokens)
        await self._drained(set(order.tokens))
        return _json(request, encode(OutcomeAnswer(outcome=outcome)))

    async def _report(self, request: IRequest) -> bytes:
        # A body that is left unread ends the connection with the answer, and the next
        # order on it would count as of unknown outcome.
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

    async def _drained(self, shards: set[int]) -> None:
        if any(self._running[shard] for shard in shards):
            done: Deferred[None] = Deferred()
            self._released.append((shards, done))
            await done

    # Requests.

    async def _serve(self, request: IRequest) -> bytes:
        http = cast(Request, request)
        request_id = _header(http, "gentianwharf-request-id") or ""
        http.setHeader(b"Gentianwharf-Request-Id", request_id.encode())
        shard = _header(http, "gentianwharf-shard")
        try:
            self._check(http, shard)
            await self._take_slot()
        except _RefusedError as refusal:
            return _refuse(http, refusal)
        number = int(shard) if shard is not None else -1
        self._running[number] += 1
        try:
            # Again, since the slot may have come late.
            self._check(http, shard)
            return await self._run(http, request_id)
        except _RefusedError as refusal:
            return _refuse(http, refusal)
        finally:
            self._give_slot()
            self._running[number] -= 1
            self._tell_released()

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
            await _LargeAnswer(request=request, size_bytes=int(size)).done
            return b""
        run_key = _header(request, "idempotency-key")
        if run_key is not None and self._runs[run_key] == 0:
            self._runs[run_key] += 1
        answer = {
            "service": self.server.service,
            "server": self.server.id,
            "key": _header(request, "gentianwharf-key"),
            "token": _header(request, "gentianwharf-token"),
            "request_id": request_id,
            "runs": self._runs[run_key] if run_key is not None else 1,
            "body_bytes": body_bytes,
        }
        return _json(request, json.dumps(answer).encode())

    async def _take_slot(self) -> None:
        if self._busy < self.server.slots:
            self._busy += 1
            return
        if len(self._waiting) >= MOST_WAITING_PER_SLOT * self.server.slots:
            raise _RefusedError(status=503, reason="shedding")
        turn: Deferred[None] = Deferred(self._waiting.remove)
        self._waiting.append(turn)
        await turn

    def _give_slot(self) -> None:
        if self._waiting:
            self._waiting.popleft().callback(None)
        else:
            self._busy -= 1

    def _tell_released(self) -> None:
        still: list[tuple[set[int], Deferred[None]]] = []
        for shards, done in self._released:
            if any(self._running[shard] for shard in shards):
                still.append((shards, done))
            else:
                done.callback(None)
        self._released = still


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


async def _receive(request: Any) -> _Received:
    received = _Received()
    if isinstance(request, CallerRequest) and request.body is not None:
        await request.body.startProducing(received)
    return received


def _sleep(clock: IReactorTime, delay_s: float) -> Deferred[None]:
    done: Deferred[None] = Deferred()
    clock.callLater(delay_s, done.callback, None)
    return done
