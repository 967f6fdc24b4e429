"""No head-of-line protection, as a baseline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.head_of_line.api import (
    HeadOfLinePolicy,
    head_of_line_policies,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


@head_of_line_policies.register("none")
class Unprotected(HeadOfLinePolicy):
    """Allows all requests on all engines, ranked by the request's priority.

    Load pattern: prompts of similar length. Baseline for measurements.
    """

    def restrict(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        """:returns: all candidates"""
        return candidates

    def rank(self, request: Request, upstream: str) -> int:
        """:returns: the request's priority"""
        return request.priority


__all__ = ("Unprotected",)
