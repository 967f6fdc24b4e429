"""Exponentially decaying counts of an upstream's answered and failed requests."""

from __future__ import annotations

import math
from typing import NamedTuple

HALF_LIFE_MS = 10_000.0
"""Age at which an outcome counts half. An avoided upstream yields no new outcomes;
after about this time two failures are forgotten, and it is tried again."""


class Outcomes(NamedTuple):
    """Weighted counts of recent outcomes; older ones weigh less.

    :param n_answered: requests that the upstream answered
    :param n_failed: requests that ended in an error response, a broken connection or
        silence
    """

    n_answered: float = 0.0
    n_failed: float = 0.0

    @property
    def n_all(self) -> float:
        """:returns: answered and failed requests together"""
        return self.n_answered + self.n_failed

    def add(self, other: Outcomes) -> Outcomes:
        """:returns: the sum"""
        return Outcomes(
            self.n_answered + other.n_answered, self.n_failed + other.n_failed
        )

    def subtract(self, other: Outcomes) -> Outcomes:
        """:returns: the difference"""
        return Outcomes(
            self.n_answered - other.n_answered, self.n_failed - other.n_failed
        )

    def decay(self, elapsed_ms: float) -> Outcomes:
        """:returns: the counts after decaying for ``elapsed_ms``"""
        factor = math.pow(0.5, max(0.0, elapsed_ms) / HALF_LIFE_MS)
        return Outcomes(self.n_answered * factor, self.n_failed * factor)


class DecayingOutcomes:
    """Outcomes, stored with the time of the last one and decayed on read.

    The stored counts change only with a new outcome. If they decayed continuously, they
    would differ at each read and be sent to the other VMs over and over.
    """

    def __init__(self) -> None:
        self._outcomes = Outcomes()
        self._at_ms = 0.0

    @property
    def last(self) -> Outcomes:
        """:returns: the counts at the time of the last outcome, not decayed since"""
        return self._outcomes

    def note(self, now_ms: float, *, is_answered: bool) -> None:
        """Add an outcome."""
        one = Outcomes(1.0, 0.0) if is_answered else Outcomes(0.0, 1.0)
        self.replace(self.at(now_ms).add(one), now_ms)

    def take_back_failure(self, now_ms: float) -> None:
        """Remove a failure that has turned out to be none."""
        outcomes = self.at(now_ms)
        n_failed = max(0.0, outcomes.n_failed - 1.0)
        self.replace(outcomes._replace(n_failed=n_failed), now_ms)

    def replace(self, outcomes: Outcomes, now_ms: float) -> None:
        """Replace the counts; equal counts are a repetition and keep their age."""
        if outcomes != self._outcomes:
            self._outcomes = outcomes
            self._at_ms = now_ms

    def at(self, now_ms: float) -> Outcomes:
        """:returns: the counts, decayed until ``now_ms``"""
        return self._outcomes.decay(now_ms - self._at_ms)


__all__ = ("HALF_LIFE_MS", "DecayingOutcomes", "Outcomes")
