"""A stand-in backend server that says who served whom."""

import json
from collections import Counter
from typing import Any, cast

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.http import Request
from twisted.web.iweb import IRequest

SERVICE_TIME_S = 0.002
PIECE_BYTES = 65_536


class StandInBackend:
    """One backend server: answers with JSON, runs each idempotency key once.

    ``GET /.../size/<n>`` answers with that many bytes; an upload is counted and
    thrown away.
    """

    def __init__(
        self, *, server_id: str, service: str, clock: IReactorTime, delay_s: float = 0.0
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.delay_s = delay_s
        self.runs: Counter[str] = Counter()
        self._clock = clock
        self.klein = Klein()
        self.klein.url_map.merge_slashes = False
        self.klein.route("/", branch=True)(self._answer)

    async def _answer(self, request: IRequest) -> bytes:
        http = cast(Request, request)
        if self.delay_s:
            await self._sleep(self.delay_s)
        run_key = self._header(http, "idempotency-key") or ""
        self.runs[run_key] += 1
        http.setHeader(b"Content-Type", b"application/json")
        request_id = self._header(http, "gentianwharf-request-id")
        if request_id:
            http.setHeader(b"Gentianwharf-Request-Id", request_id.encode())
        body = {
            "service": self.service,
            "server": self.server_id,
            "key": self._header(http, "gentianwharf-key"),
            "token": self._header(http, "gentianwharf-token"),
            "request_id": request_id,
            "runs": self.runs[run_key] if run_key else 1,
            "body_bytes": self._body_bytes(http),
        }
        encoded = json.dumps(body).encode()
        http.setHeader(b"Content-Length", str(len(encoded)).encode())
        return encoded

    def _body_bytes(self, request: Request) -> int:
        content: Any = request.content
        return len(content.read()) if content is not None else 0

    def _header(self, request: Request, name: str) -> str | None:
        value = request.getHeader(name)
        return str(value) if value is not None else None

    def _sleep(self, delay_s: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._clock.callLater(delay_s, done.callback, None)
        return done
