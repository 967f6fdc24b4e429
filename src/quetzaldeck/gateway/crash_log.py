"""Logs which requests are suspected of crashing upstreams, and refused for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.poison import Verdict, format_fingerprint
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.decisions.poison import PoisonRegistry

CHECK_INTERVAL_MS = 200.0
"""Interval between checks. Each judges all requests that were in a crash."""

_EVENTS = {
    Verdict.SUSPECT: ("request_suspected", "INFO"),
    Verdict.REFUSED: ("request_blocked", "WARNING"),
}


class CrashLog:
    """Writes a line for each request whose verdict has changed since the last check.

    :param poison: judges the requests
    """

    def __init__(self, poison: PoisonRegistry) -> None:
        self._poison = poison
        self._verdicts: dict[int, Verdict] = {}
        self._next_check_ms = 0.0

    def check(self, now_ms: float) -> None:
        """Log the changes since the last check, if the interval has passed."""
        if now_ms < self._next_check_ms or not (self._verdicts or len(self._poison)):
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        verdicts = self._poison.list_verdicts(now_ms)
        for fingerprint, verdict in verdicts.items():
            if verdict is not self._verdicts.get(fingerprint, Verdict.CLEAR):
                self._log(fingerprint, verdict)
        for fingerprint in self._verdicts.keys() - verdicts.keys():
            self._log(fingerprint, Verdict.CLEAR)
        self._verdicts = {
            fingerprint: verdict
            for fingerprint, verdict in verdicts.items()
            if verdict is not Verdict.CLEAR
        }

    def _log(self, fingerprint: int, verdict: Verdict) -> None:
        event, level = _EVENTS.get(verdict, ("request_cleared", "INFO"))
        log_event(
            event,
            level=level,
            fingerprint=format_fingerprint(fingerprint),
            crashed=",".join(self._poison.list_crashed(fingerprint)),
        )


__all__ = ("CHECK_INTERVAL_MS", "CrashLog")
