"""A clock that is advanced explicitly, for tests and simulations."""

from __future__ import annotations

from quetzaldeck.clock.clock import Clock


class ManualClock(Clock):
    """A clock that a simulation or a test advances.

    :param now_ms: initial monotonic time in milliseconds
    :param wall_offset_ms: wall clock minus monotonic clock in milliseconds
    """

    def __init__(self, now_ms: float = 0.0, *, wall_offset_ms: float = 0.0) -> None:
        self._now_ms = now_ms
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> float:
        """:returns: the current time, in milliseconds"""
        return self._now_ms

    def uptime_ms(self) -> float:
        """:returns: the current time, in milliseconds"""
        return self._now_ms

    def wall_ms(self) -> float:
        """:returns: the current time plus the wall offset, in milliseconds"""
        return self._now_ms + self._wall_offset_ms

    def advance(self, delta_ms: float) -> None:
        """Advance the clock.

        :param delta_ms: milliseconds
        :raises ValueError: if ``delta_ms`` is negative
        """
        if delta_ms < 0:
            msg = f"the clock cannot be set back by {-delta_ms} ms"
            raise ValueError(msg)
        self._now_ms += delta_ms


__all__ = ("ManualClock",)
