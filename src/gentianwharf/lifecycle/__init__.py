"""What a process runs on: its clock, its ticks and its graceful shutdown."""

from ._clock import use_monotonic_time
from ._shutdown import Drained, Phase, Shutdown
from ._ticks import Repeated, Ticks

__all__ = [
    "Drained",
    "Phase",
    "Repeated",
    "Shutdown",
    "Ticks",
    "use_monotonic_time",
]
