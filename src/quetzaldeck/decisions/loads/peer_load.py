"""Load that the other VMs put on an upstream.

Load pattern: seven to eighty VMs place requests on the same engines, each seeing a
small part of the traffic. Load reports in responses are a second old, and do not show
that a prompt of 300,000 tokens is being prefilled. Without the loads of the other VMs,
each VM assumes that an engine it has not used is idle, and places short requests behind
long prefills that it does not know of.

Each VM sends the others its current load on each upstream. A newer load replaces the
older one, so lost or duplicate updates do no harm. A load that is not refreshed
expires, so a VM that died leaves nothing behind.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.health.peer_outcomes import PeerOutcomes

PEER_LOAD_TTL_MS = 4_500.0
"""Age at which the load of a VM expires. It is refreshed every two seconds, and one
message may be lost. The load of a dead VM counts for that long."""


class VmLoad(NamedTuple):
    """Load that one VM puts on one upstream.

    :param n_requests: requests that run there, prompt parts included
    :param n_prefill_tokens: prompt tokens still to be prefilled there
    :param n_kv_tokens: KV cache that its requests occupy there, in tokens
    :param n_parts: number of them that are prompt parts: another engine answers them
    :param outcomes: outcomes of its requests there, as of the last one
    :param incarnation: incarnation of the upstream that has this load; ``""``: unknown
    :param refuses_help: whether the upstream recently refused a prompt part
    """

    n_requests: int = 0
    n_prefill_tokens: int = 0
    n_kv_tokens: int = 0
    n_parts: int = 0
    outcomes: Outcomes = Outcomes()
    incarnation: str = ""
    refuses_help: bool = False

    @property
    def has_load(self) -> bool:
        """:returns: whether the VM has any load there now"""
        return any(self[:4])

    @property
    def needs_refresh(self) -> bool:
        """:returns: whether it must be refreshed, since receivers let it expire"""
        return self.has_load or self.refuses_help

    @property
    def says_anything(self) -> bool:
        """:returns: whether it contains a load, a refusal or outcomes"""
        return self.needs_refresh or self.outcomes.n_all > 0

    def exceeds(self, other: VmLoad) -> bool:
        """:returns: whether any figure is higher than in ``other``"""
        if self.refuses_help and not other.refuses_help:
            return True
        return any(
            own > theirs for own, theirs in zip(self[:4], other[:4], strict=True)
        )


class PeerLoad:
    """Loads that the other VMs put on one upstream.

    The total is cached until a load changes or expires, because each placement reads
    the totals of all upstreams several times.
    """

    def __init__(self) -> None:
        self._loads: dict[str, tuple[float, VmLoad]] = {}
        self._total = _NO_LOAD
        self._total_until_ms = math.inf
        self.updated_ms = -math.inf
        self.outcomes = PeerOutcomes()

    def update(self, vm: str, load: VmLoad, now_ms: float) -> int:
        """Replace the load of a VM.

        :returns: increase of the VM's prompt tokens still to be prefilled here
        """
        self.updated_ms = now_ms
        before = self._loads.pop(vm, None)
        if load.needs_refresh:
            self._loads[vm] = (now_ms, load)
        if before is not None or load.needs_refresh:
            self._total_until_ms = -math.inf
        if load.outcomes.n_all:
            self.outcomes.update(vm, load.outcomes, now_ms)
        n_before = 0
        if before is not None and now_ms - before[0] <= PEER_LOAD_TTL_MS:
            n_before = before[1].n_prefill_tokens
        return max(0, load.n_prefill_tokens - n_before)

    def total(self, now_ms: float) -> VmLoad:
        """:returns: sum of the loads that have not expired"""
        if now_ms > self._total_until_ms:
            self._recompute_total(now_ms)
        return self._total

    def _recompute_total(self, now_ms: float) -> None:
        oldest_ms = math.inf
        for vm, (updated_ms, _) in list(self._loads.items()):
            if now_ms - updated_ms > PEER_LOAD_TTL_MS:
                del self._loads[vm]
            else:
                oldest_ms = min(oldest_ms, updated_ms)
        loads = [load for _, load in self._loads.values()]
        self._total_until_ms = oldest_ms + PEER_LOAD_TTL_MS
        self._total = VmLoad(
            sum(load.n_requests for load in loads),
            sum(load.n_prefill_tokens for load in loads),
            sum(load.n_kv_tokens for load in loads),
            sum(load.n_parts for load in loads),
            refuses_help=any(load.refuses_help for load in loads),
        )


_NO_LOAD = VmLoad()

__all__ = ("PEER_LOAD_TTL_MS", "PeerLoad", "VmLoad")
