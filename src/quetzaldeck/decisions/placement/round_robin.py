"""Round robin: a baseline placement policy."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from quetzaldeck.decisions.placement.api import PlacementPolicy, placement_policies

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


@placement_policies.register("round_robin")
class RoundRobin(PlacementPolicy):
    """Chooses the candidates in turn, regardless of load.

    Load pattern: uniform requests on equal engines. Baseline for measurements.
    """

    def __init__(
        self, *, random_state: random.Random, availability_zone: str = ""
    ) -> None:
        super().__init__(random_state=random_state, availability_zone=availability_zone)
        self._turn = itertools.count()

    def choose(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> str | None:
        """:returns: the next candidate in turn"""
        return candidates[next(self._turn) % len(candidates)].spec.name


__all__ = ("RoundRobin",)
