"""Engines that say of themselves that they are slow.

Load pattern: one engine of fourteen works at a fifth of its speed for some seconds,
and answers. A prompt of 130,000 tokens is read in parts by up to seventeen engines, and
its first token follows the last part, so that one slow reader makes each of them late.
How long a prompt took does not tell which of its readers was slow, and an engine that
reads parts for others gives no answers by which it could be judged.

So each engine is asked for its pace about once a second by one VM, which tells the
others. What is old is forgotten: an engine of which nothing is known is not slow.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.health.pool import MAX_SOFT_EJECTED

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.upstream_state import UpstreamState

NOMINAL_PACE = 1.0
"""What an engine reports that works at its stated speed; twice as much is half as
fast."""

SLOW_PACE = 1.5
"""Pace from which an engine is avoided. A prompt in parts waits for its slowest reader,
so one that takes half as long again costs more than the part that it would read."""

MAX_PACE_AGE_MS = 3_500.0
"""Age at which a pace is forgotten: three reports, a second apart, may be lost."""


class Pace:
    """What is known of the pace of one engine."""

    def __init__(self) -> None:
        self._pace = NOMINAL_PACE
        self._noted_ms = -math.inf

    def note(self, pace: float, now_ms: float) -> None:
        """Take what the engine said."""
        self._pace = pace
        self._noted_ms = now_ms

    def at(self, now_ms: float) -> float:
        """:returns: the pace, the usual one if nothing was heard lately"""
        is_known = now_ms - self._noted_ms <= MAX_PACE_AGE_MS
        return self._pace if is_known else NOMINAL_PACE

    def is_slow(self, now_ms: float) -> bool:
        """:returns: whether the engine should be avoided"""
        return self.at(now_ms) >= SLOW_PACE


def exclude_slow(
    candidates: Sequence[UpstreamState], pool: Sequence[UpstreamState], now_ms: float
) -> list[UpstreamState]:
    """:returns: the candidates without the slowest engines of the pool

    At most a third of a pool is avoided: if all are slow, the load is.

    :param pool: all engines that serve the same requests
    """
    slow = [state for state in pool if state.pace.is_slow(now_ms)]
    slow.sort(key=lambda state: -state.pace.at(now_ms))
    n_avoided = math.floor(len(pool) * MAX_SOFT_EJECTED)
    avoided = {state.spec.name for state in slow[:n_avoided]}
    fast = [state for state in candidates if state.spec.name not in avoided]
    return fast or list(candidates)


__all__ = ("MAX_PACE_AGE_MS", "NOMINAL_PACE", "SLOW_PACE", "Pace", "exclude_slow")
