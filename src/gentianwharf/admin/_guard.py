"""The guard in front of all routes, so that none can forget it."""

from ipaddress import ip_address
from typing import Any, final

from twisted.web.resource import Resource
from twisted.web.server import Request

from ._access import TokenAuthenticator
from ._replies import ProblemType, reply_problem

OPEN_PATHS = frozenset({b"/livez", b"/readyz"})
READ_METHODS = frozenset({b"GET", b"HEAD"})


@final
class GuardedResource(Resource):
    """Checks token, host and media type before any route sees the request."""

    isLeaf = True

    def __init__(self, *, inner: Resource, authenticator: TokenAuthenticator) -> None:
        super().__init__()
        self._inner = inner
        self._authenticator = authenticator

    def render(self, request: Request) -> Any:
        """Let the request through to the routes, or answer it here."""
        if request.path in OPEN_PATHS:
            return self._inner.render(request)
        if not self._authenticator.is_authorized(request):
            return reply_problem(
                request,
                ProblemType.UNAUTHORIZED,
                "expected the header Authorization: Bearer TOKEN with the token of"
                " the daemon's settings",
            )
        if not _names_an_address(request):
            return reply_problem(
                request,
                ProblemType.UNAUTHORIZED,
                "expected an IP number in the header Host: host names are not served",
            )
        if request.method not in READ_METHODS and not _is_json(request):
            return reply_problem(
                request,
                ProblemType.MEDIA_TYPE,
                "expected content-type application/json",
            )
        return self._inner.render(request)


def _is_json(request: Request) -> bool:
    """Guard against a web page that makes its reader's browser send commands.

    A browser sends a form to a loopback address without asking, but JSON only after
    a question that the admin port does not answer.
    """
    media_type = request.getHeader(b"content-type") or b""
    if isinstance(media_type, str):
        media_type = media_type.encode()
    return media_type.split(b";")[0].strip().lower() == b"application/json"


def _names_an_address(request: Request) -> bool:
    """Guard against a web page whose host name was made to lead to a loopback address.

    The operator's browser takes the daemon for the page's own site and lets the page
    read and send whatever it likes; but it names that host, not an IP number.
    """
    host = request.getRequestHostname().decode("latin-1").strip("[]")
    try:
        ip_address(host)
    except ValueError:
        return False
    return True
