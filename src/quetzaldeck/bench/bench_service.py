"""A simulated replica of a plain service."""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from quetzaldeck.bench.bench_upstream import BenchUpstream
from quetzaldeck.decisions import LoadReport

if TYPE_CHECKING:
    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.bench.scenario import FleetShape
    from quetzaldeck.bundle import UpstreamSpec


class BenchService(BenchUpstream):
    """Runs calls on a fixed number of workers, with a FIFO queue."""

    def __init__(
        self, spec: UpstreamSpec, shape: FleetShape, events: EventQueue
    ) -> None:
        super().__init__(spec, shape, events)
        self._waiting: deque[str] = deque()
        self._running: set[str] = set()

    def report(self) -> LoadReport:
        """:returns: the current load"""
        self._n_reports += 1
        return LoadReport(
            self.spec.name,
            self.incarnation,
            self._n_reports,
            self._shape.report_lag_ms,
            len(self._running),
            len(self._waiting),
            0,
            0,
        )

    def _begin(self, attempt: BenchAttempt) -> None:
        self._waiting.append(attempt.attempt_id)
        self._fill()

    def _end(self, attempt_id: str) -> None:
        self._running.discard(attempt_id)
        if attempt_id in self._waiting:
            self._waiting.remove(attempt_id)
        self._fill()

    def _clear(self) -> None:
        self._waiting.clear()
        self._running.clear()

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self._shape.n_service_workers:
            attempt_id = self._waiting.popleft()
            self._running.add(attempt_id)
            duration_ms = self._shape.service_ms * self.slow_factor
            self._events.after(duration_ms, partial(self._finish, attempt_id))

    def _finish(self, attempt_id: str) -> None:
        if attempt_id not in self._running:
            return
        self._running.discard(attempt_id)
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            self._send(attempt, is_last=True)
        self._fill()


__all__ = ("BenchService",)
