"""Checks that run before every route, so that no route can omit them."""

from ipaddress import ip_address
from typing import Any, final

from twisted.web.resource import Resource
from twisted.web.server import Request

from ._access import TokenAuthenticator
from ._replies import ProblemType, reply_problem

PUBLIC_PATHS = frozenset({b"/livez", b"/readyz"})
READ_METHODS = frozenset({b"GET", b"HEAD"})


@final
class GuardedResource(Resource):
    """Checks token, host and media type before a request reaches any route."""

    isLeaf = True

    def __init__(self, *, inner: Resource, authenticator: TokenAuthenticator) -> None:
        super().__init__()
        self._inner = inner
        self._authenticator = authenticator

    def render(self, request: Request) -> Any:
        """Pass the request on to the routes, or answer it with a problem."""
        if request.path in PUBLIC_PATHS:
            return self._inner.render(request)
        if not self._authenticator.is_authorized(request):
            return reply_problem(
                request,
                ProblemType.UNAUTHORIZED,
                "expected the header Authorization: Bearer TOKEN with the token of"
                " the daemon's settings",
            )
        if not _has_ip_host(request):
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
    """Return whether the body is declared as JSON; guards against request forgery.

    A web page can make its reader's browser send a form to a loopback address. For
    JSON the browser first sends a CORS preflight request, which the admin port does
    not answer.
    """
    media_type = request.getHeader(b"content-type") or b""
    if isinstance(media_type, str):
        media_type = media_type.encode()
    return media_type.split(b";")[0].strip().lower() == b"application/json"


def _has_ip_host(request: Request) -> bool:
    """Return whether the Host header has an IP address; guards against DNS rebinding.

    A web page can make its own host name resolve to a loopback address. The operator's
    browser then treats the daemon as the page's own origin and lets the page read and
    send anything; but its Host header has that name, not an IP address.
    """
    host = request.getRequestHostname().decode("latin-1").strip("[]")
    try:
        ip_address(host)
    except ValueError:
        return False
    return True
