"""The daemon ``gentianwharfd``."""

from gentianwharf.lifecycle import Drained, Phase, Shutdown

from ._daemon import Daemon
from ._main import main

__all__ = ["Daemon", "Drained", "Phase", "Shutdown", "main"]
