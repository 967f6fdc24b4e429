"""Cold replicas as one entry VM knows them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.cold_replicas import (
    ColdReplicas,
    ColdSource,
    compute_cold_rate,
)
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.cold_replicas import ColdClaim
    from quetzaldeck.entry.settings import EntryBounds
    from quetzaldeck.routing import Replica, Service
    from quetzaldeck.telemetry.upstream_metrics import UpstreamMetrics

READING_MS = 800.0
"""Time for the store to publish an entry and for a VM to read it."""

ANNOUNCED_CHANGE_MS = 250.0
"""Least change of the time at which a replica will be warm that is announced. The time
in each response differs by the network delay from the one in the response before."""


class ColdWatch:
    """Keeps the cold replicas of services that protect theirs, and notes the ends.

    :param read_bounds: the bounds in force
    :param on_change: called with the name of a replica that has become cold or warm
    """

    def __init__(
        self,
        clock: Clock,
        metrics: UpstreamMetrics,
        read_bounds: Callable[[], EntryBounds],
        on_change: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._read_bounds = read_bounds
        self._on_change = on_change
        self._registry = ColdReplicas(read_bounds().heartbeat_ms + READING_MS)
        self._replicas: Mapping[str, Replica] = {}
        self._services: Mapping[str, Service] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._logged: dict[str, ColdSource] = {}

    def find(self, upstream: str) -> ColdClaim | None:
        """:returns: the claim on a cold replica that ends last; ``None``: it is warm"""
        return self._registry.find(upstream, self._clock.uptime_ms())

    def find_rate(self, upstream: str) -> float | None:
        """:returns: rate of permits for a replica while it is cold; ``None``: none"""
        tolerated = self._find_tolerated_rate(upstream)
        if tolerated is None:
            return None
        bounds = self._read_bounds()
        return compute_cold_rate(tolerated, bounds.cold_overshoot, bounds.cold_slack)

    def list_cold(self) -> list[ColdClaim]:
        """:returns: the claims on replicas that are cold"""
        return self._registry.list_cold(self._clock.uptime_ms())

    def list_shown(self) -> list[ColdClaim]:
        """:returns: the claims that responses to this VM have made"""
        return self._registry.list_claims(ColdSource.HEADER, self._clock.uptime_ms())

    def note(
        self, upstream: str, incarnation: str, source: ColdSource, cold_ms: float
    ) -> ColdClaim | None:
        """Record a claim on a replica; it counts only if its service has a cold rate.

        :returns: the claim if the other VMs should hear of it
        """
        if self._find_tolerated_rate(upstream) is None:
            return None
        now_ms = self._clock.uptime_ms()
        before = self._registry.find_heard(upstream, now_ms)
        if self._registry.note(upstream, incarnation, source, cold_ms, now_ms):
            self._apply(upstream)
        after = self._registry.find_heard(upstream, now_ms)
        if after is None:
            return None
        before_ms = now_ms if before is None else before.until_ms
        return after if after.until_ms - before_ms > ANNOUNCED_CHANGE_MS else None

    def presume(self, names: Iterable[str]) -> None:
        """Presume replicas cold until an entry written from now on has arrived."""
        protected = [n for n in names if self._find_tolerated_rate(n) is not None]
        for name in self._registry.presume(protected, self._clock.uptime_ms()):
            self._apply(name)

    def apply_replicas(
        self, replicas: Mapping[str, Replica], services: Mapping[str, Service]
    ) -> None:
        """Use the current entries of the replicas and the services' cold rates."""
        before = self._replicas
        self._replicas = dict(replicas)
        self._services = services
        now_ms = self._clock.uptime_ms()
        incarnations = {name: r.incarnation for name, r in replicas.items()}
        self._registry.apply_incarnations(incarnations, now_ms)
        for name, replica in replicas.items():
            if replica is not before.get(name):
                self.note(name, replica.incarnation, ColdSource.ENTRY, replica.cold_ms)
        for name in tuple(self._logged):
            if self.find(name) is None or self._find_tolerated_rate(name) is None:
                self._apply(name)

    def _find_tolerated_rate(self, upstream: str) -> float | None:
        replica = self._replicas.get(upstream)
        service = None if replica is None else self._services.get(replica.service)
        if service is None or service.cold_start is None:
            return None
        return service.cold_start.requests_per_s

    def _apply(self, upstream: str) -> None:
        """Note that a replica has become cold or warm, or will be warm later."""
        claim = self.find(upstream)
        timer = self._timers.pop(upstream, None)
        if timer is not None:
            timer.cancel()
        now_ms = self._clock.uptime_ms()
        if claim is not None:
            wait_s = (claim.until_ms - now_ms) / MS_PER_SECOND
            self._timers[upstream] = asyncio.get_running_loop().call_later(
                wait_s, self._apply, upstream
            )
        self._log(upstream, claim, now_ms)
        self._on_change(upstream)

    def _log(self, upstream: str, claim: ColdClaim | None, now_ms: float) -> None:
        source = self._logged.get(upstream)
        if claim is None:
            if self._logged.pop(upstream, None) is not None:
                last = None if source is None else source.value
                log_event("replica_warm", upstream=upstream, source=last)
        elif claim.source is not source:
            self._logged[upstream] = claim.source
            log_event(
                "replica_cold",
                upstream=upstream,
                incarnation=claim.incarnation,
                source=claim.source.value,
                cold_ms=round(claim.until_ms - now_ms),
            )
        self._metrics.cold_replicas.set(len(self._logged))


__all__ = ("ColdWatch",)
