"""Placement by time to first token without helpers, as a baseline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.placement.api import placement_policies
from quetzaldeck.decisions.placement.first_token import FirstToken

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


@placement_policies.register("first_token_whole")
class FirstTokenWhole(FirstToken):
    """Has each prompt prefilled by the engine that answers it, or by its group."""

    def choose_helpers(
        self,
        request: Request,
        chosen: str,
        pool: Sequence[UpstreamState],
        now_ms: float,
    ) -> tuple[str, ...]:
        """:returns: none"""
        return ()


__all__ = ("FirstTokenWhole",)
