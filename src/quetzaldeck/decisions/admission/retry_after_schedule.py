"""Retry delays sent to refused callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MIN_RETRY_AFTER_MS = 500.0
MAX_RETRY_AFTER_MS = 60_000.0
"""Limits of the delay. After a shorter delay callers would find the same queue; with a
longer one they would not notice that the load has decreased."""
JITTER = 0.2
"""Maximum random addition, as a share of the delay, so that callers refused at the same
moment do not return at the same moment."""


class RetryAfterSchedule:
    """Spreads the retries of refused callers over time.

    Load pattern: overload, or the second after the loss of a zone, when thousands of
    requests are refused at once. With equal delays, all callers return together and
    most are refused again, so the load arrives in waves for minutes.

    Each refusal reserves the time that its work takes at the current drain rate, so
    retries arrive one after the other and no faster than the queue drains. Jitter
    prevents VMs that refuse at the same moments from assigning the same delays.

    :param random_state: source of jitter
    """

    def __init__(self, random_state: random.Random) -> None:
        self._random_state = random_state
        self._reserved_until_ms = 0.0

    def reserve(self, now_ms: float, wait_ms: float, work_ms: float) -> float:
        """Reserve a time slot for a retry.

        :param wait_ms: time until the caller could be served without other arrivals
        :param work_ms: time to drain the work of the request from the queue
        :returns: delay in milliseconds after which the caller should retry
        """
        earliest_ms = now_ms + max(MIN_RETRY_AFTER_MS, wait_ms)
        due_ms = max(earliest_ms, self._reserved_until_ms)
        due_ms = min(due_ms, now_ms + MAX_RETRY_AFTER_MS)
        self._reserved_until_ms = min(due_ms + work_ms, now_ms + MAX_RETRY_AFTER_MS)
        jitter_factor = 1.0 + self._random_state.uniform(0.0, JITTER)
        return (due_ms - now_ms) * jitter_factor


__all__ = ("JITTER", "MAX_RETRY_AFTER_MS", "MIN_RETRY_AFTER_MS", "RetryAfterSchedule")
