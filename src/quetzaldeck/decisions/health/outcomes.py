"""How many of the requests that an upstream was sent lately it failed."""

from __future__ import annotations

import math
from typing import NamedTuple

HALF_LIFE_MS = 10_000.0
"""Age at which an outcome counts half. An upstream that is avoided gives no further
ones: two faults are forgotten, and it is tried again, after about this time."""


class Outcomes(NamedTuple):
    """Recent outcomes, older ones counting less.

    :param n_answered: requests that it answered
    :param n_failed: requests that it answered with a failure, broke off, or left silent
    """

    n_answered: float = 0.0
    n_failed: float = 0.0

    @property
    def n_all(self) -> float:
        """:returns: requests that say something of the upstream"""
        return self.n_answered + self.n_failed

    def add(self, other: Outcomes) -> Outcomes:
        """:returns: the sum"""
        return Outcomes(
            self.n_answered + other.n_answered, self.n_failed + other.n_failed
        )

    def subtract(self, other: Outcomes) -> Outcomes:
        """:returns: what is left without ``other``"""
        return Outcomes(
            self.n_answered - other.n_answered, self.n_failed - other.n_failed
        )

    def age(self, elapsed_ms: float) -> Outcomes:
        """:returns: what they count after some more time"""
        factor = math.pow(0.5, max(0.0, elapsed_ms) / HALF_LIFE_MS)
        return Outcomes(self.n_answered * factor, self.n_failed * factor)


class DecayingOutcomes:
    """Outcomes as of the last one: a number that nothing happened to stays the same.

    Were it aged by the clock it would be a new number at each look, and be told to the
    other VMs without end.
    """

    def __init__(self) -> None:
        self._outcomes = Outcomes()
        self._at_ms = 0.0

    @property
    def last(self) -> Outcomes:
        """:returns: the outcomes as of the last one"""
        return self._outcomes

    def note(self, now_ms: float, *, is_answered: bool) -> None:
        """Count an outcome."""
        one = Outcomes(1.0, 0.0) if is_answered else Outcomes(0.0, 1.0)
        self.replace(self.at(now_ms).add(one), now_ms)

    def replace(self, outcomes: Outcomes, now_ms: float) -> None:
        """Take other outcomes as of now; the same as before are as old as before."""
        if outcomes != self._outcomes:
            self._outcomes = outcomes
            self._at_ms = now_ms

    def at(self, now_ms: float) -> Outcomes:
        """:returns: the outcomes as of now"""
        return self._outcomes.age(now_ms - self._at_ms)


__all__ = ("HALF_LIFE_MS", "DecayingOutcomes", "Outcomes")
