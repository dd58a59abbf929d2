"""The deployment that is played: services, requests, and what may be repeated."""

from dataclasses import dataclass
from typing import Any, final

import msgspec

from gentianwharf.load import RetryAgreement
from gentianwharf.platform import CONFIG_KEY
from gentianwharf.platform.standin import CALLER_LIMITS
from gentianwharf.store import Put

SERVER_PORT = 8400
STORE_PORT, OPERATORS_PORT = 8384, 8385
MAX_CONNECTIONS = 560
MAX_ATTEMPTS = 2
SLOTS = 2

CRASH_PATH = "/ends-its-server"
"""Servers end when they begin to run a request whose path begins with this."""

CONTACT_S = 4.0
"""Time for which a host has been undisturbed when it counts as in touch."""

MAX_CRASHES = 3
"""Servers that a request may end before hosts have to know it."""

MAX_LATE_SENDS = 3
"""Sends of such a request later than ``CONTACT_S`` after the last of these ends."""

EARLY_SHARE = 0.2
"""Share of the uploads that servers answer or refuse before the end of the body."""

EXTRA_RETRIES = 208
AGREEMENT = RetryAgreement(ratio=0.2, extra=EXTRA_RETRIES, window_s=10)
"""What the operators allow all hosts together to repeat at a service."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """A service; each request takes a server ``work_s`` on average."""

    name: str
    servers: int
    work_s: float
    keyed: bool = False

    def addresses(self, net: int) -> list[str]:
        """Return where the servers listen."""
        part = 10 + SERVICES.index(self)
        return [
            f"127.{net}.{part}.{number + 1}:{SERVER_PORT}"
            for number in range(self.servers)
        ]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSpec:
    """A kind of request, and how often callers send it, before their own retries."""

    name: str
    service: str
    repeatable: bool
    per_s: float
    deadline_ms: int
    timeout_ms: int

    @property
    def host(self) -> str:
        """The name that selects the route."""
        return f"{self.name}.example"


SERVICES = (
    ServiceSpec(name="calendar", servers=53, work_s=0.22),
    ServiceSpec(name="seats", servers=77, work_s=0.29),
    ServiceSpec(name="documents", servers=112, work_s=0.88, keyed=True),
)

REQUESTS = (
    RequestSpec(
        name="consult",
        service="calendar",
        repeatable=True,
        per_s=124.0,
        deadline_ms=6_435,
        timeout_ms=3_000,
    ),
    RequestSpec(
        name="reserve",
        service="seats",
        repeatable=False,
        per_s=139.0,
        deadline_ms=8_507,
        timeout_ms=4_000,
    ),
    RequestSpec(
        name="browse",
        service="seats",
        repeatable=True,
        per_s=11.0,
        deadline_ms=8_507,
        timeout_ms=4_000,
    ),
    RequestSpec(
        name="archive",
        service="documents",
        repeatable=True,
        per_s=62.0,
        deadline_ms=20_563,
        timeout_ms=10_000,
    ),
)


MOVING_RULE = REQUESTS[0]
MOVED_SERVICE = REQUESTS[1].service
"""The service of the requests of ``MOVING_RULE`` after operators have moved it."""


def store_address(net: int) -> str:
    """Return where hosts reach the store."""
    return f"127.{net}.0.1:{STORE_PORT}"


def operators_address(net: int) -> str:
    """Return where operators and servers reach the store."""
    return f"127.{net}.0.1:{OPERATORS_PORT}"


def host_ip(net: int, number: int) -> str:
    """Return the IP address of a host."""
    return f"127.{net}.1.{number + 1}"


def configuration(version: int, *, moved: bool = False) -> Put:
    """Return a put of the operators' configuration.

    Where ``moved``, ``MOVING_RULE`` has another service.
    """
    routes = {spec.name: _route(spec) for spec in REQUESTS}
    if moved:
        routes[MOVING_RULE.name]["service"] = MOVED_SERVICE
    value = {
        "version": f"r{version}",
        "routes": routes,
        "services": {
            service.name: {
                "health-check-path": "/health",
                "max-connections": MAX_CONNECTIONS,
                "sharded": service.keyed,
                "warm-up": "2s",
            }
            for service in SERVICES
        },
        "limits": CALLER_LIMITS,
    }
    return Put(key=CONFIG_KEY, value=msgspec.json.encode(value))


def _route(spec: RequestSpec) -> dict[str, Any]:
    return {
        "host": spec.host,
        "prefix": "/",
        "kind": "safe" if spec.repeatable else "unsafe",
        "timeout": f"{spec.timeout_ms}ms",
        "target-latency": f"{spec.timeout_ms // 3}ms",
        "priority": 1,
        "service": spec.service,
        "max-attempts": MAX_ATTEMPTS,
    }
