"""HTTP client of the admin port."""

import json
from collections.abc import Mapping
from typing import Any, Protocol, cast, final
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, ValidationError
from treq.client import HTTPClient
from twisted.internet import error as network
from twisted.web.client import HTTPConnectionPool

from gentianwharf.admin import ProblemType
from gentianwharf.errors import (
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
)
from gentianwharf.http_agent import ip_agent
from gentianwharf.statuses import invalid_status

CONNECT_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 10.0
WRITE_TIMEOUT_S = 35.0
"""Above the 28 s that a daemon may take to determine whether a write took effect while
the store does not answer."""


class HttpClient(Protocol):
    """The part of ``treq``'s client that is used here."""

    def request(self, method: str, url: str, **options: Any) -> Any:
        """Send a request; returns a Deferred of the response."""


def treq_client(reactor: Any) -> HttpClient:
    """Return a client on ``reactor``, which connects to IP addresses only."""
    agent = ip_agent(
        reactor=reactor,
        pool=HTTPConnectionPool(reactor, persistent=False),
        connect_timeout_s=CONNECT_TIMEOUT_S,
    )
    return cast(HttpClient, HTTPClient(agent))


class ProblemReply(BaseModel):
    """A problem document of the admin port, with its extension members."""

    model_config = ConfigDict(extra="allow", frozen=True)

    type: str
    status: int
    detail: str
    step: str | None = None
    peer: str | None = None

    @property
    def kind(self) -> str:
        """The last part of the type."""
        return self.type.rpartition(":")[2]

    def extension_member(self, name: str) -> Any:
        """Return a member that only some problem types have, None when absent."""
        return (self.model_extra or {}).get(name)


@final
class ProblemError(GentianwharfError):
    """The daemon rejected the request with a problem; nothing took effect."""

    def __init__(self, reply: ProblemReply, *, step: str, peer: str) -> None:
        super().__init__(reply.detail, step=step, peer=peer)
        self.reply = reply


@final
class AdminClient:
    """Calls one daemon's admin port."""

    def __init__(
        self, *, http: HttpClient, url: str, token: str | None, operator: str
    ) -> None:
        self._http = http
        self._url = url.rstrip("/")
        self._headers = {"gentianwharf-operator": operator}
        if token is not None:
            self._headers["authorization"] = f"Bearer {token}"

    async def get(
        self,
        *path: str,
        timeout_s: float = READ_TIMEOUT_S,
        **query: str | int | None,
    ) -> Any:
        """Read JSON; raises ``PeerUnavailableError`` when there is no valid answer."""
        response, body = await self._send_request(
            "GET", path, query, timeout_s=timeout_s
        )
        return self._decode(response.code, body, path)

    async def send(
        self, method: str, *path: str, body: Any, **query: str | int | None
    ) -> Any:
        """Request a change; raises ``OutcomeUnknownError`` when the answer is lost."""
        response, answer = await self._send_request(
            method, path, query, timeout_s=WRITE_TIMEOUT_S, body=body
        )
        return self._decode(response.code, answer, path)

    async def _send_request(
        self,
        method: str,
        path: tuple[str, ...],
        query: Mapping[str, str | int | None],
        *,
        timeout_s: float,
        body: Any = None,
    ) -> tuple[Any, bytes]:
        options: dict[str, Any] = {
            "headers": dict(self._headers),
            "params": {
                name: str(value) for name, value in query.items() if value is not None
            },
            "timeout": timeout_s,
        }
        if method != "GET":
            options["headers"]["content-type"] = "application/json"
            options["data"] = json.dumps(body).encode()
        url = f"{self._url}/{'/'.join(quote(part, safe='') for part in path)}"
        try:
            response = await self._http.request(method, url, **options)
            return response, await response.content()
        except network.ConnectError as error:
            raise self._unreachable_error(path, str(error)) from error
        except Exception as error:
            # Whatever broke the connection, the change may already have taken effect.
            text = str(invalid_status(error) or error) or type(error).__name__
            if method == "GET":
                raise self._unreachable_error(path, text) from error
            raise OutcomeUnknownError(
                f"the daemon's answer was lost ({text}): the change may have taken"
                " effect",
                step=_step(path),
                peer=self._url,
            ) from error

    def _unreachable_error(
        self, path: tuple[str, ...], text: str
    ) -> PeerUnavailableError:
        return PeerUnavailableError(
            f"the daemon can't be reached: {text}; check --admin and that the daemon"
            " runs",
            step=_step(path),
            peer=self._url,
        )

    def _decode(self, status: int, body: bytes, path: tuple[str, ...]) -> Any:
        try:
            value = json.loads(body)
        except ValueError as error:
            raise self._unexpected_answer_error(status, path) from error
        if status < 400:
            return value
        try:
            reply = ProblemReply.model_validate(value)
        except ValidationError as error:
            raise self._unexpected_answer_error(status, path) from error
        step, peer = reply.step or _step(path), reply.peer or self._url
        if reply.kind == ProblemType.UNAVAILABLE:
            raise PeerUnavailableError(reply.detail, step=step, peer=peer)
        if reply.kind == ProblemType.OUTCOME_UNKNOWN:
            raise OutcomeUnknownError(reply.detail, step=step, peer=peer)
        raise ProblemError(reply, step=step, peer=peer)

    def _unexpected_answer_error(
        self, status: int, path: tuple[str, ...]
    ) -> PeerUnavailableError:
        return PeerUnavailableError(
            f"unexpected answer (status {status}), not from a daemon; check --admin",
            step=_step(path),
            peer=self._url,
        )


def _step(path: tuple[str, ...]) -> str:
    return "/" + "/".join(path)
