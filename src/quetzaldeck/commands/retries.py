"""Backoff for orders that have to be sent again. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.commands.order import Change, Order
    from quetzaldeck.commands.settings import CommandSettings

BACKOFF_FACTOR = 2.0


class _SendState(NamedTuple):
    n_sent: int
    next_ms: float


class OrderRetries:
    """Counts how often each change was sent to each engine, per bundle.

    Load pattern: an engine accepts an order without carrying it out, or somebody else
    reverts the change. Without exponential backoff the weight store would receive
    requests for the same weights endlessly, and two commanders with different bundles
    would make an engine switch versions as fast as it can load them.
    """

    def __init__(self, clock: Clock, settings: CommandSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._bundle_version = 0
        self._sent: dict[tuple[str, str, Change], _SendState] = {}
        self.n_repeated = 0

    def reset_for_bundle(self, version: int) -> None:
        """Reset the counts when another bundle has taken effect."""
        if version != self._bundle_version:
            self._bundle_version = version
            self._sent.clear()

    def may_send(self, engine: str, incarnation: str, change: Change) -> bool:
        """:returns: whether the backoff after the last attempt is over

        A restarted engine has lost what it was loading, so for a new incarnation every
        change counts as new.
        """
        sent = self._sent.get((engine, incarnation, change))
        return sent is None or self._clock.now_ms() >= sent.next_ms

    def note_sent(self, order: Order, *, wait_ms: float = 0.0) -> None:
        """Record an order that was sent.

        :param wait_ms: time that its effect may take; the backoff starts after it
        """
        key = (order.engine, order.incarnation, order.change)
        n_sent = self._sent[key].n_sent if key in self._sent else 0
        if n_sent:
            self.n_repeated += 1
        backoff_ms = min(
            self._settings.retry_ms * BACKOFF_FACTOR**n_sent,
            self._settings.max_retry_ms,
        )
        next_ms = self._clock.now_ms() + wait_ms + backoff_ms
        self._sent[key] = _SendState(n_sent + 1, next_ms)


__all__ = ("OrderRetries",)
