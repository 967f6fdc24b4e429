"""Power of few choices: the best of a few random candidates and cache holders.

Load pattern: seven to hundreds of VMs place requests on the same engines, based on the
same delayed load reports. Without random sampling, all VMs choose the engine reported
idle until the next report, and the overload moves from engine to engine. Without a
bound on cache affinity, a popular prefix overloads the one engine that holds it.

Two random candidates already reduce the longest queue from about log n to log log n;
the third covers a candidate that is faulty or full. A cached prefix is worth the cost
of prefilling it, so requests go to other engines as soon as the backlog of the engine
that holds the prefix exceeds that cost. :data:`MAX_AFFINITY_TOKENS` limits this worth,
so that a prefix of hundreds of thousands of tokens never justifies a wait of minutes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.placement.api import PlacementPolicy, placement_policies
from quetzaldeck.decisions.placement.cost import CostWeights, estimate_cost
from quetzaldeck.decisions.placement.median_latency import median_ms_per_token
from quetzaldeck.decisions.placement.prefix_index import PrefixIndex

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from quetzaldeck.decisions.placement.cache_events import CacheEvents
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

N_RANDOM = 3
"""Random candidates in addition to cache holders. Two already avoid the worst choices;
if many VMs compared all candidates, all would choose the same one."""
MAX_AFFINITY_TOKENS = 32_768
"""Most cached tokens that count in favor of an engine, so that requests which share a
popular prefix do not all go to one engine."""


@placement_policies.register("few_choices")
class FewChoices(PlacementPolicy):
    """Chooses the cheapest of a few candidates by the work before the first token."""

    def __init__(
        self,
        *,
        random_state: random.Random,
        availability_zone: str = "",
        weights: CostWeights | None = None,
    ) -> None:
        super().__init__(random_state=random_state, availability_zone=availability_zone)
        self._weights = weights or CostWeights()
        self._index = PrefixIndex()

    def choose(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> str | None:
        """:returns: the sampled candidate of least cost"""
        sample = self._sample(request, candidates)
        pool_ms_per_token = median_ms_per_token(candidates, self._random_state)

        def cost_of(state: UpstreamState) -> float:
            return estimate_cost(
                request,
                state,
                now_ms,
                n_cached_tokens=self._n_cached(request, state),
                peer_ms_per_token=pool_ms_per_token,
                availability_zone=self._availability_zone,
                weights=self._weights,
            )

        return min(sample, key=cost_of).spec.name

    def list_preferred(self, request: Request) -> tuple[str, ...]:
        """:returns: engines that hold the longest known prefix of the prompt"""
        return self._index.list_holders(request.prefix_hashes)

    def note_answer(self, request: Request, state: UpstreamState) -> None:
        """Record the prefixes that an upstream has cached; see the base class."""
        if request.prefix_hashes:
            name = state.spec.name
            self._index.add_cached(name, state.incarnation, request.prefix_hashes)

    def note_cache_events(self, events: CacheEvents) -> None:
        """Process cache events; see the base class."""
        self._index.observe(events)

    def _sample(
        self, request: Request, candidates: Sequence[UpstreamState]
    ) -> list[UpstreamState]:
        n_random = min(N_RANDOM, len(candidates))
        sample = self._random_state.sample(candidates, n_random)
        holders = self._index.list_holders(request.prefix_hashes)
        if holders:
            sample.extend(
                state
                for state in candidates
                if state.spec.name in holders and state not in sample
            )
        return sample

    def _n_cached(self, request: Request, state: UpstreamState) -> float:
        n_cached = self._index.n_cached_tokens(
            state.spec.name, state.incarnation, request.prefix_hashes
        )
        return min(n_cached, MAX_AFFINITY_TOKENS)


__all__ = ("FewChoices",)
