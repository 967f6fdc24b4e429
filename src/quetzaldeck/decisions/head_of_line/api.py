"""Interface and registry of head-of-line policies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from quetzaldeck.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.tuning import Tuning
    from quetzaldeck.decisions.upstream_state import UpstreamState


class HeadOfLinePolicy(ABC):
    """Restricts the upstreams of a request before the placement policy chooses.

    This protects short requests from waiting behind long prefills.
    """

    def configure(self, bundle: Bundle, tuning: Tuning) -> None:  # noqa: B027
        """Apply the engines and the tuning of the bundle in force."""

    def note_arrival(self, request: Request, now_ms: float) -> None:  # noqa: B027
        """Record the arrival of a request."""

    def may_start(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> bool:
        """:returns: whether a request may be placed now; otherwise it waits

        :param pool: upstreams that serve the target of the request
        """
        return True

    @abstractmethod
    def restrict(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        """:returns: the preferred candidates; empty if the request should wait

        :param candidates: upstreams that serve the target and have capacity
        """

    def restrict_helpers(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        """:returns: engines that may prefill parts of a prompt or be group members"""
        return pool

    @abstractmethod
    def rank(self, request: Request, upstream: str) -> int:
        """:returns: priority at the engine, 0 to 9; lower ones are prefilled first"""


head_of_line_policies: Registry[HeadOfLinePolicy] = Registry("head-of-line policy")

__all__ = ("HeadOfLinePolicy", "head_of_line_policies")
