"""Linear regression over measured points."""

from __future__ import annotations

import statistics

import msgspec


class LinearFit(msgspec.Struct, frozen=True):
    """Least-squares line through measured points.

    Attributes:
        name: Name of the measured quantity.
        unit: Unit of the measured values; the slope is in this unit per size.
        sizes: Sizes at which the quantity was measured.
        measured: Measured value at each size.
        slope: Growth per unit of size.
        intercept: Value of the line at size 0.
        error: Largest absolute residual divided by the largest absolute
            measured value.
    """

    name: str
    unit: str
    sizes: list[int]
    measured: list[float]
    slope: float
    intercept: float
    error: float


def fit_line(name: str, unit: str, points: dict[int, float]) -> LinearFit:
    """Return the least-squares line through measured points.

    Args:
        name: Name of the measured quantity.
        unit: Unit of the measured values.
        points: Measured values by size; at least three, since a line through
            two points always has an error of 0.
    """
    sizes = list(points)
    measured = list(points.values())
    slope, intercept = statistics.linear_regression(sizes, measured)
    residuals = [
        abs(value - slope * size - intercept) for size, value in points.items()
    ]
    return LinearFit(
        name=name,
        unit=unit,
        sizes=sizes,
        measured=measured,
        slope=slope,
        intercept=intercept,
        error=max(residuals) / max(map(abs, measured)),
    )
