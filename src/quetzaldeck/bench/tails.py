"""Quantiles of a set of measured values."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class Tails(NamedTuple):
    """Count, quantiles and mean of a set of values; all 0 if it is empty."""

    n: int
    p50: float
    p95: float
    p99: float
    mean: float


def compute_tails(values: Iterable[float]) -> Tails:
    """:returns: quantiles of ``values``"""
    ordered = sorted(values)
    if not ordered:
        return Tails(0, 0.0, 0.0, 0.0, 0.0)

    def quantile(share: float) -> float:
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    mean = sum(ordered) / len(ordered)
    return Tails(len(ordered), quantile(0.5), quantile(0.95), quantile(0.99), mean)


__all__ = ("Tails", "compute_tails")
