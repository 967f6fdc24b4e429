"""Log lines about an event that clients can cause as often as they like."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.telemetry.log import log_event

INTERVAL_MS = 1_000.0
"""Shortest time between two lines of one kind."""


class _Repeats(NamedTuple):
    """What has happened since the last line of one kind.

    :param fields: of the last time
    """

    n_times: int
    fields: dict[str, Any]


class RepeatedEvent:
    """Logs the first event of each kind at once, and later ones together.

    :param event: name of the event
    :param count_field: field with the number of times since the last line
    """

    def __init__(self, event: str, *, count_field: str = "n_connections") -> None:
        self._event = event
        self._count_field = count_field
        self._repeats: dict[str, _Repeats] = {}
        self._timer: asyncio.TimerHandle | None = None

    def note(self, kind: str, **fields: Any) -> None:
        """Note that the event has happened.

        :param kind: one of a few; each has lines of its own
        """
        before = self._repeats.get(kind)
        if before is not None:
            self._repeats[kind] = _Repeats(before.n_times + 1, fields)
            return
        self._log(kind, _Repeats(1, fields))
        self._repeats[kind] = _Repeats(0, fields)
        if self._timer is None:
            self._start_timer()

    def flush(self) -> None:
        """Log what has happened since the last lines."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        repeats, self._repeats = self._repeats, {}
        for kind, repeated in repeats.items():
            if repeated.n_times:
                self._log(kind, repeated)
                self._repeats[kind] = _Repeats(0, repeated.fields)
        if self._repeats:
            self._start_timer()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(INTERVAL_MS / MS_PER_SECOND, self.flush)

    def _log(self, kind: str, repeated: _Repeats) -> None:
        fields: dict[str, Any] = {"kind": kind} if kind else {}
        fields[self._count_field] = repeated.n_times
        log_event(self._event, level="WARNING", **fields, **repeated.fields)


__all__ = ("RepeatedEvent",)
