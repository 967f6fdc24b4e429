"""Outcomes that other VMs report about one upstream, and their sum.

Load pattern: hundreds of VMs report outcomes of a hundred upstreams, and each VM
compares all upstreams of a pool for every request that it places. Summing the reports
each time would be too slow. All outcomes decay at the same rate, and so does their sum:
it is stored, and an update from a VM changes it by the difference from that VM's last.
"""

from __future__ import annotations

import math

from quetzaldeck.decisions.health.outcomes import DecayingOutcomes, Outcomes

MIN_OUTCOME_WEIGHT = 0.05
"""A VM whose outcomes have decayed below this many requests is removed."""

MIN_NEW_ANSWER = 0.5
"""Increase of the answers of a VM that shows a new one, which counts as 1."""

MIN_PRUNE_SIZE = 16
"""Number of VMs up to which nothing is pruned."""


class PeerOutcomes:
    """The outcomes reported by each VM, and their sum."""

    def __init__(self) -> None:
        self._counts: dict[str, DecayingOutcomes] = {}
        self._sum = Outcomes()
        self._sum_ms = 0.0
        self._prune_size = MIN_PRUNE_SIZE
        self._answered_ms = -math.inf

    def __len__(self) -> int:
        return len(self._counts)

    @property
    def answered_ms(self) -> float:
        """:returns: when a VM last reported another answer of the upstream"""
        return self._answered_ms

    def update(self, vm: str, outcomes: Outcomes, now_ms: float) -> None:
        """Record outcomes reported by a VM; a repeated report keeps its age."""
        count = self._counts.setdefault(vm, DecayingOutcomes())
        if outcomes == count.last:
            return
        before = count.at(now_ms)
        if outcomes.n_answered - before.n_answered >= MIN_NEW_ANSWER:
            self._answered_ms = now_ms
        count.replace(outcomes, now_ms)
        self._set_sum(self.at(now_ms).add(outcomes).subtract(before), now_ms)
        if len(self._counts) > self._prune_size:
            self._prune(now_ms)

    def at(self, now_ms: float) -> Outcomes:
        """:returns: the sum, decayed until ``now_ms``"""
        return self._sum.decay(now_ms - self._sum_ms)

    def _prune(self, now_ms: float) -> None:
        """Remove VMs whose outcomes have decayed, and compute the sum again."""
        total = Outcomes()
        for vm, count in list(self._counts.items()):
            outcomes = count.at(now_ms)
            if outcomes.n_all < MIN_OUTCOME_WEIGHT:
                del self._counts[vm]
            else:
                total = total.add(outcomes)
        self._set_sum(total, now_ms)
        self._prune_size = max(MIN_PRUNE_SIZE, 2 * len(self._counts))

    def _set_sum(self, outcomes: Outcomes, now_ms: float) -> None:
        # Rounding errors of the subtraction may leave a small negative number.
        n_answered, n_failed = outcomes
        self._sum = Outcomes(max(0.0, n_answered), max(0.0, n_failed))
        self._sum_ms = now_ms


__all__ = ("MIN_OUTCOME_WEIGHT", "PeerOutcomes")
