"""Event queue of the simulation, which advances its clock."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from quetzaldeck.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Callable

    Action = Callable[[], None]


class EventQueue:
    """Runs actions in order of time; actions of the same time in scheduling order."""

    def __init__(self) -> None:
        self.clock = ManualClock(wall_offset_ms=1.7e12)
        self._events: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    @property
    def now_ms(self) -> float:
        """:returns: simulated time, that of the current event"""
        return self.clock.now_ms()

    def at(self, at_ms: float, action: Action) -> None:
        """Schedule ``action`` at ``at_ms``, or at the current time if that is past."""
        due_ms = max(at_ms, self.now_ms)
        heapq.heappush(self._events, (due_ms, next(self._numbers), action))

    def after(self, delay_ms: float, action: Action) -> None:
        """Schedule ``action`` in ``delay_ms``."""
        self.at(self.now_ms + delay_ms, action)

    def run(self, until_ms: float) -> None:
        """Run all events up to ``until_ms``."""
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_ms - self.now_ms))
            action()


__all__ = ("EventQueue",)
