"""Avoids engines that report a slow pace, i.e. a slowdown against their nominal speed.

Failure scenario: one of fourteen engines runs at a fifth of its speed for some seconds
but still answers. A prompt of 130,000 tokens is prefilled in parts by up to seventeen
engines, and its first token has to wait for the last part, so one slow engine delays
every such prompt. The prefill time of a prompt does not show which of its engines was
slow, and an engine that prefills parts for others yields no answers by which it could
be judged.

Therefore one VM polls each engine for its pace about once a second and sends it to the
other VMs. Old reports expire: an engine without a recent report counts as not slow.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.health.pool import MAX_AVOIDED_SHARE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.upstream_state import UpstreamState

NOMINAL_PACE = 1.0
"""Pace of an engine at its configured speed; 2.0 means half that speed."""

SLOW_PACE = 1.5
"""Pace from which an engine is avoided. A prompt that is prefilled in parts waits for
its slowest engine, so an engine that takes 1.5 times as long delays the prompt by more
than its share of the work saves."""

MAX_PACE_AGE_MS = 3_500.0
"""Age at which a pace expires. Reports are a second apart; two in a row may be lost."""


class Pace:
    """The last reported pace of one engine."""

    def __init__(self) -> None:
        self._pace = NOMINAL_PACE
        self._noted_ms = -math.inf

    def note(self, pace: float, now_ms: float) -> None:
        """Record a reported pace."""
        self._pace = pace
        self._noted_ms = now_ms

    def at(self, now_ms: float) -> float:
        """:returns: the reported pace; the nominal one if there is no recent report"""
        is_known = now_ms - self._noted_ms <= MAX_PACE_AGE_MS
        return self._pace if is_known else NOMINAL_PACE

    def is_slow(self, now_ms: float) -> bool:
        """:returns: whether the engine should be avoided"""
        return self.at(now_ms) >= SLOW_PACE


def exclude_slow(
    candidates: Sequence[UpstreamState], pool: Sequence[UpstreamState], now_ms: float
) -> list[UpstreamState]:
    """:returns: the candidates without the slowest engines of the pool

    At most a third of a pool is avoided: if all engines are slow, the load is the
    cause. All candidates are returned if none would be left.

    :param pool: all engines that serve the same requests
    """
    slow = [state for state in pool if state.pace.is_slow(now_ms)]
    slow.sort(key=lambda state: -state.pace.at(now_ms))
    n_avoided = math.floor(len(pool) * MAX_AVOIDED_SHARE)
    avoided = {state.spec.name for state in slow[:n_avoided]}
    fast = [state for state in candidates if state.spec.name not in avoided]
    return fast or list(candidates)


__all__ = ("MAX_PACE_AGE_MS", "NOMINAL_PACE", "SLOW_PACE", "Pace", "exclude_slow")
