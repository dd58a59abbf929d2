"""The daemon ``gentianwharfd``."""

from ._daemon import Daemon
from ._main import main

__all__ = ["Daemon", "main"]
