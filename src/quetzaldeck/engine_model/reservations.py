"""Reservations of an engine's memory, granted in order of arrival."""

from __future__ import annotations

from typing import NamedTuple


class Reservation(NamedTuple):
    """A reservation, granted or waiting."""

    reservation_id: str
    n_tokens: int


class Reservations:
    """Memory reserved for members of engine groups, and the queue for it.

    :param max_tokens: memory that all reservations together may take; the rest is
        always left to sequences without a reservation
    """

    def __init__(self, max_tokens: int) -> None:
        self._max_tokens = max_tokens
        self._granted: dict[str, Reservation] = {}
        self._waiting: dict[str, Reservation] = {}
        self._n_granted_tokens = 0

    @property
    def max_tokens(self) -> int:
        """:returns: size of the largest reservation that can be granted"""
        return self._max_tokens

    @property
    def n_granted_tokens(self) -> int:
        """:returns: memory of the granted reservations"""
        return self._n_granted_tokens

    @property
    def n_earmarked_tokens(self) -> int:
        """:returns: memory earmarked for the first reservation in the queue

        Sequences without a reservation may not take it. Without this rule they would
        take each freed piece of memory, and a large reservation would never be granted.
        The earmark never exceeds what reservations may take in total.
        """
        head = next(iter(self._waiting.values()), None)
        if head is None:
            return 0
        return min(head.n_tokens, self._max_tokens - self._n_granted_tokens)

    def get(self, reservation_id: str) -> Reservation | None:
        """:returns: the granted reservation with this id, ``None`` if there is none"""
        return self._granted.get(reservation_id)

    def request(self, reservation_id: str, n_tokens: int, n_free: int) -> bool:
        """Request memory; repeat the call to learn whether it was granted meanwhile.

        :param n_free: memory that neither sequences nor reservations hold
        :returns: whether the reservation is granted
        """
        if reservation_id in self._granted:
            return True
        requested = self._waiting.setdefault(
            reservation_id, Reservation(reservation_id, n_tokens)
        )
        is_head = next(iter(self._waiting)) == reservation_id
        n_allowed = min(n_free, self._max_tokens - self._n_granted_tokens)
        if not is_head or requested.n_tokens > n_allowed:
            return False
        del self._waiting[reservation_id]
        self._granted[reservation_id] = requested
        self._n_granted_tokens += requested.n_tokens
        return True

    def release(self, reservation_id: str) -> bool:
        """:returns: whether a granted or waiting reservation was removed"""
        granted = self._granted.pop(reservation_id, None)
        if granted is not None:
            self._n_granted_tokens -= granted.n_tokens
            return True
        return self._waiting.pop(reservation_id, None) is not None


__all__ = ("Reservation", "Reservations")
