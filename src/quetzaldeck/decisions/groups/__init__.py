"""Groups of engines that together hold prompts too large for one engine."""

from __future__ import annotations

from quetzaldeck.decisions.group_bounds import GroupBounds
from quetzaldeck.decisions.group_plan import GroupPlan, build_plan, n_reservable_tokens
from quetzaldeck.decisions.groups.planner import GroupPlanner

__all__ = (
    "GroupBounds",
    "GroupPlan",
    "GroupPlanner",
    "build_plan",
    "n_reservable_tokens",
)
