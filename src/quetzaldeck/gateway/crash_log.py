"""Shows operators which requests are suspected of crashing upstreams, or refused."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.poison import Verdict, format_fingerprint
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.poison import BlockedRequest, PoisonRegistry
    from quetzaldeck.telemetry import UpstreamMetrics

CHECK_INTERVAL_MS = 500.0
"""Interval between checks. Each judges all requests that were in a crash."""

MAX_BLOCKED_SHOWN = 20
"""Refused requests that have metrics of their own; the logs name all of them."""


class CrashLog:
    """Logs each change of the verdict on a request, and keeps metrics of refused ones.

    :param poison: judges the requests
    """

    def __init__(
        self, poison: PoisonRegistry, clock: Clock, metrics: UpstreamMetrics
    ) -> None:
        self._poison = poison
        self._clock = clock
        self._metrics = metrics
        self._verdicts: dict[int, Verdict] = {}
        self._shown: set[str] = set()
        self._next_check_ms = 0.0

    def check(self, now_ms: float) -> None:
        """Log the changes since the last check, if the interval has passed."""
        if now_ms < self._next_check_ms or not (self._verdicts or len(self._poison)):
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        verdicts = self._poison.list_verdicts(now_ms)
        for fingerprint in [f for f, v in verdicts.items() if v is Verdict.CLEAR]:
            del verdicts[fingerprint]
        for fingerprint, verdict in verdicts.items():
            if verdict is not self._verdicts.get(fingerprint):
                self._log(fingerprint, now_ms)
        for fingerprint in self._verdicts.keys() - verdicts.keys():
            log_event("request_cleared", fingerprint=format_fingerprint(fingerprint))
        self._verdicts = verdicts
        self._show_blocked(now_ms)

    def _log(self, fingerprint: int, now_ms: float) -> None:
        blocked = self._poison.find_blocked(fingerprint, now_ms)
        if blocked is None:
            crashed = ",".join(self._poison.list_crashed(fingerprint))
            name = format_fingerprint(fingerprint)
            log_event("request_suspected", fingerprint=name, crashed=crashed)
            return
        log_event(
            "request_blocked",
            level="WARNING",
            fingerprint=blocked.name,
            crashed=",".join(blocked.crashed),
            since_ms=round(self._wall_ms(blocked.since_ms)),
            until_ms=round(self._wall_ms(blocked.until_ms)),
        )

    def _show_blocked(self, now_ms: float) -> None:
        refused = [f for f, v in self._verdicts.items() if v is Verdict.REFUSED]
        found = (self._poison.find_blocked(f, now_ms) for f in refused)
        blocked = [item for item in found if item is not None][-MAX_BLOCKED_SHOWN:]
        names = {item.name for item in blocked}
        for name in self._shown - names:
            self._remove(name)
        for item in blocked:
            self._show(item)
        self._shown = names

    def _show(self, blocked: BlockedRequest) -> None:
        metrics = self._metrics
        since_s = self._wall_ms(blocked.since_ms) / MS_PER_SECOND
        until_s = self._wall_ms(blocked.until_ms) / MS_PER_SECOND
        metrics.blocked_crashes.labels(blocked.name).set(len(blocked.crashed))
        metrics.blocked_since.labels(blocked.name).set(since_s)
        metrics.blocked_until.labels(blocked.name).set(until_s)

    def _remove(self, name: str) -> None:
        metrics = self._metrics
        for gauge in (
            metrics.blocked_crashes,
            metrics.blocked_since,
            metrics.blocked_until,
        ):
            with suppress(KeyError):
                gauge.remove(name)

    def _wall_ms(self, at_ms: float) -> float:
        return self._clock.wall_ms() - self._clock.now_ms() + at_ms


__all__ = ("CHECK_INTERVAL_MS", "MAX_BLOCKED_SHOWN", "CrashLog")
