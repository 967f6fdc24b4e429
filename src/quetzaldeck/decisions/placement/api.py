"""Interface and registry of placement policies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from quetzaldeck.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.decisions.placement.cache_events import CacheEvents
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


class PlacementPolicy(ABC):
    """Chooses the upstream and the helpers of a request.

    :param random_state: source of random choices
    :param availability_zone: availability zone of this VM
    """

    def __init__(
        self, *, random_state: random.Random, availability_zone: str = ""
    ) -> None:
        self._random_state = random_state
        self._availability_zone = availability_zone

    max_helpers = 0
    """Most helpers of one request; 0 if the policy never splits a prompt."""

    @property
    def random_state(self) -> random.Random:
        """:returns: source of random choices"""
        return self._random_state

    def configure(self, bundle: Bundle) -> None:  # noqa: B027
        """Apply what the bundle in force states about its models."""

    @abstractmethod
    def choose(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> str | None:
        """Choose among upstreams that serve the model and have capacity.

        :param candidates: not empty; excludes leaving upstreams, and those that failed
            the request if there are others
        :returns: name of the upstream; ``None`` to keep the request waiting
        """

    def estimate_costs(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> dict[str, float]:
        """:returns: costs that it compares, without jitter; empty if it has none"""
        return {}

    def choose_helpers(
        self,
        request: Request,
        chosen: str,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> tuple[str, ...]:
        """Choose helpers, which prefill parts of a long prompt.

        :param chosen: the engine that answers
        :param pool: engines of the same model, including those without capacity for
            another request
        :returns: names of the helpers; empty if ``chosen`` prefills the whole prompt
        """
        return ()

    def list_preferred(self, request: Request) -> tuple[str, ...]:
        """:returns: upstreams to include when a large pool is sampled"""
        return ()

    def note_answer(  # noqa: B027 - most policies keep no index
        self, request: Request, state: UpstreamState
    ) -> None:
        """Record the cached prefixes of a request at the first token of its answer.

        :param state: the upstream that sent the first token
        """

    def note_cache_events(  # noqa: B027 - most policies keep no index
        self, events: CacheEvents
    ) -> None:
        """Process cache events of an upstream.

        :param events: may be late, incomplete or from an old incarnation
        """


placement_policies: Registry[PlacementPolicy] = Registry("placement policy")

__all__ = ("PlacementPolicy", "placement_policies")
