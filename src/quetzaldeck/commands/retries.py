"""How soon an order that changed nothing is given again. No I/O."""

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
    """Counts how often each change was ordered of each engine, per bundle.

    Load pattern: an engine that accepts an order and does not follow it, or that
    somebody else sets back. Without a growing pause the weight store would be asked
    for the same weights for ever, and two commanders that want different things
    would turn an engine over as fast as it can load.
    """

    def __init__(self, clock: Clock, settings: CommandSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._bundle_version = 0
        self._sent: dict[tuple[str, str, Change], _SendState] = {}
        self.n_repeated = 0

    def reset_for_bundle(self, version: int) -> None:
        """Forget the past when another bundle has come in force."""
        if version != self._bundle_version:
            self._bundle_version = version
            self._sent.clear()

    def may_send(self, engine: str, incarnation: str, change: Change) -> bool:
        """:returns: whether the pause after the last time is over

        An engine that has started again has lost what it was loading: for it every
        change is a new one.
        """
        sent = self._sent.get((engine, incarnation, change))
        return sent is None or self._clock.now_ms() >= sent.next_ms

    def note_sent(self, order: Order, *, wait_ms: float = 0.0) -> None:
        """Note an order that was sent.

        :param wait_ms: how long its effect may take, before the pause
        """
        key = (order.engine, order.incarnation, order.change)
        n_sent = self._sent[key].n_sent if key in self._sent else 0
        if n_sent:
            self.n_repeated += 1
        pause_ms = min(
            self._settings.retry_ms * BACKOFF_FACTOR**n_sent,
            self._settings.max_retry_ms,
        )
        next_ms = self._clock.now_ms() + wait_ms + pause_ms
        self._sent[key] = _SendState(n_sent + 1, next_ms)


__all__ = ("OrderRetries",)
