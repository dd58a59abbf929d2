"""The clock, the periodic calls and the graceful shutdown of a process."""

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
