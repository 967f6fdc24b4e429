"""Trace of one request, collected from the logs of all VMs.

Each send of a caller reaches one VM, and only the logs show which one. The trace also
lists faults of other requests on the same upstreams at the same time, to distinguish a
fault of an upstream from a fault of a VM.
"""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.telemetry.log_lines import read_fields

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_FAULT_EVENTS = ("attempt_failed", "upstream_avoided", "engine_slow", "replica_gone")
_UPSTREAM_FIELDS = ("upstream", "replica")


class TraceLine(NamedTuple):
    """One line of a log.

    :param at_ms: wall time by the clock of the VM
    :param log: name of the log
    :param text: text of the line from its event on
    """

    at_ms: float
    log: str
    text: str


class UpstreamFault(NamedTuple):
    """A fault of one upstream, which several VMs may have logged.

    :param first: first line that reports it
    :param n_lines: number of lines with the same event and upstream
    """

    first: TraceLine
    n_lines: int


class RequestTrace(NamedTuple):
    """Log lines about one request.

    :param own: lines that name the request, in order of time
    :param faults: faults of its upstreams at the same time, from other lines
    """

    own: list[TraceLine]
    faults: list[UpstreamFault]


def trace_request(
    request: str, logs: Mapping[str, Iterable[str]], *, margin_ms: float
) -> RequestTrace:
    """Collect the log lines about a request and the faults of its upstreams.

    :param request: id of the request
    :param logs: lines by name of the log
    :param margin_ms: time before its first and after its last line in which faults of
        its upstreams are included
    """
    builder = _TraceBuilder(request)
    for log, lines in logs.items():
        for line in lines:
            if request in line or any(event in line for event in _FAULT_EVENTS):
                builder.add_line(log, line)
    return builder.build(margin_ms)


class _TraceBuilder:
    """Collects the lines of one request and the faults of all upstreams."""

    def __init__(self, request: str) -> None:
        self._request = request
        self._own: list[TraceLine] = []
        self._upstreams: set[str] = set()
        self._faults: dict[tuple[str, str], list[TraceLine]] = {}

    def add_line(self, log: str, line: str) -> None:
        """Add a line that may belong to the request or report a fault."""
        fields = read_fields(line)
        entry = _read_line(log, line, fields)
        if entry is None:
            return
        named = {fields[name] for name in _UPSTREAM_FIELDS if name in fields}
        if fields.get("request") == self._request:
            readers = fields.get("readers", "").strip('"')
            self._own.append(entry)
            self._upstreams.update(named, readers.split(","))
        elif fields.get("event") in _FAULT_EVENTS:
            for name in named:
                self._faults.setdefault((fields["event"], name), []).append(entry)

    def build(self, margin_ms: float) -> RequestTrace:
        """:returns: the trace, in order of time"""
        if not self._own:
            return RequestTrace([], [])
        begin_ms = min(self._own).at_ms - margin_ms
        end_ms = max(self._own).at_ms + margin_ms
        faults = []
        for (_, name), entries in self._faults.items():
            entries_in_range = [
                entry for entry in entries if begin_ms <= entry.at_ms <= end_ms
            ]
            if entries_in_range and name in self._upstreams:
                faults.append(
                    UpstreamFault(min(entries_in_range), len(entries_in_range))
                )
        return RequestTrace(sorted(self._own), sorted(faults))


def _read_line(log: str, line: str, fields: Mapping[str, str]) -> TraceLine | None:
    """:returns: the parsed line; ``None`` if it is truncated or of another program"""
    try:
        at_ms = datetime.fromisoformat(fields["time"]).timestamp() * MS_PER_SECOND
    except (KeyError, ValueError):
        return None
    return TraceLine(at_ms, log, line[line.index("event=") :].strip())


__all__ = ("RequestTrace", "TraceLine", "UpstreamFault", "trace_request")
