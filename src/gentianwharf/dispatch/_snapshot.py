"""What a dispatcher shows to metrics and the command line; immutable data."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotServerSnapshot:
    """A server's slots; ``limit`` is how many requests may be at it now."""

    server: str
    slots: int
    limit: int
    occupancy: int
    leases: int
    speed: float
    is_halved: bool
    is_new: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SubjectSnapshot:
    """A subject for which requests came; ``waiting`` is by priority."""

    subject: str
    waiting: dict[int, int]
    servers: tuple[SlotServerSnapshot, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DispatcherSnapshot:
    """The state of a dispatcher, and counts since it started.

    ``granted`` is by priority and ``refused`` by reason.
    """

    subjects: tuple[SubjectSnapshot, ...]
    granted: dict[int, int]
    refused: dict[str, int]
    waiting: int
    leases: int
    is_stopped: bool
