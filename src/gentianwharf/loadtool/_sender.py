"""Sending of one request over kept connections, by Twisted's client."""

from io import BytesIO
from typing import Protocol as TypingProtocol
from typing import final

from twisted.internet import defer
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from ._judge import Received, Verdict
from ._plan import PlannedRequest
from ._target import Target

CONNECT_TIMEOUT_S = 5.0
# Answers of the stand-in servers are some hundred bytes; more would be a fault.
MOST_BODY_BYTES = 1_000_000


@final
class SendError(Exception):
    """No answer came; ``verdict`` says what that means to the caller."""

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class Sender(TypingProtocol):
    """Sends one request and waits for its answer."""

    async def send(self, request: PlannedRequest) -> Received:
        """Return the answer, or raise ``SendError``."""


@final
class AgentSender:
    """Sends over a pool of kept HTTP/1.1 connections, without retries.

    The pool would send a request again on a kept connection that turned out to be
    closed; a load tool that must see every loss can't let it.
    """

    def __init__(
        self, *, reactor: IReactorTime, target: Target, seed: int, connections: int
    ) -> None:
        self._clock = reactor
        self._seed = seed
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = connections
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
        host = f"[{target.host}]" if ":" in target.host else target.host
        self._base = f"http://{host}:{target.port}".encode()

    async def send(self, request: PlannedRequest) -> Received:
        """Send one request; the caller's limit covers the whole answer."""
        waiting = Deferred.fromCoroutine(self._exchange(request))
        waiting.addTimeout(request.kind.limit_s, self._clock)
        try:
            return await waiting
        except (defer.TimeoutError, CancelledError) as error:
            raise SendError("limit passed", verdict=Verdict.TIMEOUT) from error
        except ConnectError as error:
            raise SendError(str(error), verdict=Verdict.NOT_CONNECTED) from error
        except SendError:
            raise
        except Exception as error:
            raise SendError(
                f"{type(error).__name__}: {error}", verdict=Verdict.BROKEN
            ) from error

    async def _exchange(self, request: PlannedRequest) -> Received:
        kind = request.kind
        body = None
        if kind.body_bytes:
            body = FileBodyProducer(BytesIO(bytes(kind.body_bytes)))
        response = await self._agent.request(
            kind.method.encode(),
            self._base + request.path.encode(),
            headers=self._headers(request),
            bodyProducer=body,
        )
        reader = _BodyReader()
        response.deliverBody(reader)
        whole = await reader.done
        return Received(
            status=response.code,
            content_type=_header(response, "content-type"),
            request_id=_header(response, "gentianwharf-request-id"),
            body=b"".join(reader.parts),
            whole=whole,
        )

    def _headers(self, request: PlannedRequest) -> Headers:
        headers = Headers({"Accept": ["application/json"]})
        if request.kind.once:
            name = f"load-{self._seed}-{request.number}"
            headers.addRawHeader("Idempotency-Key", name)
        return headers

    async def close(self) -> None:
        """Close the kept connections."""
        await self._pool.closeCachedConnections()


def _header(response: IResponse, name: str) -> str:
    values = response.headers.getRawHeaders(name)
    return values[0] if values else ""


@final
class _BodyReader(Protocol):
    """Gathers a bounded body; ``done`` says whether it came whole."""

    def __init__(self) -> None:
        self.done: Deferred[bool] = Deferred()
        self.parts: list[bytes] = []
        self._read_bytes = 0

    def dataReceived(self, data: bytes) -> None:
        self._read_bytes += len(data)
        if self._read_bytes <= MOST_BODY_BYTES:
            self.parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        whole = reason.check(ResponseDone) is not None
        self.done.callback(whole and self._read_bytes <= MOST_BODY_BYTES)
