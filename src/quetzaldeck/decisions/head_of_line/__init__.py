"""Head-of-line policies: protect short requests from waiting behind long prefills."""

from __future__ import annotations

from quetzaldeck.decisions.head_of_line.api import (
    HeadOfLinePolicy,
    head_of_line_policies,
)
from quetzaldeck.decisions.head_of_line.lanes import Lanes
from quetzaldeck.decisions.head_of_line.reading_lane import ReadingLane
from quetzaldeck.decisions.head_of_line.reading_lane_at_once import ReadingLaneAtOnce
from quetzaldeck.decisions.head_of_line.unprotected import Unprotected

__all__ = (
    "HeadOfLinePolicy",
    "Lanes",
    "ReadingLane",
    "ReadingLaneAtOnce",
    "Unprotected",
    "head_of_line_policies",
)
