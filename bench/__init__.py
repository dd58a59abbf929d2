"""Benchmarks; ``python -m bench`` prints one JSON line per figure."""

from ._figure import Figure, figure_line, machine

__all__ = ["Figure", "figure_line", "machine"]
