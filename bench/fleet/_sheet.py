"""The deployments that are played: services, requests, and what may be repeated."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, final

import msgspec

from gentianwharf.load import RetryAgreement
from gentianwharf.platform import CONFIG_KEY
from gentianwharf.platform.standin import ADDED, CALLER_LIMITS
from gentianwharf.store import Put

SERVER_PORT = 8400
STORE_PORT, OPERATORS_PORT = 8384, 8385
MAX_CONNECTIONS = 560
MAX_ATTEMPTS = 2

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

RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """A service; each request takes a server ``work_s`` on average."""

    name: str
    servers: int
    work_s: float
    keyed: bool = False


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


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Sheet:
    """A deployment; operators allow ``extra_retries`` beyond those for each request.

    Where rules move, the requests of the first kind move to the service of the second.
    """

    name: str
    hosts: int
    extra_retries: int
    slots: int
    services: tuple[ServiceSpec, ...]
    requests: tuple[RequestSpec, ...]

    @property
    def agreement(self) -> RetryAgreement:
        """What the operators allow all hosts together to repeat at a service."""
        return RetryAgreement(
            ratio=RETRY_RATIO, extra=self.extra_retries, window_s=RETRY_WINDOW_S
        )

    @property
    def moving(self) -> RequestSpec:
        """The requests whose service changes where rules move."""
        return self.requests[0]

    @property
    def moved_service(self) -> str:
        """The service of the moving requests after operators have moved them."""
        return self.requests[1].service

    @property
    def keyed(self) -> frozenset[str]:
        """The services whose requests have a key."""
        return frozenset(service.name for service in self.services if service.keyed)

    def addresses(self, service: ServiceSpec, net: int) -> list[str]:
        """Return where the servers of a service listen."""
        part = 10 + self.services.index(service)
        return [
            f"127.{net}.{part}.{number + 1}:{SERVER_PORT}"
            for number in range(service.servers)
        ]


LARGE = Sheet(
    name="large",
    hosts=84,
    extra_retries=208,
    slots=2,
    services=(
        ServiceSpec(name="calendar", servers=53, work_s=0.22),
        ServiceSpec(name="seats", servers=77, work_s=0.29),
        ServiceSpec(name="documents", servers=112, work_s=0.88, keyed=True),
    ),
    requests=(
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
    ),
)

SMALL = Sheet(
    name="small",
    hosts=9,
    extra_retries=58,
    slots=2,
    services=(
        ServiceSpec(name="availability", servers=8, work_s=0.12),
        ServiceSpec(name="bookings", servers=8, work_s=0.16),
        ServiceSpec(name="rosters", servers=10, work_s=0.3, keyed=True),
        ServiceSpec(name="registers", servers=8, work_s=0.48),
    ),
    requests=(
        RequestSpec(
            name="look-up",
            service="availability",
            repeatable=True,
            per_s=57.9,
            deadline_ms=1_500,
            timeout_ms=800,
        ),
        RequestSpec(
            name="book",
            service="bookings",
            repeatable=False,
            per_s=28.3,
            deadline_ms=2_000,
            timeout_ms=1_000,
        ),
        RequestSpec(
            name="roster",
            service="rosters",
            repeatable=True,
            per_s=35.3,
            deadline_ms=3_000,
            timeout_ms=1_500,
        ),
        RequestSpec(
            name="register",
            service="registers",
            repeatable=True,
            per_s=11.7,
            deadline_ms=5_000,
            timeout_ms=2_500,
        ),
    ),
)

BUSY = Sheet(
    name="busy",
    hosts=89,
    extra_retries=218,
    slots=4,
    services=(
        ServiceSpec(name="deliveries", servers=122, work_s=0.19),
        ServiceSpec(name="charges", servers=57, work_s=0.24),
        ServiceSpec(name="roasters", servers=216, work_s=0.55, keyed=True),
    ),
    requests=(
        RequestSpec(
            name="status",
            service="deliveries",
            repeatable=True,
            per_s=589.0,
            deadline_ms=1_500,
            timeout_ms=1_500,
        ),
        RequestSpec(
            name="charge",
            service="charges",
            repeatable=False,
            per_s=213.0,
            deadline_ms=2_000,
            timeout_ms=1_200,
        ),
        RequestSpec(
            name="orders",
            service="roasters",
            repeatable=True,
            per_s=232.0,
            deadline_ms=3_000,
            timeout_ms=2_000,
        ),
        RequestSpec(
            name="catalog",
            service="roasters",
            repeatable=True,
            per_s=116.0,
            deadline_ms=5_000,
            timeout_ms=3_000,
        ),
    ),
)

SHEETS: Mapping[str, Sheet] = {sheet.name: sheet for sheet in (LARGE, SMALL, BUSY)}


def store_address(net: int) -> str:
    """Return where hosts reach the store."""
    return f"127.{net}.0.1:{STORE_PORT}"


def host_store_address(net: int, number: int) -> str:
    """Return the address at which one host reaches the store by its own link."""
    return f"127.{net}.3.{number + 1}:{STORE_PORT}"


def operators_address(net: int) -> str:
    """Return where operators and servers reach the store."""
    return f"127.{net}.0.1:{OPERATORS_PORT}"


def host_ip(net: int, number: int) -> str:
    """Return the IP address of a host."""
    return f"127.{net}.1.{number + 1}"


def configuration(
    sheet: Sheet,
    version: int,
    *,
    moved: bool = False,
    added_paths: Iterable[str] = (),
) -> Put:
    """Return a put of the operators' configuration.

    Where ``moved``, the moving requests have another service. ``added_paths`` have
    rules of their own on a host without requests.
    """
    routes = {spec.name: _route(spec) for spec in sheet.requests}
    if moved:
        routes[sheet.moving.name]["service"] = sheet.moved_service
    for path in added_paths:
        added = {"host": ADDED, "prefix": path}
        routes[f"added{path.rstrip('/')}"] = {**_route(sheet.moving), **added}
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
            for service in sheet.services
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
