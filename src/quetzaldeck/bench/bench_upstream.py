"""Base class of the simulated engines and plain services."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptFault

if TYPE_CHECKING:
    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.bench.scenario import FleetShape
    from quetzaldeck.bundle import UpstreamSpec
    from quetzaldeck.decisions import LoadReport


class BenchUpstream(ABC):
    """An upstream that can crash, pause, slow down or lose connections silently."""

    def __init__(
        self, spec: UpstreamSpec, shape: FleetShape, events: EventQueue
    ) -> None:
        self.spec = spec
        self.is_down = False
        self.slow_factor = 1.0
        self._shape = shape
        self._events = events
        self._n_incarnation = 1
        self._n_reports = 0
        self._attempts: dict[str, BenchAttempt] = {}
        self._held: list[tuple[BenchAttempt, bool]] = []
        self._is_paused = False

    @property
    def is_reporting(self) -> bool:
        """:returns: whether it sends load reports now"""
        return not self.is_down and not self._is_paused

    @property
    def incarnation(self) -> str:
        """:returns: id of the current incarnation"""
        return f"{self.spec.name}#{self._n_incarnation}"

    def accept(self, attempt: BenchAttempt) -> None:
        """Start an attempt that arrives at the current time."""
        if self.is_down:
            attempt.vm.fail_attempt(attempt, AttemptFault.CONNECT, may_have_run=False)
            return
        self._attempts[attempt.attempt_id] = attempt
        attempt.vm.count_execution(attempt)
        self._begin(attempt)

    def cancel(self, attempt_id: str) -> None:
        """Stop an attempt and release what it holds; ignored if it is unknown."""
        if self._attempts.pop(attempt_id, None) is not None:
            self._end(attempt_id)

    def crash(self) -> None:
        """Go down: all running attempts are lost and their connections break."""
        self.is_down = True
        held = {attempt.attempt_id: attempt for attempt, _ in self._held}
        lost = list((held | self._attempts).values())
        self._held.clear()
        self._attempts.clear()
        self._clear()
        for attempt in lost:
            if not attempt.is_silent:
                attempt.vm.fail_attempt(attempt, AttemptFault.BROKEN)

    def restart(self) -> None:
        """Come up again without state, as a new incarnation."""
        self.is_down = False
        self._n_incarnation += 1
        self._n_reports = 0

    def pause(self) -> None:
        """Hold back all that it sends; nothing is lost."""
        self._is_paused = True

    def resume(self) -> None:
        """Send what was delayed, and continue."""
        self._is_paused = False
        held, self._held = self._held, []
        for attempt, is_last in held:
            self._send(attempt, is_last=is_last)

    def silence_connections(self) -> None:
        """Stop delivery on all open connections; VMs notice at their idle timeout."""
        for attempt in self._attempts.values():
            attempt.is_silent = True
            attempt.vm.schedule_idle_timeout(attempt, self._shape.idle_timeout_ms)

    def _send(self, attempt: BenchAttempt, *, is_last: bool) -> None:
        """Send a token, or a whole plain answer, to the VM."""
        if self._is_paused:
            self._held.append((attempt, is_last))
        elif not attempt.is_silent:
            attempt.vm.receive(attempt, is_last=is_last)

    @abstractmethod
    def report(self) -> LoadReport:
        """:returns: the current load"""

    @abstractmethod
    def _begin(self, attempt: BenchAttempt) -> None:
        """Start to run ``attempt``."""

    @abstractmethod
    def _end(self, attempt_id: str) -> None:
        """Stop the attempt ``attempt_id``."""

    @abstractmethod
    def _clear(self) -> None:
        """Drop all state, as in a crash."""


__all__ = ("BenchUpstream",)
