"""The load scenarios, with the sizes of two deployments.

Rates are fractions of the servers' capacity (1.0: every slot is always busy). A trial
lasts ``END_S`` on the virtual clock. The fault or burst begins at
``DISTURBANCE_START_S`` and ends at ``DISTURBANCE_END_S``.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import final

DISTURBANCE_START_S, DISTURBANCE_END_S, END_S = 8.0, 18.0, 30.0
NORMAL = 0.7
# By then the last refused callers have retried.
RETRIES_END_S = 170.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DeploymentSize:
    """The size of a deployment."""

    domains: tuple[str, ...]
    client_latency_s: float
    slots: int
    connections: int


TUNIS = DeploymentSize(
    domains=("lac", "charguia", "ariana"),
    client_latency_s=0.008,
    slots=6,
    connections=130,
)
BRAZOS_BEND = DeploymentSize(
    domains=("hall-a", "hall-b", "hall-c"),
    client_latency_s=0.001,
    slots=3,
    connections=120,
)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Stream:
    """A stream of requests of one class.

    ``load`` is the fraction of all slots that the requests need. ``retry_limit`` is the
    number of times that a caller retries after a refusal or failure.
    ``hot_retry_limit`` is that of the hot caller, which retries at once and ignores the
    retry time of the refusal.
    """

    request_class: str
    load: float
    work_s: float
    repeatable: bool = True
    callers: int = 200
    hot_caller_factor: float = 0.0
    hot_retry_limit: int = 0
    keys: int = 0
    zipf_exponent: float = 1.0
    hot_key_share: float = 0.0
    long_one_in: int = 0
    burst_factor: float = 1.0
    retry_limit: int = 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A load scenario; ``fault`` names the fault of the servers, if any.

    With ``processor_sharing``, servers run all their requests at once.
    """

    name: str
    size: DeploymentSize
    servers: int
    streams: tuple[Stream, ...]
    fault: str = ""
    end_s: float = END_S
    sheds: bool = True
    processor_sharing: bool = False
    busy_hosts: int = 12
    service: str = "service"

    @property
    def keyed(self) -> bool:
        """Whether the service is sharded by key."""
        return any(stream.keys for stream in self.streams)


# An answer counts as good within this time. Half a second keeps users on the page, a
# reservation may take longer, and transfers have their deadline.
LATENCY_LIMITS_S = {
    "consultation": 0.5,
    "posting": 1.0,
    "upload": 30.0,
    "archive": 60.0,
}

_LOOKUP = Stream(request_class="consultation", load=NORMAL, work_s=0.02)
_POST = Stream(request_class="posting", load=NORMAL / 2, work_s=0.02, repeatable=False)


def _tunis(
    name: str, stream: Stream, *, fault: str = "", end_s: float = END_S
) -> Scenario:
    half = replace(stream, load=stream.load / 2)
    post = replace(half, request_class="posting", repeatable=False)
    return Scenario(
        name=name,
        size=TUNIS,
        servers=8,
        streams=(half, post),
        fault=fault,
        end_s=end_s,
    )


def _no_shed(scenario: Scenario) -> Scenario:
    """Return the scenario with servers that queue requests instead of shedding."""
    return replace(scenario, sheds=False)


def _shared(name: str, scenario: Scenario) -> Scenario:
    """Return the scenario under ``name``, with processor-sharing servers."""
    return replace(scenario, name=name, processor_sharing=True)


def _brazos_bend(name: str, *streams: Stream) -> Scenario:
    return Scenario(name=name, size=BRAZOS_BEND, servers=12, streams=streams)


_READ = replace(_LOOKUP, load=0.35)
_UPLOAD = Stream(request_class="upload", load=0.2, work_s=1.0, repeatable=False)
_ARCHIVE = Stream(request_class="archive", load=0.2, work_s=2.0, callers=20)
_KEYED = replace(_LOOKUP, load=0.3, keys=2000)

SCENARIOS: tuple[Scenario, ...] = (
    _tunis("normal", _LOOKUP),
    _tunis("burst-5x", replace(_LOOKUP, burst_factor=5.0)),
    _tunis(
        "callers-come-back",
        replace(_LOOKUP, burst_factor=5.0, retry_limit=5),
        end_s=RETRIES_END_S,
    ),
    _tunis("hot-caller-20x", replace(_LOOKUP, callers=20, hot_caller_factor=20.0)),
    _tunis("server-10x-slow", _LOOKUP, fault="slow"),
    _tunis("server-frozen", _LOOKUP, fault="frozen"),
    _tunis("long-1-in-100", replace(_LOOKUP, work_s=0.01, long_one_in=100)),
    _tunis("overload-1x", replace(_LOOKUP, load=1.0), end_s=18.0),
    _tunis("overload-1.5x", replace(_LOOKUP, load=1.5), end_s=18.0),
    _tunis("overload-3x", replace(_LOOKUP, load=3.0), end_s=18.0),
    _tunis("overload-10x", replace(_LOOKUP, load=10.0), end_s=18.0),
    _no_shed(_tunis("overload-3x-no-shed", replace(_LOOKUP, load=3.0), end_s=18.0)),
    _no_shed(_tunis("burst-5x-no-shed", replace(_LOOKUP, burst_factor=5.0))),
    replace(_tunis("two-busy-hosts", _LOOKUP), busy_hosts=2),
    _tunis("domain-lost", _LOOKUP, fault="domain"),
    _tunis("cold-start", _LOOKUP, fault="cold"),
    _brazos_bend("lookups-alone", _READ),
    _brazos_bend("lookups-and-long", _READ, _UPLOAD, _ARCHIVE),
    _brazos_bend("texas-normal", _LOOKUP),
    _brazos_bend("texas-overload-10x", replace(_LOOKUP, load=10.0)),
    Scenario(name="keyed-normal", size=TUNIS, servers=16, streams=(_KEYED,)),
    Scenario(
        name="hot-key",
        size=TUNIS,
        servers=16,
        streams=(replace(_KEYED, hot_key_share=0.5),),
    ),
    Scenario(
        name="keyed-and-long",
        size=TUNIS,
        servers=16,
        streams=(
            replace(_KEYED, zipf_exponent=0.0),
            replace(_UPLOAD, keys=2000, zipf_exponent=0.0),
            replace(_ARCHIVE, keys=2000, zipf_exponent=0.0),
        ),
    ),
    _tunis(
        "hot-caller-returns",
        replace(_LOOKUP, callers=20, hot_caller_factor=20.0, hot_retry_limit=10),
    ),
    _shared("shared-normal", _tunis("normal", _LOOKUP)),
    _shared("shared-10x-slow", _tunis("slow", _LOOKUP, fault="slow")),
    _shared("shared-overload-3x", _tunis("3x", replace(_LOOKUP, load=3.0))),
    Scenario(
        name="uploads-and-reservations",
        size=TUNIS,
        servers=8,
        service="inscription",
        streams=(
            replace(_LOOKUP, load=0.2),
            replace(_POST, load=0.3),
            replace(_UPLOAD, load=0.2),
        ),
    ),
)
SCENARIO_NAMES = tuple(scenario.name for scenario in SCENARIOS)
RateOf = Callable[[float], float]


def scenario(name: str) -> Scenario:
    """Return the scenario of this name."""
    return next(scenario for scenario in SCENARIOS if scenario.name == name)
