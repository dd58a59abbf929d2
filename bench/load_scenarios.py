"""The load patterns, with the sizes of the brief.

Rates are parts of what the servers can do (1.0: every slot always busy). Each run
lasts ``END_S`` on the virtual clock; what goes wrong begins at ``FROM_S`` and ends at
``TO_S``.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import final

FROM_S, TO_S, END_S = 8.0, 18.0, 30.0
NORMAL = 0.7
# Until the last of the refused have returned.
COMEBACK_END_S = 170.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """A deployment's sizes."""

    domains: tuple[str, ...]
    client_latency_s: float
    slots: int
    connections: int


TUNIS = Place(
    domains=("lac", "charguia", "ariana"),
    client_latency_s=0.008,
    slots=6,
    connections=130,
)
BRAZOS_BEND = Place(
    domains=("hall-a", "hall-b", "hall-c"),
    client_latency_s=0.001,
    slots=3,
    connections=120,
)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Stream:
    """Requests of one class: ``load`` is the part of all slots that they need.

    ``hot_tries``: how often the hot caller asks again at once when it is refused,
    whatever it is told.
    """

    request_class: str
    load: float
    work_s: float
    repeatable: bool = True
    callers: int = 200
    hot_caller: float = 0.0
    hot_tries: int = 0
    keys: int = 0
    zipf: float = 1.0
    hot_key: float = 0.0
    long_one_in: int = 0
    peak: float = 1.0
    comes_back: int = 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A load pattern; ``fault`` names what happens to the servers.

    ``shares``: servers run all that they have at once (processor sharing).
    """

    name: str
    place: Place
    servers: int
    streams: tuple[Stream, ...]
    fault: str = ""
    end_s: float = END_S
    sheds: bool = True
    shares: bool = False
    busy_hosts: int = 12
    service: str = "service"

    @property
    def keyed(self) -> bool:
        """Whether the service is divided by key."""
        return any(stream.keys for stream in self.streams)


# Seconds within which an answer still counts. Half a second keeps a family on the
# page; a reservation is waited for; transfers have their deadline.
LIMITS_S = {"consultation": 0.5, "posting": 1.0, "upload": 30.0, "archive": 60.0}

_LOOK_UP = Stream(request_class="consultation", load=NORMAL, work_s=0.02)
_POST = Stream(request_class="posting", load=NORMAL / 2, work_s=0.02, repeatable=False)


def _tunis(
    name: str, stream: Stream, *, fault: str = "", end_s: float = END_S
) -> Scenario:
    half = replace(stream, load=stream.load / 2)
    post = replace(half, request_class="posting", repeatable=False)
    return Scenario(
        name=name,
        place=TUNIS,
        servers=8,
        streams=(half, post),
        fault=fault,
        end_s=end_s,
    )


def _no_shed(scenario: Scenario) -> Scenario:
    """Let the servers take what comes over their connections, and never shed."""
    return replace(scenario, sheds=False)


def _shared(name: str, scenario: Scenario) -> Scenario:
    """Let the servers run all that they have at once."""
    return replace(scenario, name=name, shares=True)


def _texas(name: str, *streams: Stream) -> Scenario:
    return Scenario(name=name, place=BRAZOS_BEND, servers=12, streams=streams)


_READ = replace(_LOOK_UP, load=0.35)
_UPLOAD = Stream(request_class="upload", load=0.2, work_s=1.0, repeatable=False)
_ARCHIVE = Stream(request_class="archive", load=0.2, work_s=2.0, callers=20)
_KEYED = replace(_LOOK_UP, load=0.3, keys=2000)

SCENARIOS: tuple[Scenario, ...] = (
    _tunis("normal", _LOOK_UP),
    _tunis("burst-5x", replace(_LOOK_UP, peak=5.0)),
    _tunis(
        "callers-come-back",
        replace(_LOOK_UP, peak=5.0, comes_back=5),
        end_s=COMEBACK_END_S,
    ),
    _tunis("hot-caller-20x", replace(_LOOK_UP, callers=20, hot_caller=20.0)),
    _tunis("server-10x-slow", _LOOK_UP, fault="slow"),
    _tunis("server-frozen", _LOOK_UP, fault="frozen"),
    _tunis("long-1-in-100", replace(_LOOK_UP, work_s=0.01, long_one_in=100)),
    _tunis("overload-1x", replace(_LOOK_UP, load=1.0), end_s=18.0),
    _tunis("overload-1.5x", replace(_LOOK_UP, load=1.5), end_s=18.0),
    _tunis("overload-3x", replace(_LOOK_UP, load=3.0), end_s=18.0),
    _tunis("overload-10x", replace(_LOOK_UP, load=10.0), end_s=18.0),
    _no_shed(_tunis("overload-3x-no-shed", replace(_LOOK_UP, load=3.0), end_s=18.0)),
    _no_shed(_tunis("burst-5x-no-shed", replace(_LOOK_UP, peak=5.0))),
    replace(_tunis("two-busy-hosts", _LOOK_UP), busy_hosts=2),
    _tunis("domain-lost", _LOOK_UP, fault="domain"),
    _tunis("cold-start", _LOOK_UP, fault="cold"),
    _texas("lookups-alone", _READ),
    _texas("lookups-and-long", _READ, _UPLOAD, _ARCHIVE),
    _texas("texas-normal", _LOOK_UP),
    _texas("texas-overload-10x", replace(_LOOK_UP, load=10.0)),
    Scenario(name="keyed-normal", place=TUNIS, servers=16, streams=(_KEYED,)),
    Scenario(
        name="hot-key",
        place=TUNIS,
        servers=16,
        streams=(replace(_KEYED, hot_key=0.5),),
    ),
    Scenario(
        name="keyed-and-long",
        place=TUNIS,
        servers=16,
        streams=(
            replace(_KEYED, zipf=0.0),
            replace(_UPLOAD, keys=2000, zipf=0.0),
            replace(_ARCHIVE, keys=2000, zipf=0.0),
        ),
    ),
    _tunis(
        "hot-caller-returns",
        replace(_LOOK_UP, callers=20, hot_caller=20.0, hot_tries=10),
    ),
    _shared("shared-normal", _tunis("normal", _LOOK_UP)),
    _shared("shared-10x-slow", _tunis("slow", _LOOK_UP, fault="slow")),
    _shared("shared-overload-3x", _tunis("3x", replace(_LOOK_UP, load=3.0))),
    Scenario(
        name="uploads-and-reservations",
        place=TUNIS,
        servers=8,
        service="inscription",
        streams=(
            replace(_LOOK_UP, load=0.2),
            replace(_POST, load=0.3),
            replace(_UPLOAD, load=0.2),
        ),
    ),
)
SCENARIO_NAMES = tuple(one.name for one in SCENARIOS)
RateOf = Callable[[float], float]


def scenario(name: str) -> Scenario:
    """Return the scenario of this name."""
    return next(one for one in SCENARIOS if one.name == name)
