"""Rate limits of upstreams as one entry VM knows them."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.rate_limits import RateLimitRegistry, RateLimitStatement
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Container

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.rate_limits.registry import RateLimitChange
    from quetzaldeck.entry.response_head import ResponseHead
    from quetzaldeck.telemetry.upstream_metrics import UpstreamMetrics


class RateLimits:
    """Records the limits that upstreams name, and reports them to operators."""

    def __init__(self, clock: Clock, metrics: UpstreamMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._registry = RateLimitRegistry()

    def note_response(
        self, upstream: str, incarnation: str, head: ResponseHead, *, call_id: str
    ) -> None:
        """Record what a response says of the limit of the upstream that sent it.

        Only a response that surely comes from the upstream ends a limit.
        """
        if head.is_other_replica or not (head.is_sealed or head.rate_limit is not None):
            return
        statement = RateLimitStatement(
            upstream, incarnation, head.rate_limit, self._clock.uptime_ms()
        )
        change = self._registry.note(statement)
        if change is not None:
            self._report(change, request=call_id)

    def note_sent(self, upstream: str) -> None:
        """Count a request that is sent to an upstream."""
        if self._registry.find(upstream) is not None:
            self._metrics.rate_limited_sends.labels(upstream).inc()

    def expire(self, upstreams: Container[str]) -> None:
        """Forget the limits of upstreams that are gone."""
        for name in self._registry.expire(upstreams, self._clock.uptime_ms()):
            self._remove_metrics(name)

    def _report(self, change: RateLimitChange, **source: str) -> None:
        upstream, incarnation, requests_per_s, _ = change.statement
        since_wall_ms = (
            self._clock.wall_ms() - self._clock.uptime_ms() + change.since_ms
        )
        log_event(
            "rate_limit_ended" if requests_per_s is None else "rate_limit_named",
            upstream=upstream,
            incarnation=incarnation,
            requests_per_s=requests_per_s,
            before=change.before,
            since_ms=round(since_wall_ms),
            **source,
        )
        if requests_per_s is None:
            self._remove_metrics(upstream)
            return
        self._metrics.rate_limits.labels(upstream).set(requests_per_s)
        since_s = since_wall_ms / MS_PER_SECOND
        self._metrics.rate_limited_since.labels(upstream).set(since_s)

    def _remove_metrics(self, upstream: str) -> None:
        for gauge in (self._metrics.rate_limits, self._metrics.rate_limited_since):
            with suppress(KeyError):
                gauge.remove(upstream)


__all__ = ("RateLimits",)
