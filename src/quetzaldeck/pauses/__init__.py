"""Detection of process pauses between a decision and its effect.

>>> from quetzaldeck.clock import ManualClock
>>> from quetzaldeck.pauses import PauseError, PauseGuard
>>> clock = ManualClock()
>>> guard = PauseGuard(clock, max_pause_ms=500)
>>> decided = guard.begin()
>>> guard.check(decided)
>>> clock.advance(60_000)
>>> try:
...     guard.check(decided)
... except PauseError as error:
...     print(error.elapsed_ms)
60000.0
"""

from __future__ import annotations

from quetzaldeck.pauses.guard import DecisionTime, PauseError, PauseGuard

__all__ = ("DecisionTime", "PauseError", "PauseGuard")
