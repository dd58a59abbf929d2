"""The operator's tool ``gentianwharf``."""

from ._app import main
from ._exits import Exit

__all__ = ["Exit", "main"]
