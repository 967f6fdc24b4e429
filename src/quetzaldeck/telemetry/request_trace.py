"""What happened to one request, from the logs of all VMs.

A caller's attempt reaches one VM, and nothing outside says which one. Of what other
requests met, the end of attempts at the same upstreams in the same time matters most:
whether an upstream or a VM is to blame.
"""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.telemetry.log_lines import read_fields

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_FAULTS = ("attempt_failed", "upstream_avoided", "engine_slow", "replica_gone")
_UPSTREAM_FIELDS = ("upstream", "replica")


class TraceLine(NamedTuple):
    """One line of a log.

    :param at_ms: wall time, of the VM's own clock
    :param log: name of the log
    """

    at_ms: float
    log: str
    text: str


class UpstreamFault(NamedTuple):
    """What went wrong at one upstream, as several VMs may have noted it.

    :param first: the first line that tells of it
    :param n_lines: lines of the same event and upstream
    """

    first: TraceLine
    n_lines: int


class RequestTrace(NamedTuple):
    """Lines about one request.

    :param own: those that name it, the first one first
    :param faults: what went wrong at its upstreams in the same time, by other lines
    """

    own: list[TraceLine]
    faults: list[UpstreamFault]


def trace_request(
    request: str, logs: Mapping[str, Iterable[str]], *, margin_ms: float
) -> RequestTrace:
    """Collect what logs say of a request.

    :param logs: lines by name of the log
    :param margin_ms: how long before its first and after its last line faults count
    """
    found = _Found(request)
    for log, lines in logs.items():
        for line in lines:
            if request in line or any(event in line for event in _FAULTS):
                found.take(log, line)
    return found.build(margin_ms)


class _Found:
    """What was found so far."""

    def __init__(self, request: str) -> None:
        self._request = request
        self._own: list[TraceLine] = []
        self._upstreams: set[str] = set()
        self._faults: dict[tuple[str, str], list[TraceLine]] = {}

    def take(self, log: str, line: str) -> None:
        """Take a line that may tell of the request or of a fault."""
        fields = read_fields(line)
        entry = _read_line(log, line, fields)
        if entry is None:
            return
        named = {fields[name] for name in _UPSTREAM_FIELDS if name in fields}
        if fields.get("request") == self._request:
            readers = fields.get("readers", "").strip('"')
            self._own.append(entry)
            self._upstreams.update(named, readers.split(","))
        elif fields.get("event") in _FAULTS:
            for name in named:
                self._faults.setdefault((fields["event"], name), []).append(entry)

    def build(self, margin_ms: float) -> RequestTrace:
        """:returns: the trace, in the order of time"""
        if not self._own:
            return RequestTrace([], [])
        begin_ms = min(self._own).at_ms - margin_ms
        end_ms = max(self._own).at_ms + margin_ms
        faults = []
        for (_, name), entries in self._faults.items():
            near = [entry for entry in entries if begin_ms <= entry.at_ms <= end_ms]
            if near and name in self._upstreams:
                faults.append(UpstreamFault(min(near), len(near)))
        return RequestTrace(sorted(self._own), sorted(faults))


def _read_line(log: str, line: str, fields: Mapping[str, str]) -> TraceLine | None:
    """:returns: the line; ``None`` for one that was cut off, or is not ours"""
    try:
        at_ms = datetime.fromisoformat(fields["time"]).timestamp() * MS_PER_SECOND
    except (KeyError, ValueError):
        return None
    return TraceLine(at_ms, log, line[line.index("event=") :].strip())


__all__ = ("RequestTrace", "TraceLine", "UpstreamFault", "trace_request")
