"""Rate limits of upstreams as one entry VM knows them."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.cold_replicas import ColdSource, EffectiveLimit
from quetzaldeck.decisions.rate_limits import (
    RateLimitRegistry,
    RateLimitStatement,
)
from quetzaldeck.entry.cold_replicas import ColdWatch
from quetzaldeck.gateway.messages import ObserveRateLimit
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.cold_replicas import ColdClaim
    from quetzaldeck.decisions.rate_limits.registry import RateLimitChange
    from quetzaldeck.entry.response_head import ResponseHead
    from quetzaldeck.entry.settings import EntryBounds
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.routing import Replica, Service
    from quetzaldeck.telemetry.upstream_metrics import UpstreamMetrics


class RateLimits:
    """Keeps the limits that upstreams name, for placement, operators and other VMs.

    The limit in force of an upstream is the lower of the one that it names and the one
    that its service has for cold replicas while it is cold.

    :param dispatch: is notified of each change
    :param read_bounds: the bounds in force
    """

    def __init__(
        self,
        clock: Clock,
        dispatch: DispatchTask,
        metrics: UpstreamMetrics,
        read_bounds: Callable[[], EntryBounds],
    ) -> None:
        self._clock = clock
        self._dispatch = dispatch
        self._metrics = metrics
        self._registry = RateLimitRegistry()
        self._cold = ColdWatch(clock, metrics, read_bounds, self._observe)
        self._announce: Callable[[RateLimitStatement | ColdClaim], None] | None = None

    def connect(
        self, announce: Callable[[RateLimitStatement | ColdClaim], None]
    ) -> None:
        """Use the connection to the other VMs.

        :param announce: sends them a change that a response has shown
        """
        self._announce = announce

    def find(self, upstream: str) -> EffectiveLimit | None:
        """:returns: the limit in force of an upstream; ``None``: there is none"""
        stated = self._registry.find(upstream)
        cold = self._cold.find(upstream)
        if cold is None:
            if stated is None:
                return None
            return EffectiveLimit(upstream, stated.requests_per_s, stated)
        rate = self._cold.find_rate(upstream)
        if stated is not None and stated.requests_per_s is not None and rate:
            rate = min(rate, stated.requests_per_s)
        return EffectiveLimit(upstream, rate, stated, cold)

    def find_cold(self, upstream: str) -> ColdClaim | None:
        """:returns: the claim that an upstream is cold; ``None``: it is warm"""
        return self._cold.find(upstream)

    def list_shown_cold(self) -> list[ColdClaim]:
        """:returns: the claims that responses to this VM have made"""
        return self._cold.list_shown()

    def presume_cold(self, names: Iterable[str]) -> None:
        """Presume replicas cold until an entry written from now on has arrived.

        :param names: replicas that may have restarted unnoticed, since they got no
            requests for a while
        """
        self._cold.presume(names)

    def note_cold(self, upstream: str, incarnation: str, cold_ms: float | None) -> None:
        """Record the cold time that a response states; ``None``: it states none."""
        if not cold_ms:
            return
        claim = self._cold.note(upstream, incarnation, ColdSource.HEADER, cold_ms)
        if claim is not None and self._announce is not None:
            self._announce(claim)

    def note_peer_cold(self, upstream: str, incarnation: str, cold_ms: float) -> None:
        """Record the cold time that another VM knows."""
        if cold_ms:
            self._cold.note(upstream, incarnation, ColdSource.PEER, cold_ms)

    def list_statements(self) -> list[RateLimitStatement]:
        """:returns: what upstreams said last, ends of limits included"""
        return self._registry.list_statements()

    def note_response(
        self, upstream: str, incarnation: str, head: ResponseHead, *, call_id: str
    ) -> None:
        """Record what a response says of the limit of the upstream that sent it.

        Only a response that surely comes from the upstream ends a limit.
        """
        if not head.is_other_replica:
            self.note_cold(upstream, incarnation, head.cold_ms)
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
        if self._cold.find(upstream) is not None:
            self._metrics.cold_sends.labels(upstream).inc()

    def apply_replicas(
        self, replicas: Mapping[str, Replica], services: Mapping[str, Service]
    ) -> None:
        """Apply the entries of replicas; forget limits of those gone or restarted."""
        self._cold.apply_replicas(replicas, services)
        for claim in self._cold.list_cold():
            # Placement may not have known the upstream when it became cold.
            self._observe(claim.upstream)
        if not self.list_statements():
            return
        incarnations = {name: r.incarnation for name, r in replicas.items()}
        for name in self._registry.expire(incarnations, self._clock.uptime_ms()):
            self._observe(name)
            self._remove_metrics(name)
        for statement in self.list_statements():
            # Placement may not have known the upstream when the limit was named.
            self._observe(statement.upstream)

    def _observe(self, upstream: str) -> None:
        """Tell placement the limit in force of an upstream."""
        limit = self.find(upstream)
        if limit is None:
            self._dispatch.send(ObserveRateLimit(upstream, None))
            return
        is_cold = limit.cold is not None
        rate = limit.requests_per_s or 0.0
        self._dispatch.send(ObserveRateLimit(upstream, rate, is_cold))

    def _apply(self, change: RateLimitChange, **source: str) -> None:
        upstream, incarnation, requests_per_s, _ = change.statement
        self._observe(upstream)
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
