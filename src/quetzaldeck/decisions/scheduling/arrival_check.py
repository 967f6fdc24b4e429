"""Decides whether a request that arrives is admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.rate_limits import latest_turn_ms
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    from quetzaldeck.decisions.admission import AdmissionPolicy
    from quetzaldeck.decisions.limits import CustomerLimiter
    from quetzaldeck.decisions.placement.placer import Placer
    from quetzaldeck.decisions.placement.refusal_check import RefusalCheck
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_table import UpstreamTable


class ArrivalCheck:
    """Refuses requests that cannot be served, or not in time.

    :param table: knows whether any upstream rests or limits its rate
    :param refusals: checks whether any upstream can serve a request
    :param limits: enforces the limits of customers
    :param placer: finds out whether a request could start now
    :param admission: refuses requests that cannot be answered in time
    """

    def __init__(
        self,
        *,
        table: UpstreamTable,
        refusals: RefusalCheck,
        limits: CustomerLimiter,
        placer: Placer,
        admission: AdmissionPolicy,
    ) -> None:
        self._table = table
        self._refusals = refusals
        self._limits = limits
        self._placer = placer
        self._admission = admission

    def check(self, request: Request, now_ms: float) -> Failure | None:
        """:returns: the refusal of a request, ``None`` to admit it"""
        if request.deadline_ms <= now_ms:
            return Failure(Reason.DEADLINE_EXCEEDED)
        refusal = self._refusals.check(request, now_ms)
        latest_ms = self.latest_turn_ms(request, now_ms)
        refusal = refusal or self._refusals.check_restrictions(
            request, now_ms, self._admission.latest_start_ms(request)
        )
        refusal = refusal or self._limits.check(request, now_ms)
        if refusal is not None:
            return refusal
        can_start = self._placer.can_start(request, now_ms, latest_ms)
        return self._admission.check(request, now_ms, can_start=can_start)

    def latest_turn_ms(self, request: Request, now_ms: float) -> float:
        """:returns: latest time at which a request may get its turn at an upstream"""
        if not self._table.has_rate_limits:
            return request.deadline_ms
        return latest_turn_ms(self._admission.latest_start_ms(request), now_ms)


__all__ = ("ArrivalCheck",)
