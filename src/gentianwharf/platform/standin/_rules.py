"""Configurations in the operators' format, for trials."""

from collections.abc import Collection, Iterable
from typing import Any

import msgspec

from gentianwharf.store import Put

from .._config import CONFIG_KEY

LOOK_UPS = "look-ups.example"
POSTINGS = "postings.example"
UPLOADS = "uploads.example"
ADDED = "added.example"
"""Host that has rules only for the added paths."""

KEYED, UNKEYED = "calendar", "seats"
MOVED = "shelves"
"""Service of the paths that have moved."""

MAX_ATTEMPTS = 2
"""Servers on which a request may run, as its route states."""


CALLER_LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 1_000_000,
    "header-timeout": "3000ms",
    "idle-timeout": "15000ms",
}


def configuration(
    version: int,
    *,
    added_paths: Iterable[str] = (),
    moved_paths: Collection[str] | None = None,
) -> Put:
    """Return a put of a configuration with a sharded and an unsharded service.

    ``added_paths`` are served on the host ``ADDED``, by the service ``MOVED`` where
    they are also in ``moved_paths``. With None, there is no such service.
    """
    routes = {
        "look-ups": _route(LOOK_UPS, "safe", service=KEYED),
        "postings": _route(POSTINGS, "unsafe", service=UNKEYED),
        "uploads": _route(UPLOADS, "upload", service=UNKEYED),
    }
    for path in added_paths:
        name = path.strip("/")
        service = MOVED if path in (moved_paths or ()) else UNKEYED
        routes[name] = _route(ADDED, "safe", service=service, prefix=path)
    services = {
        KEYED: _service(sharded=True),
        UNKEYED: _service(sharded=False),
    }
    if moved_paths is not None:
        services[MOVED] = _service(sharded=False)
    value = {
        "version": f"r{version}",
        "routes": routes,
        "services": services,
        "limits": CALLER_LIMITS,
    }
    return Put(key=CONFIG_KEY, value=msgspec.json.encode(value))


def _route(host: str, kind: str, *, service: str, prefix: str = "/") -> dict[str, Any]:
    return {
        "host": host,
        "prefix": prefix,
        "kind": kind,
        "timeout": "1500ms",
        "target-latency": "400ms",
        "priority": 1,
        "service": service,
        "max-attempts": MAX_ATTEMPTS,
    }


def _service(*, sharded: bool) -> dict[str, Any]:
    return {
        "health-check-path": "/health",
        "max-connections": 120,
        "sharded": sharded,
        "warm-up": "2s",
    }
