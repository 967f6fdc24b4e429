"""Tests of line fitting."""

from __future__ import annotations

import pytest

from quetzaldeck.capacity import Point, fit_line


def test_fit_line_recovers_slope_and_intercept() -> None:
    line = fit_line([Point(size, 3 + 2 * size) for size in (1, 5, 9)])
    assert line.slope == pytest.approx(2)
    assert line.at(100) == pytest.approx(203)
    assert line.residual == pytest.approx(0)


def test_fit_line_reports_residual() -> None:
    line = fit_line([Point(1, 10), Point(2, 40), Point(3, 10)])
    assert line.residual > 0.5


def test_fit_line_rejects_two_distinct_sizes() -> None:
    with pytest.raises(ValueError, match="at least 3 sizes"):
        fit_line([Point(1, 1), Point(2, 2), Point(2, 3)])
