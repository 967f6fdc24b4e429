"""Avoids upstreams that fail part of their requests but look healthy otherwise.

Failure scenario: one of three replicas of a service fails four requests in ten; its
health check passes, and most of its answers are good. Fifty-eight VMs send it one
request every twelve seconds each: no VM ever sees two failures in a row, so none ejects
it, and every eighth request of the fleet fails for as long as the fault lasts.

Therefore the VMs exchange the outcomes of their requests, and each judges by the sum.
An upstream counts as failing if it recently failed several requests, and a much larger
share than the other upstreams of its pool: requests that fail everywhere do not
indicate a fault of one upstream. At most a third of a pool is avoided, as with other
inconclusive evidence. Outcomes decay, so that an avoided upstream is tried again.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.pools.usable import MAX_AVOIDED_SHARE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.upstream_state import UpstreamState

MIN_FAILED = 2.0
"""Failures needed to suspect an upstream; a single one may be caused by the request."""

BASE_FACTOR = 2.0
"""An upstream counts as failing only if its share of failures is more than this many
times that of the other upstreams."""

MIN_EXCESS = 0.15
"""Share of failures beyond that multiple from which avoiding the upstream is worth the
additional load on the others."""


def exclude_failing(
    candidates: Sequence[UpstreamState], pool: Sequence[UpstreamState], now_ms: float
) -> list[UpstreamState]:
    """:returns: the candidates without those that fail most; all if none would be left

    :param candidates: upstreams that may run a request
    :param pool: all upstreams that serve the request, used for comparison
    """
    avoided = find_failing(pool, now_ms)
    remaining = [state for state in candidates if state.spec.name not in avoided]
    return remaining or list(candidates)


def find_failing(pool: Sequence[UpstreamState], now_ms: float) -> dict[str, Outcomes]:
    """:returns: the outcomes of the upstreams of a pool to avoid, by name"""
    outcomes = {state.spec.name: state.outcomes_at(now_ms) for state in pool}
    if all(one.n_failed < MIN_FAILED for one in outcomes.values()):
        return {}
    total = Outcomes()
    for one in outcomes.values():
        total = total.add(one)
    failing = [name for name, one in outcomes.items() if _is_failing(one, total)]
    failing.sort(key=lambda name: -_share(outcomes[name]))
    n_avoided = math.floor(len(pool) * MAX_AVOIDED_SHARE)
    return {name: outcomes[name] for name in failing[:n_avoided]}


def _is_failing(one: Outcomes, total: Outcomes) -> bool:
    if one.n_failed < MIN_FAILED:
        return False
    others = _share(total.subtract(one))
    return _share(one) > BASE_FACTOR * others + MIN_EXCESS


def _share(outcomes: Outcomes) -> float:
    return outcomes.n_failed / outcomes.n_all if outcomes.n_all > 0 else 0.0


__all__ = ("BASE_FACTOR", "MIN_EXCESS", "MIN_FAILED", "exclude_failing", "find_failing")
