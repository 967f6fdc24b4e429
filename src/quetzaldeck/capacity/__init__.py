"""Measurements of how costs grow with load; docs/CAPACITY.md is computed from them."""

from __future__ import annotations

from quetzaldeck.capacity import bundle_size, gateway_cpu, prompt_memory
from quetzaldeck.capacity.api import (
    Measurement,
    MeasurementInfo,
    Slope,
    measurements,
    run_measurement,
)
from quetzaldeck.capacity.fit import Line, Point, fit_line

__all__ = (
    "Line",
    "Measurement",
    "MeasurementInfo",
    "Point",
    "Slope",
    "bundle_size",
    "fit_line",
    "gateway_cpu",
    "measurements",
    "prompt_memory",
    "run_measurement",
)
