"""Which gateways have run on this VM, as its agent has seen them. No I/O."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock

MAX_OWNERS = 256


class OwnerState(StrEnum):
    """What an agent vouches for about one start of its VM's gateway."""

    LIVE = "live"
    GONE = "gone"
    UNKNOWN = "unknown"


class _LastReport(NamedTuple):
    reported_ms: float
    is_stopped: bool


class OwnerRegistry:
    """Vouches for the starts of the gateway that it has heard itself.

    ``GONE`` is a proof: the gateway has said that it has finished, or it is silent
    while a later start of it reports, and one VM runs one gateway. A gateway that
    only is silent may be paused, and an incarnation that this agent has never heard
    may live on another VM that was given the same id: both are ``UNKNOWN``.

    :param quiet_ms: silence after which a gateway with a successor is gone; many
        times the interval at which gateways report
    """

    def __init__(self, clock: Clock, *, quiet_ms: float) -> None:
        self._clock = clock
        self._quiet_ms = quiet_ms
        self._reports: dict[str, _LastReport] = {}
        self._resumed_ms = clock.now_ms()
        self._last_check = (clock.now_ms(), clock.wall_ms())

    def note_report(self, incarnation: str, *, is_stopped: bool) -> None:
        """Take a gateway's report."""
        self._detect_pause()
        self._reports.pop(incarnation, None)
        self._reports[incarnation] = _LastReport(self._clock.now_ms(), is_stopped)
        if len(self._reports) > MAX_OWNERS:
            del self._reports[next(iter(self._reports))]

    def find_state(self, incarnation: str) -> OwnerState:
        """:returns: what is known of one start of the gateway"""
        self._detect_pause()
        report = self._reports.get(incarnation)
        if report is None:
            return OwnerState.UNKNOWN
        if report.is_stopped:
            return OwnerState.GONE
        # After a pause of this agent a live gateway has reported in vain for as
        # long; it is given the whole time again.
        reported_ms = max(report.reported_ms, self._resumed_ms)
        if self._clock.now_ms() - reported_ms < self._quiet_ms:
            return OwnerState.LIVE
        has_successor = any(
            other.reported_ms >= reported_ms + self._quiet_ms
            for name, other in self._reports.items()
            if name != incarnation
        )
        return OwnerState.GONE if has_successor else OwnerState.UNKNOWN

    def _detect_pause(self) -> None:
        now = (self._clock.now_ms(), self._clock.wall_ms())
        gap_ms = max(now[0] - self._last_check[0], now[1] - self._last_check[1])
        if gap_ms > self._quiet_ms / 2:
            self._resumed_ms = now[0]
        self._last_check = now


__all__ = ("OwnerRegistry", "OwnerState")
