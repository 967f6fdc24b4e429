"""Says when an upstream begins and ends to be avoided: it fails in part, or is slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.decisions import Scheduler

LOOK_MS = 1_000.0
"""Time between two looks. Each adds up what all VMs told of all upstreams."""

N_DIGITS = 2
"""Of the shares in a log line."""


class FailingUpstreams:
    """Compares what is avoided with what was; a line for each change.

    :param scheduler: decides what is avoided
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._known: frozenset[str] = frozenset()
        self._known_slow: frozenset[str] = frozenset()
        self._next_look_ms = 0.0

    def look(self, now_ms: float) -> None:
        """Say what has changed, if it is time."""
        if now_ms < self._next_look_ms:
            return
        self._next_look_ms = now_ms + LOOK_MS
        self._look_at_failures(now_ms)
        self._look_at_paces(now_ms)

    def _look_at_failures(self, now_ms: float) -> None:
        failing = self._scheduler.upstreams.find_failing(now_ms)
        for name in sorted(failing.keys() - self._known):
            outcomes = failing[name]
            log_event(
                "upstream_avoided",
                level="WARNING",
                upstream=name,
                n_failed=round(outcomes.n_failed, N_DIGITS),
                n_answered=round(outcomes.n_answered, N_DIGITS),
            )
        for name in sorted(self._known - failing.keys()):
            log_event("upstream_tried_again", upstream=name)
        self._known = frozenset(failing)

    def _look_at_paces(self, now_ms: float) -> None:
        slow = self._scheduler.upstreams.find_slow(now_ms)
        for name in sorted(slow.keys() - self._known_slow):
            pace = round(slow[name], N_DIGITS)
            log_event("engine_slow", level="WARNING", upstream=name, pace=pace)
        for name in sorted(self._known_slow - slow.keys()):
            log_event("engine_at_speed", upstream=name)
        self._known_slow = frozenset(slow)


__all__ = ("LOOK_MS", "FailingUpstreams")
