"""Rate limits of upstreams as one entry VM knows them."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.rate_limits import RateLimitRegistry, RateLimitStatement
from quetzaldeck.gateway.messages import ObserveRateLimit
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.rate_limits.registry import RateLimitChange
    from quetzaldeck.entry.response_head import ResponseHead
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.routing import Replica
    from quetzaldeck.telemetry.upstream_metrics import UpstreamMetrics


class RateLimits:
    """Keeps the limits that upstreams name, for placement, operators and other VMs.

    :param dispatch: is notified of each change
    """

    def __init__(
        self, clock: Clock, dispatch: DispatchTask, metrics: UpstreamMetrics
    ) -> None:
        self._clock = clock
        self._dispatch = dispatch
        self._metrics = metrics
        self._registry = RateLimitRegistry()
        self._announce: Callable[[RateLimitStatement], None] | None = None

    def connect(self, announce: Callable[[RateLimitStatement], None]) -> None:
        """Use the connection to the other VMs.

        :param announce: sends them a change that a response has shown
        """
        self._announce = announce

    def find(self, upstream: str) -> RateLimitStatement | None:
        """:returns: the limit in force of an upstream; ``None``: it names none"""
        return self._registry.find(upstream)

    def list_statements(self) -> list[RateLimitStatement]:
        """:returns: what upstreams said last, ends of limits included"""
        return self._registry.list_statements()

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
        if change is None:
            return
        self._apply(change, request=call_id)
        if self._announce is not None:
            self._announce(statement)

    def note_peer(self, statement: RateLimitStatement, *, peer: str) -> None:
        """Record what an upstream said to another VM."""
        change = self._registry.note(statement)
        if change is not None:
            self._apply(change, peer=peer)

    def note_sent(self, upstream: str) -> None:
        """Count a request that is sent to an upstream."""
        if self._registry.find(upstream) is not None:
            self._metrics.rate_limited_sends.labels(upstream).inc()

    def apply_replicas(self, replicas: Mapping[str, Replica]) -> None:
        """Forget the limits of replicas that are gone or have restarted."""
        if not self.list_statements():
            return
        incarnations = {name: r.incarnation for name, r in replicas.items()}
        for name in self._registry.expire(incarnations, self._clock.uptime_ms()):
            self._dispatch.send(ObserveRateLimit(name, None))
            self._remove_metrics(name)
        for statement in self.list_statements():
            # Placement may not have known the upstream when the limit was named.
            limit = ObserveRateLimit(statement.upstream, statement.requests_per_s)
            self._dispatch.send(limit)

    def _apply(self, change: RateLimitChange, **source: str) -> None:
        upstream, incarnation, requests_per_s, _ = change.statement
        self._dispatch.send(ObserveRateLimit(upstream, requests_per_s))
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
