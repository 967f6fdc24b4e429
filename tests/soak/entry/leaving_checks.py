"""Calls that a VM cuts off as it leaves, and whether it may."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from tests.soak.entry.checks import GENTLE_FAULTS, ROUTE_TIMEOUT_MS
from tests.soak.entry.world import GRACE_S
from tests.support.platform.partitions import STABLE_MS

if TYPE_CHECKING:
    from tests.soak.entry.history import CallRecord, FaultInterval, History

GRACE_MS = GRACE_S * 1_000
LATE_MS = GRACE_MS * 5 / 6
"""From then on a VM may cut off what a replica is still at work on."""

MAX_LATE_MS = 3_000.0
"""Time after SIGTERM until which a call may be sent to the VM."""

END_MS = GRACE_MS + 1_000.0
"""Time after SIGTERM until which the end of a call counts."""

GENTLE = GENTLE_FAULTS | {"stop_vm", "freeze_vm", "kill_vm"}
"""Faults that end no answer of a replica; those of the VM itself are looked up."""


class CutCall(NamedTuple):
    """A call that a replica ran and that ended as its VM left.

    :param stopped_ms: when the VM was stopped, relative to when the call was sent
    :param worked_ms: when a replica was last at work on it, relative to the stop
    """

    call_id: str
    took_ms: float
    stopped_ms: float
    worked_ms: float
    n_bytes: int

    @property
    def is_excused(self) -> bool:
        """:returns: whether a replica was at work in the last sixth of the grace"""
        return self.worked_ms >= LATE_MS

    def render(self) -> str:
        """:returns: the call on one line"""
        return (
            f"{self.call_id} ended after {self.took_ms:.0f} ms with {self.n_bytes} "
            f"bytes; its VM was stopped at {self.stopped_ms:.0f} ms, a replica was "
            f"at work until {self.worked_ms:.0f} ms after that"
        )


def list_cut_calls(history: History) -> list[CutCall]:
    """:returns: calls without a whole answer or a refusal whose VM was leaving"""
    cut = []
    for call in history.calls:
        if call.status and (call.is_complete or call.status != 200):
            continue
        took_ms = call.ended_ms - call.sent_ms
        worked_ms = _last_work_ms(history, call)
        is_late = took_ms >= min(call.deadline_ms, ROUTE_TIMEOUT_MS) - 100.0
        if is_late or worked_ms is None or _is_disturbed(history, call):
            continue
        stop = _find_stop(history, call)
        if stop is not None and not _is_stopped_again(history, call, stop):
            cut.append(
                CutCall(
                    call.call_id,
                    took_ms,
                    stop.begin_ms - call.sent_ms,
                    worked_ms - stop.begin_ms,
                    len(call.body),
                )
            )
    return cut


def check_leaving(history: History) -> list[str]:
    """:returns: calls that a VM may not have cut off as it left"""
    return [
        f"calls_end_as_vms_leave: {call.render()}"
        for call in list_cut_calls(history)
        if not call.is_excused
    ]


def _find_stop(history: History, call: CallRecord) -> FaultInterval | None:
    for item in history.fault_intervals:
        if (
            item.name == "stop_vm"
            and item.target == call.vm
            and item.begin_ms < call.ended_ms <= item.begin_ms + END_MS
            and call.sent_ms <= item.begin_ms + MAX_LATE_MS
        ):
            return item
    return None


def _is_stopped_again(history: History, call: CallRecord, stop: FaultInterval) -> bool:
    """:returns: whether a second SIGTERM came, which cuts off what is in progress"""
    return any(
        item.name == "stop_vm"
        and item.target == call.vm
        and stop.begin_ms < item.begin_ms < call.ended_ms
        for item in history.fault_intervals
    )


def _last_work_ms(history: History, call: CallRecord) -> float | None:
    """:returns: when a replica last worked on a call; ``None``: none has run it

    What a replica wrote while it was silent it sends when it goes on.
    """
    ends = history.work_ends[call.call_id]
    if not ends:
        return None
    last_ms = 0.0
    for replica, end_ms in ends:
        held = [
            silence.end_ms
            for silence in history.silences
            if silence.target == replica and silence.begin_ms <= end_ms < silence.end_ms
        ]
        last_ms = max(last_ms, end_ms, *held)
    return min(last_ms, call.ended_ms)


def _is_disturbed(history: History, call: CallRecord) -> bool:
    """:returns: whether a fault broke off answers, or cut, ended or froze the VM"""
    is_cut = any(
        call.vm in cut.vms
        and cut.begin_ms < call.ended_ms
        and cut.end_ms + STABLE_MS > call.sent_ms
        for cut in history.partitions
    )
    is_broken = any(
        fault.name not in GENTLE
        and fault.begin_ms < call.ended_ms
        and fault.end_ms > call.sent_ms
        for fault in history.injections
    )
    is_ended = any(
        item.name in ("kill_vm", "kill_all", "freeze_vm")
        and item.target in (call.vm, "")
        and item.begin_ms < call.ended_ms
        and item.end_ms > call.sent_ms
        for item in history.fault_intervals
    )
    return is_cut or is_broken or is_ended


__all__ = ("check_leaving", "list_cut_calls")
