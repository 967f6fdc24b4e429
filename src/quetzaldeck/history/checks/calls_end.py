"""I1 and a part of I3: calls end by their deadline, and answers are complete."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.history.api import HistoryCheck, history_checks
from quetzaldeck.history.events import (
    CALLER_TIMEOUT,
    CallEnded,
    CallOutcome,
    CallSent,
    VmKilled,
    VmPaused,
    VmResumed,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.history.events import Event


@history_checks.register("I1_calls_end")
class CallsEnd(HistoryCheck):
    """Finds calls that never ended or ended after their deadline.

    A caller that timed out counts as a violation as well, because the VM should
    have ended the call, unless the VM was paused during the call.
    """

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield the ``CallSent`` event of each such call."""
        ended = {e.call_id: e for e in events if isinstance(e, CallEnded)}
        pauses = _list_pauses(events)
        for index, event in enumerate(events):
            if not isinstance(event, CallSent):
                continue
            end = ended.get(event.call_id)
            if end is None:
                yield index, f"call {event.call_id} never ended"
                continue
            late_ms = end.at_ms - event.deadline_ms
            if late_ms > self._bounds.deadline_grace_ms:
                yield index, f"call {event.call_id} ended {late_ms:.0f} ms late"
            elif end.reason == CALLER_TIMEOUT and not _was_paused(event, end, pauses):
                yield index, f"{event.vm} let call {event.call_id} time out"


@history_checks.register("I3_whole_answer")
class CompleteAnswer(HistoryCheck):
    """Finds truncated answers from VMs that were not killed during the call."""

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield the end of each such call."""
        sent = {e.call_id: e for e in events if isinstance(e, CallSent)}
        kills = [e for e in events if isinstance(e, VmKilled)]
        for index, event in enumerate(events):
            if not isinstance(event, CallEnded):
                continue
            if event.outcome != CallOutcome.BROKEN:
                continue
            call = sent[event.call_id]
            was_killed = any(
                kill.vm == call.vm and kill.at_ms >= call.at_ms for kill in kills
            )
            if not was_killed:
                yield index, f"{call.vm} aborted call {event.call_id}"


def _list_pauses(events: Sequence[Event]) -> list[tuple[str, float, float]]:
    pauses: list[tuple[str, float, float]] = []
    since: dict[str, float] = {}
    for event in events:
        if isinstance(event, VmPaused):
            since[event.vm] = event.at_ms
        elif isinstance(event, VmResumed) and event.vm in since:
            pauses.append((event.vm, since.pop(event.vm), event.at_ms))
    pauses.extend((vm, start_ms, math.inf) for vm, start_ms in since.items())
    return pauses


def _was_paused(
    call: CallSent, end: CallEnded, pauses: list[tuple[str, float, float]]
) -> bool:
    return any(
        vm == call.vm and start_ms <= end.at_ms and end_ms >= call.at_ms
        for vm, start_ms, end_ms in pauses
    )


__all__ = ("CallsEnd", "CompleteAnswer")
