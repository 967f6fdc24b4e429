"""Metrics of the information by which requests are placed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Histogram
from prometheus_client.core import GaugeMetricFamily

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from prometheus_client import CollectorRegistry

    from quetzaldeck.decisions import Dispatch

MS_PER_SECOND = 1_000.0
_AGE_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4.5)
_WAIT_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8)


class SlotCollector:
    """Reads the slots in use of all engines when the metrics are read."""

    def __init__(self) -> None:
        self.list_slots: Callable[[], Iterable[tuple[str, int]]] = tuple

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """:returns: one value for each engine in force"""
        family = GaugeMetricFamily(
            "quetzaldeck_engine_slots_in_use",
            "Slots of an engine in use, as this VM knows",
            labels=["upstream"],
        )
        for upstream, n_used in self.list_slots():
            family.add_metric([upstream], n_used)
        yield family


class PlacementMetrics:
    """Histograms that show how stale the loads were and whether that cost time.

    :param registry: registry of the gateway's metrics
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.load_age_seconds = Histogram(
            "quetzaldeck_placement_load_age_seconds",
            "Age of the latest reported load of the upstream that was chosen",
            buckets=_AGE_BUCKETS,
            registry=registry,
        )
        self.idle_wait_seconds = Histogram(
            "quetzaldeck_wait_beside_idle_seconds",
            "Time in the queue while an engine had at most a quarter of its slots used",
            buckets=_WAIT_BUCKETS,
            registry=registry,
        )
        self._slots = SlotCollector()
        registry.register(self._slots)

    def watch_slots(self, list_slots: Callable[[], Iterable[tuple[str, int]]]) -> None:
        """Set where the slots in use are read."""
        self._slots.list_slots = list_slots

    def observe(self, dispatch: Dispatch) -> None:
        """Record the placement of an attempt."""
        if dispatch.load_age_ms is not None:
            self.load_age_seconds.observe(dispatch.load_age_ms / MS_PER_SECOND)
        if dispatch.idle_wait_ms:
            self.idle_wait_seconds.observe(dispatch.idle_wait_ms / MS_PER_SECOND)


__all__ = ("PlacementMetrics", "SlotCollector")
