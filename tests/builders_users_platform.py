"""Sample data of the users' platform: settings, configurations and server entries."""

import json
from typing import Any

SETTINGS = """
node-name = "front-lac-1"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "10.1.0.18"
zone = "lac"
region = "tunis"
internal-port-range = [7200, 7215]
bootstrap = true
heartbeat-interval = "870ms"
bounds = ["drain-timeout=2000ms", "grace-period=6s", "config-apply=2000ms",
  "retry-budget-ratio=0.2", "budget-window=10s", "budget-extra-retries=64",
  "max-hold=10000ms"]
[zones]
lac = "tunis"
charguia = "tunis"
[listen]
front = "10.1.0.18:8381"
ready = "10.1.0.18:8388"
[platform]
address = "10.200.1.7:8384"
writes-per-s = 400
reads-per-s = 2000
min-ttl = "1000ms"
"""


def route(**fields: Any) -> dict[str, Any]:
    """Return a route of the configuration; ``fields`` override the defaults."""
    defaults = {
        "host": "schedule.example",
        "prefix": "/visits/",
        "kind": "safe",
        "timeout": "1000ms",
        "target-latency": "300ms",
        "priority": 2,
        "service": "calendar",
        "max-attempts": 2,
    }
    return {
        name: value for name, value in (defaults | fields).items() if value is not None
    }


def configuration(
    *,
    version: str = "r7",
    routes: dict[str, dict[str, Any]] | None = None,
    **fields: Any,
) -> bytes:
    """Return a configuration as it is stored."""
    defaults = {
        "version": version,
        "routes": routes if routes is not None else {"visits": route()},
        "services": {
            "calendar": {
                "health-check-path": "/health",
                "max-connections": 130,
                "protocol": "h1",
                "tls": False,
                "sharded": True,
                "warm-up": "5s",
                "grants": "invocation",
            },
            "seats": {
                "health-check-path": "/health",
                "max-connections": 130,
                "protocol": "h1",
                "tls": False,
            },
        },
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout": "3000ms",
            "idle-timeout": "15000ms",
        },
    }
    return json.dumps(defaults | fields).encode()


def server_entry(**fields: Any) -> bytes:
    """Return a backend server's entry; fields that are None are omitted."""
    defaults: dict[str, Any] = {
        "service": "calendar",
        "address": "10.128.0.9:8080",
        "zone": "lac",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold-remaining": "0ms",
        "sequence": 4,
        "born": 1_780_000_000_000,
    }
    entry = {
        name: value for name, value in (defaults | fields).items() if value is not None
    }
    return json.dumps(entry).encode()
