"""I3: a caller receives the answer to its own call, exactly once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.history.api import HistoryCheck, history_checks
from quetzaldeck.history.events import CallEnded, CallOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.history.events import Event


@history_checks.register("I3_own_answer")
class OwnAnswer(HistoryCheck):
    """Finds calls with an unexpected answer, and calls that ended twice."""

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield the end of each such call."""
        seen: set[str] = set()
        for index, event in enumerate(events):
            if not isinstance(event, CallEnded):
                continue
            if event.call_id in seen:
                yield index, f"call {event.call_id} ended twice"
            seen.add(event.call_id)
            is_answered = event.outcome == CallOutcome.ANSWERED
            if is_answered and event.answer != event.expected:
                yield index, f"call {event.call_id} got an unexpected answer"


__all__ = ("OwnAnswer",)
