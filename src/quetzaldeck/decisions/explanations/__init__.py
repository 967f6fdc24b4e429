"""Explanations of the placement that a request would get."""

from __future__ import annotations

from quetzaldeck.decisions.explanations.explainer import PlacementExplainer
from quetzaldeck.decisions.explanations.explanation import (
    Explanation,
    Outcome,
    UpstreamRole,
    UpstreamSummary,
    WaitCause,
)

__all__ = (
    "Explanation",
    "Outcome",
    "PlacementExplainer",
    "UpstreamRole",
    "UpstreamSummary",
    "WaitCause",
)
