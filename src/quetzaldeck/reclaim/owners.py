"""Tracks the gateway incarnations that have run on this VM. No I/O."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock

MAX_OWNERS = 256


class OwnerState(StrEnum):
    """What an agent can confirm about one incarnation of its VM's gateway."""

    LIVE = "live"
    GONE = "gone"
    UNKNOWN = "unknown"


class _LastReport(NamedTuple):
    reported_ms: float
    is_stopped: bool


class OwnerRegistry:
    """Determines the state of the gateway incarnations that reported to this agent.

    ``GONE`` is a proof: the gateway has reported that it stopped, or it is silent while
    a later incarnation reports, and a VM runs one gateway at a time. A gateway that is
    only silent may be paused, and an incarnation that has never reported here may run
    on another VM with the same id: both are ``UNKNOWN``.

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
        """Record a report of the gateway."""
        self._detect_pause()
        self._reports.pop(incarnation, None)
        self._reports[incarnation] = _LastReport(self._clock.now_ms(), is_stopped)
        if len(self._reports) > MAX_OWNERS:
            del self._reports[next(iter(self._reports))]

    def find_state(self, incarnation: str) -> OwnerState:
        """:returns: the state of one incarnation of the gateway"""
        self._detect_pause()
        report = self._reports.get(incarnation)
        if report is None:
            return OwnerState.UNKNOWN
        if report.is_stopped:
            return OwnerState.GONE
        # Reports that a live gateway sent while this agent was paused are lost, so
        # its silence is counted from the end of the pause.
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
