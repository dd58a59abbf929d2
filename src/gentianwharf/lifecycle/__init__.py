"""What a process runs on: its clock, its ticks and its graceful shutdown."""

from ._clock import use_monotonic_time
from ._shutdown import Phase, Shutdown, ShutdownTarget
from ._ticks import Repeated, Ticks

__all__ = [
    "Phase",
    "Repeated",
    "Shutdown",
    "ShutdownTarget",
    "Ticks",
    "use_monotonic_time",
]
