"""Least reported load: a baseline placement policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.placement.api import PlacementPolicy, placement_policies

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


@placement_policies.register("least_reported")
class LeastReported(PlacementPolicy):
    """Chooses the candidate with the fewest requests in its last report.

    Load pattern: steady load with fresh reports. If reports lag, all VMs send to the
    same upstream until its next report. Baseline for measurements.
    """

    def choose(
        self, request: Request, candidates: Sequence[UpstreamState], now_ms: float
    ) -> str | None:
        """:returns: the candidate that reports the fewest requests"""
        return min(candidates, key=_n_reported).spec.name


def _n_reported(state: UpstreamState) -> int:
    report = state.report
    return 0 if report is None else report.n_running + report.n_waiting


__all__ = ("LeastReported",)
