"""What the engines of the bench have in common, whatever they cost."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from quetzaldeck.bench.bench_upstream import BenchUpstream

if TYPE_CHECKING:
    from quetzaldeck.bench.bench_group import BenchGroup
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.bench.scenario import FleetShape
    from quetzaldeck.bundle import UpstreamSpec


class ModelEngine(BenchUpstream):
    """An engine whose memory groups may set aside."""

    def __init__(
        self, spec: UpstreamSpec, shape: FleetShape, events: EventQueue
    ) -> None:
        super().__init__(spec, shape, events)
        self.busy_ms = 0.0
        self._groups: dict[str, BenchGroup] = {}

    @property
    @abstractmethod
    def n_kv_tokens_used(self) -> int:
        """:returns: memory held now"""

    def reserve(self, group: BenchGroup, n_tokens: int) -> bool:
        """:returns: whether the group's memory is set aside"""
        self._groups[group.reservation_id] = group
        return self._reserve(group.reservation_id, n_tokens)

    def release(self, reservation_id: str) -> None:
        """Give back what a group holds."""
        if self._groups.pop(reservation_id, None) is not None:
            self._release(reservation_id)

    def _break_groups(self) -> None:
        """Tell all groups that their memory is gone."""
        groups = list(self._groups.values())
        self._groups.clear()
        for group in groups:
            group.note_broken(self)

    @abstractmethod
    def _reserve(self, reservation_id: str, n_tokens: int) -> bool:
        """:returns: whether memory is set aside"""

    @abstractmethod
    def _release(self, reservation_id: str) -> None:
        """Give memory back."""


__all__ = ("ModelEngine",)
