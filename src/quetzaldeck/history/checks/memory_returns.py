"""I2: no engine leaks memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.history.api import HistoryCheck, history_checks
from quetzaldeck.history.events import MemoryHeld, SequenceEnded, SequenceStarted

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.history.events import Event


@history_checks.register("I2_memory_returns")
class MemoryReturns(HistoryCheck):
    """Finds memory still held after all calls had time to end."""

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield each engine that still holds memory and each unreleased sequence."""
        ended = {
            (e.upstream, e.attempt_id) for e in events if isinstance(e, SequenceEnded)
        }
        measured = {e.upstream for e in events if isinstance(e, MemoryHeld)}
        for index, event in enumerate(events):
            if isinstance(event, MemoryHeld) and event.n_kv_tokens:
                yield index, f"{event.upstream} still holds {event.n_kv_tokens} tokens"
            if not isinstance(event, SequenceStarted) or event.upstream not in measured:
                continue
            if (event.upstream, event.attempt_id) not in ended:
                yield index, f"{event.upstream} never released {event.attempt_id}"


__all__ = ("MemoryReturns",)
