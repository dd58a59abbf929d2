"""Least-squares lines through measured points, with their residuals."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from typing import final

MIN_SIZES = 4


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """``value = intercept + slope * size``.

    ``residual`` is the root mean square of the deviations, divided by the mean value.
    ``size_count`` is the number of different sizes and ``max_size`` the largest one;
    beyond it the line is an extrapolation.
    """

    slope: float
    intercept: float
    residual: float
    size_count: int
    max_size: float

    def at(self, size: float) -> float:
        """Return the line's value at ``size``, at least 0."""
        return max(0.0, self.intercept + self.slope * size)

    def extrapolation_factor(self, size: float) -> float:
        """Return the ratio of ``size`` to the largest size measured, at least 1."""
        return max(1.0, size / self.max_size)


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares.

    Raises ``ValueError`` for fewer than four different sizes.

    >>> line = fit([(1, 3), (2, 5), (3, 7), (4, 9)])
    >>> line.slope, line.intercept, line.residual
    (2.0, 1.0, 0.0)
    """
    sizes = [size for size, _ in points]
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"expected {MIN_SIZES} sizes or more, got {sorted(sizes)}")
    mean_size = sum(sizes) / len(points)
    mean_value = sum(value for _, value in points) / len(points)
    variance_sum = sum((size - mean_size) ** 2 for size in sizes)
    covariance_sum = sum(
        (size - mean_size) * (value - mean_value) for size, value in points
    )
    slope = covariance_sum / variance_sum
    intercept = mean_value - slope * mean_size
    squared_error = sum(
        (value - intercept - slope * size) ** 2 for size, value in points
    )
    return Line(
        slope=slope,
        intercept=intercept,
        residual=sqrt(squared_error / len(points)) / mean_value if mean_value else 0.0,
        size_count=len(set(sizes)),
        max_size=max(sizes),
    )
