"""The reading lane without its queue, as a baseline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.head_of_line.api import head_of_line_policies
from quetzaldeck.decisions.head_of_line.reading_lane import ReadingLane

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


@head_of_line_policies.register("reading_lane_at_once")
class ReadingLaneAtOnce(ReadingLane):
    """Starts each long prompt on arrival, regardless of the lane's backlog."""

    def may_start(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> bool:
        """:returns: always true"""
        return True


__all__ = ("ReadingLaneAtOnce",)
