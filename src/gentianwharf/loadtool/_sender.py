"""Sending of one request over kept connections, by Twisted's client."""

from collections.abc import Callable
from random import SystemRandom
from typing import Any, final
from typing import Protocol as TypingProtocol

from twisted.internet import defer
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.interfaces import IConsumer, IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer, IResponse
from zope.interface import implementer

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.relay import ServerConnectionPool
from gentianwharf.topology import BackendServer

from ._check_response import ReceivedResponse, Verdict
from ._plan import PlannedRequest
from ._target import Target

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

    async def send(self, request: PlannedRequest) -> ReceivedResponse:
        """Return the answer, or raise ``SendError``."""


@final
class HttpSender:
    """Sends over kept HTTP/1.1 connections, each request once.

    The connections are those of the relay, which send no request again by themselves;
    an ``Agent`` would cost this tool a third more of the processor, and the tool was
    what limited runs above 400 requests a second.
    """

    def __init__(
        self, *, reactor: Any, target: Target, seed: int, connections: int
    ) -> None:
        self._clock: IReactorTime = reactor
        # A run of the same seed soon after would else get the answers that servers
        # and the router keep for the keys of the one before.
        self._key_prefix = f"load-{seed}-{SystemRandom().getrandbits(48):012x}"
        host = f"[{target.host}]" if ":" in target.host else target.host
        address = f"{host}:{target.port}"
        self._host = address.encode()
        server = BackendServer(
            id="target",
            service="",
            domain="",
            address=address,
            slots=connections,
            connections=connections,
        )
        self._connections = ServerConnectionPool(server=server, reactor=reactor)

    async def send(self, request: PlannedRequest) -> ReceivedResponse:
        """Send one request; the caller's limit covers the whole answer."""
        waiting = Deferred.fromCoroutine(self._exchange(request))
        waiting.addTimeout(request.kind.timeout_s, self._clock)
        try:
            return await waiting
        except (defer.TimeoutError, CancelledError) as error:
            raise SendError("limit passed", verdict=Verdict.TIMEOUT) from error
        except PeerUnavailableError as error:
            raise SendError(str(error), verdict=Verdict.NOT_CONNECTED) from error
        except Exception as error:
            raise SendError(
                f"{type(error).__name__}: {error}", verdict=Verdict.BROKEN
            ) from error

    async def _exchange(self, request: PlannedRequest) -> ReceivedResponse:
        kind = request.kind
        connection = await self._connections.acquire()
        response = await connection.send_request(
            method=kind.method.encode(),
            uri=request.path.encode(),
            headers=self._headers(request),
            body=_Body(body=bytes(kind.body_bytes)) if kind.body_bytes else None,
        )
        reader = _BodyReader(cancel=connection.abort_now)
        response.deliverBody(reader)
        complete = await reader.done
        return ReceivedResponse(
            status=response.code,
            content_type=_header(response, "content-type"),
            request_id=_header(response, "gentianwharf-request-id"),
            body=b"".join(reader.parts),
            complete=complete,
        )

    def _headers(self, request: PlannedRequest) -> Headers:
        headers = Headers({b"Host": [self._host], b"Accept": [b"application/json"]})
        if request.kind.at_most_once:
            name = f"{self._key_prefix}-{request.number}"
            headers.addRawHeader("Idempotency-Key", name)
        return headers

    def close(self) -> None:
        """Close the kept connections."""
        self._connections.close()


@final
@implementer(IBodyProducer)
class _Body:
    """Writes a body in one go; those of the mixes are 256 KiB at most."""

    def __init__(self, *, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Nothing is left to pause."""

    def resumeProducing(self) -> None:
        """Nothing is left to resume."""

    def stopProducing(self) -> None:
        """Nothing is left to stop."""


def _header(response: IResponse, name: str) -> str:
    values = response.headers.getRawHeaders(name)
    return values[0] if values else ""


@final
class _BodyReader(Protocol):
    """Gathers a bounded body; ``done`` says whether it came whole."""

    def __init__(self, *, cancel: Callable[[], None]) -> None:
        self.done: Deferred[bool] = Deferred(lambda _: cancel())
        self.parts: list[bytes] = []
        self._read_bytes = 0

    def dataReceived(self, data: bytes) -> None:
        self._read_bytes += len(data)
        if self._read_bytes <= MOST_BODY_BYTES:
            self.parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        complete = reason.check(ResponseDone) is not None
        if not self.done.called:
            self.done.callback(complete and self._read_bytes <= MOST_BODY_BYTES)
