"""Messages that have been sent and not yet acknowledged."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

from quetzaldeck.decisions.relays.bounds import RelayBounds

M = TypeVar("M")


class UnackedMessage(NamedTuple, Generic[M]):
    """A message that has not been acknowledged and may have been lost.

    :param n_sent: how often it was sent
    """

    number: int
    address: str
    message: M
    sent_ms: float
    n_sent: int


class PendingAcks(Generic[M]):
    """Numbers messages and tracks which of them have not been acknowledged in time."""

    def __init__(self, bounds: RelayBounds | None = None) -> None:
        self._bounds = RelayBounds() if bounds is None else bounds
        self._last_number = 0
        self._pending: dict[int, UnackedMessage[M]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def next_number(self) -> int:
        """:returns: the number of the next message"""
        self._last_number += 1
        return self._last_number

    def expect(
        self, number: int, address: str, message: M, now_ms: float, n_sent: int = 1
    ) -> None:
        """Wait for the acknowledgement of a message."""
        self._pending[number] = UnackedMessage(number, address, message, now_ms, n_sent)

    def acknowledge(self, number: int, address: str) -> None:
        """Record an acknowledgement; an unexpected one is ignored."""
        pending = self._pending.get(number)
        if pending is not None and pending.address == address:
            del self._pending[number]

    def pop_overdue(self, now_ms: float) -> list[UnackedMessage[M]]:
        """:returns: messages not acknowledged in time, which are then removed"""
        overdue = []
        while self.next_ms() <= now_ms:
            pending = self._first()
            del self._pending[pending.number]
            overdue.append(pending)
        return overdue

    def next_ms(self) -> float:
        """:returns: when the next message is overdue; infinite if none is pending"""
        if not self._pending:
            return float("inf")
        return self._first().sent_ms + self._bounds.ack_timeout_ms

    def _first(self) -> UnackedMessage[M]:
        """:returns: the message sent first, which is overdue first"""
        return next(iter(self._pending.values()))


__all__ = ("PendingAcks", "UnackedMessage")
