"""Least-squares fit of a line to measured points."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_POINTS = 3


class Point(NamedTuple):
    """One measured point.

    :param size: independent variable
    :param value: measured value
    """

    size: float
    value: float


class Line(NamedTuple):
    """A least-squares line.

    :param residual: root mean square error of the fit, as a share of the mean value
    """

    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """:returns: the predicted value at ``size``"""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[Point]) -> Line:
    """:returns: the least-squares line through ``points``

    :raises ValueError: if there are fewer than ``MIN_POINTS`` distinct sizes
    """
    if len(points) < MIN_POINTS or len({point.size for point in points}) < MIN_POINTS:
        msg = f"a slope needs at least {MIN_POINTS} sizes, got {len(points)} points"
        raise ValueError(msg)
    mean_size = sum(point.size for point in points) / len(points)
    mean_value = sum(point.value for point in points) / len(points)
    size_variance = sum((point.size - mean_size) ** 2 for point in points)
    covariance = sum((p.size - mean_size) * (p.value - mean_value) for p in points)
    slope = covariance / size_variance
    intercept = mean_value - slope * mean_size
    squared_error = sum((p.value - intercept - slope * p.size) ** 2 for p in points)
    rms_error = math.sqrt(squared_error / len(points))
    residual = rms_error / abs(mean_value) if mean_value else 0.0
    return Line(intercept, slope, residual)


__all__ = ("Line", "Point", "fit_line")
