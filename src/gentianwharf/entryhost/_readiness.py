"""The address at which the platform asks whether to send new connections here."""

from collections.abc import Callable
from typing import Any, final

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

STATUS_READY = 200
STATUS_NOT_READY = 503
IDLE_TIMEOUT_S = 60


@final
class _Readiness(Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self._is_ready = is_ready

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Answer by status alone."""
        ready = self._is_ready()
        request.setResponseCode(STATUS_READY if ready else STATUS_NOT_READY)
        return b"ready\n" if ready else b"not ready\n"


def readiness_site(*, is_ready: Callable[[], bool], reactor: Any) -> Site:
    """Return a site that answers every GET with 200 or 503."""
    site = Site(_Readiness(is_ready), timeout=IDLE_TIMEOUT_S, reactor=reactor)
    site.log = lambda request: None  # type: ignore[method-assign]
    return site
