"""Sends requests over persistent connections with Twisted's HTTP client."""

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

# Responses of the stand-in servers have a few hundred bytes; a longer one is a fault.
MAX_BODY_BYTES = 1_000_000


@final
class SendError(Exception):
    """No response was received; ``verdict`` is the outcome for the caller."""

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class Sender(TypingProtocol):
    """Sends one request and waits for its response."""

    async def send(self, request: PlannedRequest) -> ReceivedResponse:
        """Return the response, or raise ``SendError``."""


@final
class HttpSender:
    """Sends each request once over persistent HTTP/1.1 connections.

    It uses the relay's connections, which never retry a request by themselves. An
    ``Agent`` takes a third more CPU time, with which the load tool itself limited
    runs above 400 requests a second.
    """

    def __init__(
        self, *, reactor: Any, target: Target, seed: int, connections: int
    ) -> None:
        self._clock: IReactorTime = reactor
        # The random part keeps a later run with the same seed from receiving the
        # responses that servers and the router retain for the keys of an earlier run.
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
        """Send one request; its time-out covers the complete response."""
        response = Deferred.fromCoroutine(self._exchange(request))
        response.addTimeout(request.kind.timeout_s, self._clock)
        try:
            return await response
        except (defer.TimeoutError, CancelledError) as error:
            raise SendError("timed out", verdict=Verdict.TIMEOUT) from error
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
            idempotency_key = f"{self._key_prefix}-{request.number}"
            headers.addRawHeader("Idempotency-Key", idempotency_key)
        return headers

    def close(self) -> None:
        """Close the persistent connections."""
        self._connections.close()


@final
@implementer(IBodyProducer)
class _Body:
    """Writes a body in a single call; those of the mixes have at most 256 KiB."""

    def __init__(self, *, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body has already been written."""

    def resumeProducing(self) -> None:
        """Do nothing: the body has already been written."""

    def stopProducing(self) -> None:
        """Do nothing: the body has already been written."""


def _header(response: IResponse, name: str) -> str:
    values = response.headers.getRawHeaders(name)
    return values[0] if values else ""


@final
class _BodyReader(Protocol):
    """Collects a body of limited size; ``done`` fires with whether it is complete."""

    def __init__(self, *, cancel: Callable[[], None]) -> None:
        self.done: Deferred[bool] = Deferred(lambda _: cancel())
        self.parts: list[bytes] = []
        self._read_bytes = 0

    def dataReceived(self, data: bytes) -> None:
        self._read_bytes += len(data)
        if self._read_bytes <= MAX_BODY_BYTES:
            self.parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        complete = reason.check(ResponseDone) is not None
        if not self.done.called:
            self.done.callback(complete and self._read_bytes <= MAX_BODY_BYTES)
