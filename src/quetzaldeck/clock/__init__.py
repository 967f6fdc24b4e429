"""Clocks that return milliseconds."""

from __future__ import annotations

from quetzaldeck.clock.clock import Clock
from quetzaldeck.clock.manual import ManualClock

__all__ = ("Clock", "ManualClock")
