"""What a process runs on: its clock, its ticks and its graceful shutdown."""

from ._clock import use_monotonic_time
from ._periodic import PeriodicCall, PeriodicCalls
from ._shutdown import Phase, Shutdown, ShutdownTarget

__all__ = [
    "PeriodicCall",
    "PeriodicCalls",
    "Phase",
    "Shutdown",
    "ShutdownTarget",
    "use_monotonic_time",
]
