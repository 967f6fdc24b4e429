"""What came of the requests of all other VMs at one upstream.

Load pattern: hundreds of VMs tell of a hundred upstreams, and each VM compares all
upstreams of a pool for each request that it places. All outcomes lose weight at one
rate, so that their sum does too: it is kept, and a VM's news change it by what they say
beyond the VM's last ones.
"""

from __future__ import annotations

from quetzaldeck.decisions.health.outcomes import DecayingOutcomes, Outcomes

MIN_OUTCOME_WEIGHT = 0.05
"""Requests that count for less than this are forgotten, with the VM that told them."""

MIN_PRUNE_SIZE = 16
"""VMs that are kept without a look at which of them may be forgotten."""


class PeerOutcomes:
    """The outcomes that each VM told, and their sum."""

    def __init__(self) -> None:
        self._counts: dict[str, DecayingOutcomes] = {}
        self._sum = Outcomes()
        self._sum_ms = 0.0
        self._prune_size = MIN_PRUNE_SIZE

    def __len__(self) -> int:
        return len(self._counts)

    def take(self, vm: str, outcomes: Outcomes, now_ms: float) -> None:
        """Take what a VM told; the same as before is as old as before."""
        count = self._counts.setdefault(vm, DecayingOutcomes())
        if outcomes == count.last:
            return
        before = count.at(now_ms)
        count.replace(outcomes, now_ms)
        self._set_sum(self.at(now_ms).add(outcomes).subtract(before), now_ms)
        if len(self._counts) > self._prune_size:
            self._forget(now_ms)

    def at(self, now_ms: float) -> Outcomes:
        """:returns: the sum as of now"""
        return self._sum.age(now_ms - self._sum_ms)

    def _forget(self, now_ms: float) -> None:
        """Forget VMs whose outcomes have lost their weight, and add up anew."""
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
        # Rounding may leave a little less than nothing.
        n_answered, n_failed = outcomes
        self._sum = Outcomes(max(0.0, n_answered), max(0.0, n_failed))
        self._sum_ms = now_ms


__all__ = ("MIN_OUTCOME_WEIGHT", "PeerOutcomes")
