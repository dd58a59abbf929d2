"""Readiness site, by which the platform decides where to send new connections."""

from collections.abc import Callable
from typing import Any

from ._page_site import PageResponse, PageSite

READY = PageResponse(body=b"ready\n")
NOT_READY = PageResponse(body=b"not ready\n", status=503)


def readiness_site(*, is_ready: Callable[[], bool], reactor: Any) -> PageSite:
    """Return a site that answers every GET with 200 or 503."""
    return PageSite(render=lambda: READY if is_ready() else NOT_READY, reactor=reactor)
