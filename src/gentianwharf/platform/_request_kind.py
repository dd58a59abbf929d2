"""Kinds of requests, as the operators' routes define them."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """Deadline, priority and retry policy that the requests of some rules share."""

    name: str
    deadline_ms: int
    target_latency_ms: int
    priority: int
    repeatable: bool
