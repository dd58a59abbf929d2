"""The properties of a stand-in server, and the events that it reports."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRun:
    """A request that a server ran, with its start and end times."""

    server: str
    request_id: str
    shard: int | None
    begun_s: float
    ended_s: float
    is_whole: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that reached a server, whether it runs it or refuses it.

    ``arrived_s`` is a reading of the reactor's clock in seconds, ``deadline_ms`` the
    time that the server was given, None if it was given none.
    """

    server: str
    service: str
    request_id: str
    arrived_s: float
    deadline_ms: int | None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class BodyReport:
    """The body of an upload, as far as it reached a server.

    ``body_bytes`` is the length that the caller stated in a header, ``has_ended``
    whether the end of the body was received, and ``changed_at_byte`` the offset of the
    first byte that differs from what the caller sent, None if there is none.
    """

    server: str
    request_id: str
    body_bytes: int
    received_bytes: int
    has_ended: bool
    changed_at_byte: int | None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class HoldChange:
    """A grant or a release that changed until when a server holds shards.

    ``token`` is the order's, ``until_s`` the end of the grant, 0 for a release. It
    arrived at ``arrived_s`` and was carried out at ``carried_out_s``, all on the
    reactor's clock in seconds; ``is_late`` if the server put it off. ``born_ms`` tells
    lives of one server apart.
    """

    server: str
    service: str
    born_ms: int
    first: int
    last: int
    token: int
    arrived_s: float
    carried_out_s: float
    until_s: float
    is_late: bool = False


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSpec:
    """The properties of a stand-in server.

    With ``reports_slowdown``, its load header has the fourth figure, and it states its
    load in answers to health checks. ``cold_s`` is how long it is cold after its start.
    ``lost_share`` is the probability that the answer of a run is lost: the connection
    is closed in its place. ``early_share`` is the probability that an upload is
    answered, or refused, before its end.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    work_s: float
    born_ms: int
    reports_slowdown: bool = False
    cold_s: float = 0.0
    lost_share: float = 0.0
    early_share: float = 0.0
