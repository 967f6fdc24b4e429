"""I5: a call that is not repeatable is executed at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.history.api import HistoryCheck, history_checks
from quetzaldeck.history.events import CallSent, Executed

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.history.events import Event


@history_checks.register("I5_at_most_once")
class AtMostOnce(HistoryCheck):
    """Finds repeated executions of an idempotency key."""

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield each execution of a key after the first."""
        at_most_once_keys = {
            e.key
            for e in events
            if isinstance(e, CallSent) and e.key and not e.is_repeatable
        }
        n_runs: dict[str, int] = {}
        for index, event in enumerate(events):
            if not isinstance(event, Executed) or event.key not in at_most_once_keys:
                continue
            n_runs[event.key] = n_runs.get(event.key, 0) + 1
            if n_runs[event.key] > 1:
                yield index, f"key {event.key} was executed {n_runs[event.key]} times"


__all__ = ("AtMostOnce",)
