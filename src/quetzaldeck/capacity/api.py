"""Interface and registry of the measurements behind docs/CAPACITY.md."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from quetzaldeck.capacity.fit import Line, Point, fit_line
from quetzaldeck.registry import Registry


class MeasurementInfo(NamedTuple):
    """Units and sizes of a measurement.

    :param size_unit: unit of the independent variable
    :param value_unit: unit of the measured value
    :param sizes: values of the independent variable; at least three
    """

    size_unit: str
    value_unit: str
    sizes: tuple[int, ...]


class Measurement(ABC):
    """Measures one value at several sizes."""

    @property
    @abstractmethod
    def info(self) -> MeasurementInfo:
        """:returns: units and sizes of the measurement"""

    @abstractmethod
    def measure(self, size: int) -> float:
        """:returns: the value at ``size``"""


class Slope(NamedTuple):
    """Measured points of one measurement and the line fitted to them."""

    name: str
    info: MeasurementInfo
    points: tuple[Point, ...]
    line: Line


measurements: Registry[Measurement] = Registry("measurement")


def run_measurement(name: str) -> Slope:
    """:returns: measured points and fitted line of the measurement ``name``"""
    measurement = measurements.get(name)()
    info = measurement.info
    points = tuple(Point(size, measurement.measure(size)) for size in info.sizes)
    return Slope(name, info, points, fit_line(points))


__all__ = ("Measurement", "MeasurementInfo", "Slope", "measurements", "run_measurement")
