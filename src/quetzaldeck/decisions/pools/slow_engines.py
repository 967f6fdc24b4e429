"""Avoids engines that report a slow pace, i.e. a slowdown against their nominal speed.

Failure scenario: one of fourteen engines runs at a fifth of its speed for some seconds
but still answers. A prompt of 130,000 tokens is prefilled in parts by up to seventeen
engines, and its first token has to wait for the last part, so one slow engine delays
every such prompt. The prefill time of a prompt does not show which of its engines was
slow, and an engine that prefills parts for others yields no answers by which it could
be judged. Therefore each engine is polled for its pace, see
:mod:`quetzaldeck.decisions.health.pace`.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.pools.usable import MAX_AVOIDED_SHARE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.upstream_state import UpstreamState


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


__all__ = ("exclude_slow",)
