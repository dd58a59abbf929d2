"""The daemon ``gentianwharfd``."""

from ._daemon import Daemon
from ._main import main
from ._shutdown import Drained, Phase, Shutdown

__all__ = ["Daemon", "Drained", "Phase", "Shutdown", "main"]
