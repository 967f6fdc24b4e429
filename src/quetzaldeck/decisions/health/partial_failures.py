"""Upstreams that fail a part of their requests while they look healthy.

Load pattern: one of three desks fails four bookings in ten; its health check passes,
and most of its answers are good. Fifty-eight VMs send it one booking in twelve seconds
each: no VM ever sees two failures in a row, so none takes it out, and every eighth
booking of the fleet fails for as long as the fault lasts.

So VMs tell each other what came of their requests, and all judge by the sum. An
upstream counts as failing if it failed several requests lately and a much larger part
than the others of its pool: a kind of request that fails everywhere says nothing of one
upstream. At most a third of a pool is avoided, as with other faults that are no proof.
What was seen counts less with time, so that an avoided upstream is tried again.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.health.pool import MAX_SOFT_EJECTED

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.upstream_state import UpstreamState

MIN_FAILED = 2.0
"""Failures that make a suspicion; one may be the request's own fault."""

BASE_FACTOR = 2.0
"""An upstream that fails less than this many times as large a part as the others is as
they are."""

MIN_EXCESS = 0.15
"""Part of its requests that an upstream fails beyond that, before avoiding it is worth
the load that it puts on the others."""


def exclude_failing(
    candidates: Sequence[UpstreamState], pool: Sequence[UpstreamState], now_ms: float
) -> list[UpstreamState]:
    """:returns: the candidates without the worst of those that fail in part

    :param candidates: upstreams that may take a request
    :param pool: all upstreams that serve it, which they are compared with
    """
    avoided = find_failing(pool, now_ms)
    sound = [state for state in candidates if state.spec.name not in avoided]
    return sound or list(candidates)


def find_failing(pool: Sequence[UpstreamState], now_ms: float) -> dict[str, Outcomes]:
    """:returns: the upstreams of a pool that are avoided, and why"""
    outcomes = {state.spec.name: state.outcomes_at(now_ms) for state in pool}
    if all(one.n_failed < MIN_FAILED for one in outcomes.values()):
        return {}
    total = Outcomes()
    for one in outcomes.values():
        total = total.add(one)
    failing = [name for name, one in outcomes.items() if _is_failing(one, total)]
    failing.sort(key=lambda name: -_share(outcomes[name]))
    n_avoided = math.floor(len(pool) * MAX_SOFT_EJECTED)
    return {name: outcomes[name] for name in failing[:n_avoided]}


def _is_failing(one: Outcomes, total: Outcomes) -> bool:
    if one.n_failed < MIN_FAILED:
        return False
    others = _share(total.subtract(one))
    return _share(one) > BASE_FACTOR * others + MIN_EXCESS


def _share(outcomes: Outcomes) -> float:
    return outcomes.n_failed / outcomes.n_all if outcomes.n_all > 0 else 0.0


__all__ = ("BASE_FACTOR", "MIN_EXCESS", "MIN_FAILED", "exclude_failing", "find_failing")
