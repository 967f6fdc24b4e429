"""Logs when an upstream becomes degraded (partly failing, or slow) or recovers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.decisions import Scheduler

CHECK_INTERVAL_MS = 1_000.0
"""Interval between checks. Each sums up the reports of all VMs on all upstreams."""

N_DIGITS = 2
"""Decimal places of the figures in a log line."""


class DegradedUpstreamsLog:
    """Writes a log line for each upstream whose state has changed since the last check.

    :param scheduler: decides which upstreams are degraded
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._failing: frozenset[str] = frozenset()
        self._slow: frozenset[str] = frozenset()
        self._next_check_ms = 0.0

    def check(self, now_ms: float) -> None:
        """Log the changes since the last check, if the interval has passed."""
        if now_ms < self._next_check_ms:
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        self._check_failures(now_ms)
        self._check_paces(now_ms)

    def _check_failures(self, now_ms: float) -> None:
        failing = self._scheduler.upstreams.find_failing(now_ms)
        for name in sorted(failing.keys() - self._failing):
            outcomes = failing[name]
            log_event(
                "upstream_avoided",
                level="WARNING",
                upstream=name,
                n_failed=round(outcomes.n_failed, N_DIGITS),
                n_answered=round(outcomes.n_answered, N_DIGITS),
            )
        for name in sorted(self._failing - failing.keys()):
            log_event("upstream_tried_again", upstream=name)
        self._failing = frozenset(failing)

    def _check_paces(self, now_ms: float) -> None:
        slow = self._scheduler.upstreams.find_slow(now_ms)
        for name in sorted(slow.keys() - self._slow):
            pace = round(slow[name], N_DIGITS)
            log_event("engine_slow", level="WARNING", upstream=name, pace=pace)
        for name in sorted(self._slow - slow.keys()):
            log_event("engine_at_speed", upstream=name)
        self._slow = frozenset(slow)


__all__ = ("CHECK_INTERVAL_MS", "DegradedUpstreamsLog")
