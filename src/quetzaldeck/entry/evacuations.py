"""Keeps new work away from the replicas of evacuated zones.

Failure scenario: a zone is evacuated while requests wait for a permit or for memory of
one of its replicas, or are about to be sent to it. Such requests are placed again at
once. What is already running there ends there.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.gateway.messages import ObserveEvacuations

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from quetzaldeck.belief import FleetBelief
    from quetzaldeck.clock import Clock
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.telemetry import UpstreamMetrics


class Evacuations:
    """Passes the evacuated zones on to decisions and to attempts not sent yet.

    :param belief: knows the evacuated zones
    """

    def __init__(
        self,
        belief: FleetBelief,
        clock: Clock,
        dispatch: DispatchTask,
        metrics: UpstreamMetrics,
    ) -> None:
        self._belief = belief
        self._clock = clock
        self._dispatch = dispatch
        self._metrics = metrics
        self._applied: frozenset[str] = frozenset()
        self._watchers: set[Callable[[], None]] = set()

    @contextmanager
    def watch(self, on_evacuated: Callable[[], None]) -> Iterator[None]:
        """Call ``on_evacuated`` after each evacuation, and if a replica leaves."""
        self._watchers.add(on_evacuated)
        try:
            yield
        finally:
            self._watchers.discard(on_evacuated)

    def apply(self) -> frozenset[str]:
        """Apply a change of the evacuated zones, if there is one.

        :returns: the zones that have been restored
        """
        zones, before = self._belief.evacuated_zones, self._applied
        if zones == before:
            return frozenset()
        self._applied = zones
        self._dispatch.send(ObserveEvacuations(zones))
        self._update_metrics(zones, before)
        if zones - before:
            self.divert_waiting()
        return before - zones

    def divert_waiting(self) -> None:
        """Have attempts that wait to be sent check their replicas now."""
        for on_evacuated in tuple(self._watchers):
            on_evacuated()

    def _update_metrics(self, zones: frozenset[str], before: frozenset[str]) -> None:
        self._metrics.evacuated_zones.set(len(zones))
        age_ms = self._belief.age_ms(self._clock.uptime_ms())
        for zone in zones - before:
            since_s = (self._clock.wall_ms() - age_ms) / MS_PER_SECOND
            self._metrics.zone_evacuated_since.labels(zone).set(since_s)
        for zone in before - zones:
            self._metrics.zone_evacuated_since.remove(zone)


__all__ = ("Evacuations",)
