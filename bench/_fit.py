"""Straight lines through measured points, with what is left over."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from typing import final

MIN_SIZES = 4


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """``value = intercept + slope * size``.

    ``residual`` is the root mean square of what the line misses, as a share of the
    mean value. ``max_size`` is the largest size measured: beyond it the line is an
    extrapolation.
    """

    slope: float
    intercept: float
    residual: float
    size_count: int
    max_size: float

    def at(self, size: float) -> float:
        """Return the line's value; never below 0."""
        return max(0.0, self.intercept + self.slope * size)

    def extrapolation_factor(self, size: float) -> float:
        """Return by which factor ``size`` lies beyond what was measured, at least 1."""
        return max(1.0, size / self.max_size)


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit by least squares; raises ``ValueError`` below four different sizes.

    >>> line = fit([(1, 3), (2, 5), (3, 7), (4, 9)])
    >>> line.slope, line.intercept, line.residual
    (2.0, 1.0, 0.0)
    """
    sizes = [size for size, _ in points]
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"expected {MIN_SIZES} sizes or more, got {sorted(sizes)}")
    mean_size = sum(sizes) / len(points)
    mean_value = sum(value for _, value in points) / len(points)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    shared = sum((size - mean_size) * (value - mean_value) for size, value in points)
    slope = shared / spread
    intercept = mean_value - slope * mean_size
    missed = sum((value - intercept - slope * size) ** 2 for size, value in points)
    return Line(
        slope=slope,
        intercept=intercept,
        residual=sqrt(missed / len(points)) / mean_value if mean_value else 0.0,
        size_count=len(set(sizes)),
        max_size=max(sizes),
    )
