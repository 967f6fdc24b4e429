"""Limits how many upstreams of a pool are ejected, so that some can always be used.

Failure scenario: many upstreams of a pool are judged faulty at once, either rightly (an
availability zone has failed) or wrongly (this VM's own network has failed). Without the
limit, a VM with a wrong judgement would refuse every request while all upstreams are
healthy.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.health.state import HealthState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.upstream_state import UpstreamState

MAX_AVOIDED_SHARE = 0.34
"""Largest share of a pool avoided on inconclusive evidence: one of three zones.

A refused connection or a crash loop proves a fault of the upstream, whereas silence may
also be a fault of the network path or of this VM.
"""


def list_usable(pool: Sequence[UpstreamState]) -> list[UpstreamState]:
    """:returns: the upstreams that get ordinary requests

    They include silent upstreams beyond the limit on ejections and, if no others are
    left, the least faulty of the idle ones.
    """
    usable = [state for state in pool if not state.health.is_ejected]
    silent = sorted(
        (state for state in pool if _is_silent(state)), key=_hold_until, reverse=True
    )
    n_ejected = math.floor(len(pool) * MAX_AVOIDED_SHARE)
    usable.extend(silent[n_ejected:])
    return usable or _least_faulty(pool)


def admit_probes(pool: Sequence[UpstreamState], now_ms: float) -> list[UpstreamState]:
    """:returns: ejected upstreams that may be probed with one request now"""
    return [state for state in pool if state.health.may_probe(now_ms)]


def _least_faulty(pool: Sequence[UpstreamState]) -> list[UpstreamState]:
    """:returns: idle upstreams with the oldest evidence, up to half of the pool

    Only idle ones are returned, so that each gets one request at a time. With the whole
    pool ejected, a wrong judgement cannot be distinguished from a dead pool. Refused
    connections cost next to nothing, so trying is cheaper than refusing the request.
    """
    idle = [state for state in pool if state.n_in_flight == 0]
    idle.sort(key=_hold_until)
    return idle[: max(1, math.ceil(len(pool) / 2))]


def _is_silent(state: UpstreamState) -> bool:
    return state.health.ejected_state is HealthState.SILENT


def _hold_until(state: UpstreamState) -> float:
    return state.health.hold_until_ms


__all__ = ("MAX_AVOIDED_SHARE", "admit_probes", "list_usable")
