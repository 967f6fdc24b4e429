"""Releases what attempts hold when they end or are abandoned."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.decisions.attempts.monitor import AttemptMonitor
    from quetzaldeck.decisions.attempts.tracked import TrackedRequest, TrackedRequests
    from quetzaldeck.decisions.placement.placer import Placer
    from quetzaldeck.decisions.poison import PoisonRegistry
    from quetzaldeck.decisions.scheduling.waiting import WaitingRequests


class AttemptReleaser:
    """Releases the running attempt of a request.

    :param tracked: stores admitted requests
    :param waiting: holds requests that may start with the released capacity
    :param placer: accounts for the capacity of upstreams
    :param monitor: is notified of attempts that run on after they were abandoned
    :param poison: is notified of attempts that were not sent
    """

    def __init__(
        self,
        *,
        tracked: TrackedRequests,
        waiting: WaitingRequests,
        placer: Placer,
        monitor: AttemptMonitor,
        poison: PoisonRegistry,
    ) -> None:
        self._tracked = tracked
        self._waiting = waiting
        self._placer = placer
        self._monitor = monitor
        self._poison = poison

    def release(self, tracked: TrackedRequest) -> None:
        """Release the resources of the running attempt of a request, if any."""
        if self._tracked.end_attempt(tracked.attempt_id):
            self._placer.release(tracked.request, tracked.attempt_id, tracked.upstreams)
            self._waiting.note_capacity_freed()

    def note_abandoned(self, tracked: TrackedRequest, now_ms: float) -> None:
        """Record that the running attempt of a request, if any, is abandoned."""
        if not tracked.attempt_id:
            return
        if tracked.dispatched_ms > now_ms:
            self.note_unsent(tracked, now_ms)
            return
        self._monitor.note_left(
            tracked.request, tracked.attempt_id, tracked.upstreams, now_ms
        )

    def note_unsent(self, tracked: TrackedRequest, now_ms: float) -> None:
        """Record that the running attempt of a request is not sent after all."""
        for name in tracked.upstreams:
            for fingerprint in tracked.request.crash_fingerprints:
                self._poison.note_stopped(fingerprint, name, now_ms)


__all__ = ("AttemptReleaser",)
