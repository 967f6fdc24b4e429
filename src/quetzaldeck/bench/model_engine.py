"""Base class of the simulated engines, independent of their cost model."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from quetzaldeck.bench.bench_upstream import BenchUpstream

if TYPE_CHECKING:
    from quetzaldeck.bench.attempt_parties import Reservation
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.bench.scenario import FleetShape
    from quetzaldeck.bundle import UpstreamSpec


class ModelEngine(BenchUpstream):
    """An engine on which groups can reserve memory."""

    def __init__(
        self, spec: UpstreamSpec, shape: FleetShape, events: EventQueue
    ) -> None:
        super().__init__(spec, shape, events)
        self.busy_ms = 0.0
        self._groups: dict[str, Reservation[ModelEngine]] = {}

    @property
    @abstractmethod
    def n_kv_tokens_used(self) -> int:
        """:returns: KV cache tokens in use"""

    def reserve(self, group: Reservation[ModelEngine], n_tokens: int) -> bool:
        """:returns: whether the memory is reserved for ``group``"""
        self._groups[group.reservation_id] = group
        return self._reserve(group.reservation_id, n_tokens)

    def release(self, reservation_id: str) -> None:
        """Release a group's reservation; ignored if there is none."""
        if self._groups.pop(reservation_id, None) is not None:
            self._release(reservation_id)

    def _fail_groups(self) -> None:
        """Fail all groups that have reserved memory: the engine crashed."""
        groups = list(self._groups.values())
        self._groups.clear()
        for group in groups:
            group.note_engine_lost(self)

    @abstractmethod
    def _reserve(self, reservation_id: str, n_tokens: int) -> bool:
        """:returns: whether ``n_tokens`` are reserved"""

    @abstractmethod
    def _release(self, reservation_id: str) -> None:
        """Release the reservation ``reservation_id``."""


__all__ = ("ModelEngine",)
