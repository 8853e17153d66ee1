"""Straight lines through measured points."""

from __future__ import annotations

import statistics

import msgspec


class LinearFit(msgspec.Struct, frozen=True):
    """A line through measured points.

    Attributes:
        name: What was measured.
        unit: Unit of the slope.
        sizes: The sizes at which it was measured.
        measured: What was measured at each size.
        slope: Growth for each unit of size.
        intercept: Value at size 0.
        error: Largest distance of a point from the line, as a share of the
            largest measured value.
    """

    name: str
    unit: str
    sizes: list[int]
    measured: list[float]
    slope: float
    intercept: float
    error: float


def fit_line(name: str, unit: str, points: dict[int, float]) -> LinearFit:
    """Return the line of least squares through some points.

    Args:
        name: What was measured.
        unit: Unit of the slope.
        points: Measured values by size, three at least.
    """
    sizes = list(points)
    measured = list(points.values())
    slope, intercept = statistics.linear_regression(sizes, measured)
    distances = [
        abs(value - slope * size - intercept) for size, value in points.items()
    ]
    return LinearFit(
        name=name,
        unit=unit,
        sizes=sizes,
        measured=measured,
        slope=slope,
        intercept=intercept,
        error=max(distances) / max(map(abs, measured)),
    )
