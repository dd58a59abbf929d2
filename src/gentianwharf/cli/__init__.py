"""The operators' command-line tool ``gentianwharf``."""

from ._app import main
from ._exit_codes import ExitCode

__all__ = ["ExitCode", "main"]
