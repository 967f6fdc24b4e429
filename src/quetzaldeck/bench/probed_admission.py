"""Admission policy that admits some predicted refusals to verify them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.admission import PredictedWait, admission_policies
from quetzaldeck.outcomes import Reason

if TYPE_CHECKING:
    import random

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.scheduler_bounds import SchedulerBounds
    from quetzaldeck.outcomes import Failure

PROBE_INTERVAL = 5
"""One in this many predicted refusals is admitted: enough samples at little load."""


@admission_policies.register("predicted_wait_probed")
class ProbedAdmission(PredictedWait):
    """Admits some requests that it would refuse, so that false refusals are counted.

    For simulation only: probed requests that fail cost their callers the whole wait.
    """

    def __init__(
        self, *, random_state: random.Random, bounds: SchedulerBounds | None = None
    ) -> None:
        super().__init__(random_state=random_state, bounds=bounds)
        self.probed: set[str] = set()
        self._n_refused = 0

    def check(
        self, request: Request, now_ms: float, *, can_start: bool
    ) -> Failure | None:
        """:returns: the refusal, unless the request is admitted as a probe"""
        failure = super().check(request, now_ms, can_start=can_start)
        if failure is None or failure.reason is not Reason.DEADLINE_UNREACHABLE:
            return failure
        self._n_refused += 1
        if self._n_refused % PROBE_INTERVAL:
            return failure
        self.probed.add(request.request_id)
        return None


__all__ = ("PROBE_INTERVAL", "ProbedAdmission")
