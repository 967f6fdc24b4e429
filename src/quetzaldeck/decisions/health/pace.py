"""The paces that engines report: how much slower than their nominal speed they are.

One VM polls each engine for its pace about once a second and sends it to the other VMs.
Old reports expire: an engine without a recent report counts as not slow.
"""

from __future__ import annotations

import math

NOMINAL_PACE = 1.0
"""Pace of an engine at its configured speed; 2.0 means half that speed."""

SLOW_PACE = 1.5
"""Pace from which an engine is avoided. A prompt that is prefilled in parts waits for
its slowest engine, so an engine that takes 1.5 times as long delays the prompt by more
than its share of the work saves."""

MAX_PACE_AGE_MS = 3_500.0
"""Age at which a pace expires. Reports are a second apart; two in a row may be lost."""


class Pace:
    """The last reported pace of one engine."""

    def __init__(self) -> None:
        self._pace = NOMINAL_PACE
        self._noted_ms = -math.inf

    def note(self, pace: float, now_ms: float) -> None:
        """Record a reported pace."""
        self._pace = pace
        self._noted_ms = now_ms

    def at(self, now_ms: float) -> float:
        """:returns: the reported pace; the nominal one if there is no recent report"""
        is_known = now_ms - self._noted_ms <= MAX_PACE_AGE_MS
        return self._pace if is_known else NOMINAL_PACE

    def is_slow(self, now_ms: float) -> bool:
        """:returns: whether the engine should be avoided"""
        return self.at(now_ms) >= SLOW_PACE


__all__ = ("MAX_PACE_AGE_MS", "NOMINAL_PACE", "SLOW_PACE", "Pace")
