"""The daemon ``gentianwharfd``."""

from gentianwharf.lifecycle import Phase, Shutdown, ShutdownTarget

from ._daemon import Daemon
from ._main import main

__all__ = ["Daemon", "Phase", "Shutdown", "ShutdownTarget", "main"]
