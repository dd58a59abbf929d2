"""HTTP site that serves a single page, used for readiness and metrics."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast, final

from twisted.web.http import HTTPChannel, HTTPFactory, Request

from gentianwharf.logs import log

IDLE_TIMEOUT_S = 60
STATUS_METHOD_NOT_ALLOWED = 405
STATUS_ERROR = 500


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PageResponse:
    """A complete response, sent with its length."""

    body: bytes
    status: int = 200
    content_type: bytes = b"text/plain"


@final
class _PageRequest(Request):
    def process(self) -> None:
        """Respond to GET and HEAD with the page, and to other methods with 405."""
        if self.method not in (b"GET", b"HEAD"):
            self.setHeader(b"Allow", b"GET, HEAD")
            self._send(PageResponse(body=b"", status=STATUS_METHOD_NOT_ALLOWED))
            return
        try:
            response = cast(Any, self.channel).factory.page(self.path)()
        except Exception:
            log.exception("page not rendered", extra={"step": "render", "peer": "self"})
            response = PageResponse(body=b"", status=STATUS_ERROR)
        self._send(response)

    def _send(self, response: PageResponse) -> None:
        self.setResponseCode(response.status)
        self.setHeader(b"Content-Type", response.content_type)
        self.setHeader(b"Content-Length", b"%d" % len(response.body))
        self.write(response.body)
        self.finish()


@final
class _PageChannel(HTTPChannel):
    requestFactory = _PageRequest  # noqa: N815


@final
class PageSite(HTTPFactory):
    """Responds to every GET and HEAD request with the result of ``render``.

    The paths in ``pages`` have pages of their own.
    """

    protocol = _PageChannel  # type: ignore[assignment]

    def __init__(
        self,
        *,
        render: Callable[[], PageResponse],
        reactor: Any,
        pages: Mapping[bytes, Callable[[], PageResponse]] | None = None,
    ) -> None:
        super().__init__(timeout=IDLE_TIMEOUT_S, reactor=reactor)
        self.render = render
        self._pages = pages or {}

    def page(self, path: bytes) -> Callable[[], PageResponse]:
        """Return what renders the page at a path."""
        return self._pages.get(path, self.render)

    def log(self, request: Any) -> None:
        """Suppress the access log."""
