"""Logs and counts requests overtaken because of their customers' shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.decisions import Scheduler
    from quetzaldeck.telemetry import GatewayMetrics

LOG_INTERVAL_MS = 1_000.0
"""Minimum time between two log lines about the same customer."""

N_WAIT_DIGITS = 1


class PassedOverLog:
    """Counts overtaken requests by rule, and logs some of each customer.

    :param scheduler: its queue records them
    """

    def __init__(self, scheduler: Scheduler, metrics: GatewayMetrics) -> None:
        self._scheduler = scheduler
        self._metrics = metrics
        self._logged_ms: dict[str, float] = {}

    def check(self, now_ms: float) -> None:
        """Count and log what was recorded since the last call."""
        for item in self._scheduler.pop_passed_over():
            self._metrics.passed_over.labels(item.rule.value).inc()
            if item.customer in self._logged_ms:
                continue
            self._logged_ms[item.customer] = now_ms
            log_event(
                "request_passed_over",
                request=item.request_id,
                customer=item.customer,
                rule=item.rule.value,
                target=item.target,
                waited_ms=round(now_ms - item.arrived_ms, N_WAIT_DIGITS),
                served=item.served,
                served_customer=item.served_customer,
            )
        self._logged_ms = {
            customer: logged_ms
            for customer, logged_ms in self._logged_ms.items()
            if now_ms - logged_ms < LOG_INTERVAL_MS
        }


__all__ = ("LOG_INTERVAL_MS", "PassedOverLog")
