"""I4: a call reported as not run was not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.history.api import HistoryCheck, history_checks
from quetzaldeck.history.events import CallEnded, Executed, SequenceStarted
from quetzaldeck.outcomes import Ran

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.history.events import Event


@history_checks.register("I4_true_refusals")
class TrueRefusals(HistoryCheck):
    """Finds failures reported with ``ran: no`` whose request an upstream ran."""

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield the end of each such call."""
        executed_ids = {request_id for e in events if (request_id := _request_id_of(e))}
        for index, event in enumerate(events):
            if not isinstance(event, CallEnded) or event.ran != Ran.NO:
                continue
            if event.request_id in executed_ids:
                yield (
                    index,
                    f"request {event.request_id} ran but was reported as not run",
                )


def _request_id_of(event: Event) -> str:
    if isinstance(event, Executed):
        return event.request_id
    if isinstance(event, SequenceStarted):
        return event.attempt_id.partition(".")[0]
    return ""


__all__ = ("TrueRefusals",)
