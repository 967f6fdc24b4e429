"""I6: leaving upstreams get no new work; a graceful shutdown aborts no call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.history.api import HistoryCheck, history_checks
from quetzaldeck.history.events import (
    CallEnded,
    CallOutcome,
    CallSent,
    Executed,
    SequenceStarted,
    UpstreamLeaving,
    VmKilled,
    VmStopping,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.history.events import Event


@history_checks.register("I6_leaving_upstreams")
class LeavingUpstreams(HistoryCheck):
    """Finds work that an upstream received too long after it started to leave."""

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield each such sequence or execution."""
        leaving: dict[str, float] = {}
        for index, event in enumerate(events):
            if isinstance(event, UpstreamLeaving):
                leaving.setdefault(event.upstream, event.at_ms)
            if not isinstance(event, SequenceStarted | Executed):
                continue
            since_ms = event.at_ms - leaving.get(event.upstream, event.at_ms)
            if since_ms > self._bounds.leaving_ms:
                yield (
                    index,
                    f"{event.upstream} got work {since_ms:.0f} ms after it left",
                )


@history_checks.register("I6_graceful_stops")
class GracefulStops(HistoryCheck):
    """Finds calls aborted by a VM during its graceful shutdown."""

    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield each broken call of a VM that was stopping and was not killed."""
        vm_of = {e.call_id: e.vm for e in events if isinstance(e, CallSent)}
        stopping: set[str] = set()
        for index, event in enumerate(events):
            if isinstance(event, VmStopping):
                stopping.add(event.vm)
            if isinstance(event, VmKilled):
                stopping.discard(event.vm)
            if not isinstance(event, CallEnded):
                continue
            vm = vm_of.get(event.call_id, "")
            if event.outcome == CallOutcome.BROKEN and vm in stopping:
                yield index, f"{vm} aborted call {event.call_id} while stopping"


__all__ = ("GracefulStops", "LeavingUpstreams")
