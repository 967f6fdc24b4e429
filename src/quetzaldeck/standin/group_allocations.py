"""Reservations and exports that a stand-in engine holds for engine groups."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.upstreams.attempt import Owner

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from quetzaldeck.clock import Clock
    from quetzaldeck.engine_model import EngineModel

RENEWAL_TIMEOUT_MS = 2_000.0
"""A waiting reservation that is not requested again within this time is dropped."""

EXPORT_SEPARATOR = "~"


class ReservationLease(NamedTuple):
    """A reservation, granted or waiting, and its lease.

    :param until_ms: end of the lease, when the engine releases the reservation
    """

    reservation_id: str
    owner: Owner
    n_tokens: int
    started_ms: float
    until_ms: float
    is_granted: bool


class Export(NamedTuple):
    """A prefilled prompt part for other engines; its text stands for the KV cache."""

    export_id: str
    reservation_id: str
    text: str
    n_tokens: int


class GroupAllocations:
    """Reservations and exports for engine groups, each limited by a lease.

    An owner that crashes releases nothing. Without leases its memory would be leaked
    until another VM reclaims it.

    :param on_released: called with the id of each reservation that ends
    """

    def __init__(
        self, model: EngineModel, clock: Clock, on_released: Callable[[str], None]
    ) -> None:
        self._model = model
        self._on_released = on_released
        self._clock = clock
        self._leases: dict[str, ReservationLease] = {}
        self._exports: dict[str, Export] = {}
        self._n_exports = 0
        self.n_granted = 0

    @property
    def max_tokens(self) -> int:
        """:returns: size of the largest reservation that can be granted"""
        return self._model.max_reserved_tokens

    @property
    def leases(self) -> tuple[ReservationLease, ...]:
        """:returns: all reservations, granted and waiting"""
        return tuple(self._leases.values())

    @property
    def exports(self) -> tuple[Export, ...]:
        """:returns: all exports that are not released"""
        return tuple(self._exports.values())

    def reserve(
        self, reservation_id: str, owner: Owner, n_tokens: int, timeout_ms: float
    ) -> bool:
        """:returns: whether the reservation is granted; otherwise it is queued"""
        self.expire()
        now_ms = self._clock.now_ms()
        lease = self._leases.get(reservation_id)
        is_granted = self._model.reserve(reservation_id, n_tokens)
        if is_granted and (lease is None or not lease.is_granted):
            self.n_granted += 1
        started_ms = now_ms if lease is None else lease.started_ms
        lease_ms = timeout_ms if is_granted else min(timeout_ms, RENEWAL_TIMEOUT_MS)
        self._leases[reservation_id] = ReservationLease(
            reservation_id, owner, n_tokens, started_ms, now_ms + lease_ms, is_granted
        )
        return is_granted

    def add_export(self, reservation_id: str, text: str, n_tokens: int) -> Export:
        """:returns: a new export that belongs to a reservation"""
        self._n_exports += 1
        export_id = f"{reservation_id}{EXPORT_SEPARATOR}{self._n_exports}"
        export = Export(export_id, reservation_id, text, n_tokens)
        self._exports[export_id] = export
        return export

    def get_export(self, export_id: str) -> Export | None:
        """:returns: an export that is not released"""
        return self._exports.get(export_id)

    def release(self, allocation_id: str) -> bool:
        """Release a reservation with its exports, or a single export.

        :returns: whether a reservation or export with this id existed
        """
        if self._exports.pop(allocation_id, None) is not None:
            return True
        if self._leases.pop(allocation_id, None) is None:
            return False
        self._model.release(allocation_id)
        self._on_released(allocation_id)
        for export in self.exports:
            if export.reservation_id == allocation_id:
                del self._exports[export.export_id]
        return True

    def expire(self) -> None:
        """Release the reservations whose lease has expired."""
        now_ms = self._clock.now_ms()
        for lease in tuple(self._list_expired(now_ms)):
            self.release(lease.reservation_id)

    def _list_expired(self, now_ms: float) -> Iterator[ReservationLease]:
        return (lease for lease in self._leases.values() if lease.until_ms <= now_ms)


__all__ = ("RENEWAL_TIMEOUT_MS", "Export", "GroupAllocations", "ReservationLease")
