"""Detects that this process or its whole VM was paused."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock


class PauseDetector:
    """Compares the time between two steps of a periodic task with a limit.

    Both clocks are read: on some hosts the monotonic clock stops while a VM is
    suspended, and the wall clock may be set back.

    :param max_gap_ms: a longer time between two calls of :meth:`check` is a pause
    """

    def __init__(self, clock: Clock, *, max_gap_ms: float) -> None:
        self._clock = clock
        self._max_gap_ms = max_gap_ms
        self._last = (clock.now_ms(), clock.wall_ms())

    def check(self) -> bool:
        """:returns: whether there was a pause since the last call"""
        now = (self._clock.now_ms(), self._clock.wall_ms())
        gap_ms = max(now[0] - self._last[0], now[1] - self._last[1])
        self._last = now
        return gap_ms > self._max_gap_ms


__all__ = ("PauseDetector",)
