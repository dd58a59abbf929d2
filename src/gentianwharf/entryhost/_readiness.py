"""Readiness site, by which the platform decides where to send new connections."""

from collections.abc import Callable
from typing import Any

from ._coordinator import Coordinator
from ._page_site import PageResponse, PageSite

READY = PageResponse(body=b"ready\n")
NOT_READY = PageResponse(body=b"not ready\n", status=503)


def readiness_site(*, is_ready: Callable[[], bool], reactor: Any) -> PageSite:
    """Return a site that answers every GET with 200 or 503."""
    return PageSite(render=lambda: READY if is_ready() else NOT_READY, reactor=reactor)


def can_serve(coordinator: Coordinator) -> bool:
    """Whether a host has the newest rules, and the holders of each service's keys."""
    configuration = coordinator.rules.configuration
    if configuration is None or coordinator.rules.is_outdated():
        return False
    return all(
        coordinator.keys.has_table(name)
        for name, service in configuration.services.items()
        if service.keyed
    )
