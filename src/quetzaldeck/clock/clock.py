"""The clock that is passed to all time-dependent code."""

from __future__ import annotations

import math
import time

MS_PER_SECOND = 1000.0


class Clock:
    """Reads the clocks of the system, in milliseconds."""

    def now_ms(self) -> float:
        """:returns: monotonic time, for intervals and deadlines"""
        return time.monotonic() * MS_PER_SECOND

    def uptime_ms(self) -> float:
        """Read a clock that continues while the whole VM is suspended.

        The monotonic clock leaves out suspensions and would report too low an age for
        data that was confirmed before one. The wall clock includes them, but may be
        set back.

        :returns: time since the VM's boot, for the age of its copy of the fleet state
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND

    def wall_ms(self) -> float:
        """:returns: time since the Unix epoch, for validity times only"""
        return time.time() * MS_PER_SECOND


def round_timer_s(wait_ms: float) -> float:
    """Round the time of a timer up to whole milliseconds.

    The event loop rounds to the nearest one. Who checks the clock as the timer fires,
    and waits for the rest, would do so many times, each time for nothing.

    :param wait_ms: time to wait, in milliseconds
    :returns: time to wait, in seconds
    """
    return math.ceil(wait_ms) / MS_PER_SECOND


__all__ = ("MS_PER_SECOND", "Clock", "round_timer_s")
