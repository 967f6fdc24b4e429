"""Invariants of a soak run on what the entry VMs have logged."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.telemetry.log_lines import read_events

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from tests.soak.entry.history import CallRecord, Execution, History

RESTARTS = frozenset({"kill_vm", "kill_all", "stop_vm"})
"""Faults that end a VM's process, some of them before it can log anything."""

MAX_RUN_MS = 11_000.0
"""Longest time from the start of an execution until its caller has left."""

FOR_ROOM = ("connections", "memory")
"""Bounds for which connections of ordinary callers may be closed beside a crowd."""

END_EVENTS = ("request_answered", "request_failed")


class VmLog(NamedTuple):
    """What one VM has logged.

    :param sent: requests and upstreams of all attempts
    :param ended: requests that have a line on their end
    :param named: requests that have any line
    :param n_shed: connections that were closed unread
    :param n_closed_for_room: connections that were closed without a whole request
    :param n_dropped: lines that were dropped
    """

    sent: frozenset[tuple[str, str]]
    ended: frozenset[str]
    named: frozenset[str]
    n_shed: int
    n_closed_for_room: int
    n_dropped: int


def read_log(text: str) -> VmLog:
    """:returns: what the log of a VM says of its requests"""
    sent = set()
    lines = text.splitlines()
    for fields in read_events(lines, "dispatched"):
        readers = fields.get("readers", "").strip('"').split(",")
        for upstream in (fields["upstream"], *readers):
            sent.add((fields["request"], upstream))
    shed = read_events(lines, "connections_shed")
    dropped = read_events(lines, "log_lines_dropped")
    return VmLog(
        frozenset(sent),
        frozenset(fields["request"] for fields in read_events(lines, *END_EVENTS)),
        frozenset(_read_request(line) for line in lines if " request=" in line),
        sum(int(fields["n_connections"]) for fields in shed),
        sum(
            int(fields["n_connections"])
            for fields in read_events(lines, "request_over_bound")
            if fields["kind"] in FOR_ROOM
        ),
        sum(int(fields["n"]) for fields in dropped),
    )


def _read_request(line: str) -> str:
    return line.partition(" request=")[2].partition(" ")[0]


def check_logs(history: History, logs: Mapping[str, str]) -> list[str]:
    """:returns: calls of which the logs do not tell what became of them

    :param logs: log by name of the VM
    """
    read = {name: read_log(text) for name, text in logs.items()}
    return [
        *(f"sent_calls_are_logged: {f}" for f in _check_sent(history, read)),
        *(f"lost_calls_are_logged: {f}" for f in _check_lost(history, read)),
    ]


def _check_sent(history: History, logs: Mapping[str, VmLog]) -> Iterator[str]:
    """A call that a replica received has lines on its attempt and on its end."""
    senders: defaultdict[tuple[str, str], list[str]] = defaultdict(list)
    for name, log in logs.items():
        for attempt in log.sent:
            senders[attempt].append(name)
    for execution in history.executions:
        call_id, replica = execution.call_id, execution.replica
        names = senders[call_id, replica]
        if not names:
            if not _has_restarted(history, "", execution):
                yield f"{call_id} ran on {replica}; no VM says that it sent it there"
            continue
        for name in names:
            is_ended = call_id in logs[name].ended
            if not is_ended and not _has_restarted(history, name, execution):
                yield f"{call_id} ran on {replica}; {name} does not say how it ended"


def _check_lost(history: History, logs: Mapping[str, VmLog]) -> Iterator[str]:
    """A call that ended without a status has a line that names it.

    A connection that was closed unread names no call; such lines state their number. So
    do those on connections closed for room while a crowd is at the VM.
    """
    unnamed: defaultdict[str, list[CallRecord]] = defaultdict(list)
    for call in history.calls:
        is_named = call.vm in logs and call.call_id in logs[call.vm].named
        if call.status or is_named or not call.is_in_rotation:
            continue
        if not _is_restarted(history, call.vm, call.sent_ms, call.ended_ms):
            unnamed[call.vm].append(call)
    for name, calls in unnamed.items():
        n_closed = logs[name].n_closed_for_room
        beside = [call for call in calls if _is_beside_crowd(history, call)]
        if len(calls) - min(len(beside), n_closed) <= logs[name].n_shed:
            continue
        for call in calls:
            took_ms = call.ended_ms - call.sent_ms
            yield (
                f"{call.call_id} ended without a status after {took_ms:.0f} ms; "
                f"{name} does not name it, {logs[name].n_shed} connections were shed"
            )


def _is_beside_crowd(history: History, call: CallRecord) -> bool:
    return any(
        item.name == "send_crowd"
        and item.target == call.vm
        and item.begin_ms < call.ended_ms
        and item.end_ms > call.sent_ms
        for item in history.fault_intervals
    )


def _has_restarted(history: History, vm: str, execution: Execution) -> bool:
    at_ms = execution.at_ms
    return _is_restarted(history, vm, at_ms, at_ms + MAX_RUN_MS)


def _is_restarted(history: History, vm: str, begin_ms: float, end_ms: float) -> bool:
    """:returns: whether the process of a VM ended in a time span; ``""``: of any VM"""
    return any(
        item.name in RESTARTS
        and (not vm or item.target in (vm, ""))
        and item.begin_ms < end_ms
        and item.end_ms > begin_ms
        for item in history.fault_intervals
    )


def count_dropped(logs: Mapping[str, str]) -> Counter[str]:
    """:returns: log lines that were dropped, by VM"""
    return Counter({name: read_log(text).n_dropped for name, text in logs.items()})


__all__ = ("check_logs", "count_dropped")
