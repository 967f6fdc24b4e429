"""What was told to one VM and has to be confirmed by it."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

from quetzaldeck.decisions.relays.bounds import RelayBounds

M = TypeVar("M")


class UnackedMessage(NamedTuple, Generic[M]):
    """A message that may have been lost.

    :param n_sent: how often it was sent
    """

    number: int
    address: str
    message: M
    sent_ms: float
    n_sent: int


class PendingAcks(Generic[M]):
    """Numbers messages, and says which of them have to be sent again."""

    def __init__(self, bounds: RelayBounds | None = None) -> None:
        self._bounds = RelayBounds() if bounds is None else bounds
        self._last_number = 0
        self._open: dict[int, UnackedMessage[M]] = {}

    def __len__(self) -> int:
        return len(self._open)

    def next_number(self) -> int:
        """:returns: a number for the next message"""
        self._last_number += 1
        return self._last_number

    def expect(
        self, number: int, address: str, message: M, now_ms: float, n_sent: int = 1
    ) -> None:
        """Expect that a message is confirmed."""
        self._open[number] = UnackedMessage(number, address, message, now_ms, n_sent)

    def acknowledge(self, number: int, address: str) -> None:
        """Take a confirmation; one that nothing waits for changes nothing."""
        held = self._open.get(number)
        if held is not None and held.address == address:
            del self._open[number]

    def pop_overdue(self, now_ms: float) -> list[UnackedMessage[M]]:
        """:returns: messages that were not confirmed in time; they are forgotten"""
        late = []
        while self.next_ms() <= now_ms:
            held = self._first()
            del self._open[held.number]
            late.append(held)
        return late

    def next_ms(self) -> float:
        """:returns: when the next of them is late; infinite if none is expected"""
        if not self._open:
            return float("inf")
        return self._first().sent_ms + self._bounds.ack_timeout_ms

    def _first(self) -> UnackedMessage[M]:
        """:returns: the message that was sent first: all are waited for as long"""
        return next(iter(self._open.values()))


__all__ = ("PendingAcks", "UnackedMessage")
