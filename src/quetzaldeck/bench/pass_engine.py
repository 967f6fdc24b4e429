"""A simulated engine that schedules its work in passes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.bench.model_engine import ModelEngine
from quetzaldeck.decisions import AttemptFault, LoadReport
from quetzaldeck.engine_model import PassModel, PassWork

if TYPE_CHECKING:
    from quetzaldeck.bench.attempt_parties import PartOwner
    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.bench.scenario import FleetShape
    from quetzaldeck.bundle import UpstreamSpec
    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.engine_model import Pass

MAX_WAITING_PER_SLOT = 2
"""Requests per slot that may wait at an engine before it refuses new ones."""


class PassEngine(ModelEngine):
    """Runs passes while it has work; reports its load with each answer's first event.

    A request counts as executed from its first event on; one that the engine drops
    before has not run.
    """

    def __init__(
        self, spec: UpstreamSpec, shape: FleetShape, events: EventQueue
    ) -> None:
        super().__init__(spec, shape, events)
        assert spec.figures is not None
        self._figures = spec.figures
        self._model = PassModel(spec.figures)
        self._is_pass_running = False
        self._parts: dict[str, PartOwner[PassEngine]] = {}

    @property
    def figures(self) -> EngineFigures:
        """:returns: configured speed and size of the engine"""
        return self._figures

    @property
    def n_kv_tokens_used(self) -> int:
        """:returns: KV cache tokens in use"""
        return self._model.n_kv_tokens_used

    @property
    def n_requests(self) -> int:
        """:returns: requests that run or wait here"""
        return self._model.n_running + self._model.n_waiting

    def list_without_slot(self) -> list[str]:
        """:returns: ids of the calls that wait here until another answer ends"""
        if self._model.n_running < self._figures.n_slots:
            return []
        return [
            attempt.call.call_id
            for attempt in self._attempts.values()
            if self._model.is_waiting(attempt.attempt_id)
        ]

    @property
    def can_help(self) -> bool:
        """:returns: whether it accepts one more part for another engine's answer"""
        return not self.is_down and self._model.n_parts < self._figures.n_slots

    def accept(self, attempt: BenchAttempt) -> None:
        """Start an attempt that arrives at the current time, unless overloaded."""
        if self.is_down:
            attempt.vm.fail_attempt(attempt, AttemptFault.CONNECT, may_have_run=False)
            return
        max_requests = self._figures.n_slots * (1 + MAX_WAITING_PER_SLOT)
        if self._model.n_running + self._model.n_waiting >= max_requests:
            attempt.vm.fail_attempt(
                attempt, AttemptFault.OVERLOADED, may_have_run=False
            )
            return
        self._attempts[attempt.attempt_id] = attempt
        self._begin(attempt)

    def report(self) -> LoadReport:
        """:returns: the current load, as an answer reports it"""
        now_ms = round(self._events.now_ms)
        n_running, n_waiting = self._model.n_running, self._model.n_waiting
        return LoadReport(
            self.spec.name, self.incarnation, now_ms, 0.0, n_running, n_waiting, 0, 0
        )

    def prefill_part(self, split: PartOwner[PassEngine], work: PassWork) -> None:
        """Prefill a part of a prompt."""
        self._parts[work.work_id] = split
        self._model.submit(work)
        self._start_pass()

    def cancel_part(self, work_id: str) -> None:
        """Cancel a part; ignored if it is unknown or done."""
        if self._parts.pop(work_id, None) is not None:
            self._model.cancel(work_id)

    def start_decoding(self, attempt: BenchAttempt) -> None:
        """Emit the first event and start decoding: all parts are prefilled."""
        if self._attempts.get(attempt.attempt_id) is not attempt:
            return
        is_last = self._model.note_parts_prefilled(attempt.attempt_id)
        self._emit(attempt, is_last=is_last)
        self._start_pass()

    def n_remaining_events(self, attempt: BenchAttempt) -> int:
        """:returns: events that the attempt has still to emit"""
        n_events = math.ceil(attempt.call.n_answer_tokens / self._figures.stride)
        return max(1, n_events - attempt.n_delivered)

    def _begin(self, attempt: BenchAttempt) -> None:
        if attempt.split is not None:
            attempt.split.begin()
            return
        call = attempt.call
        work = PassWork(
            attempt.attempt_id,
            n_prefill_tokens=call.n_prompt_tokens,
            prefill_ms=self._figures.prefill_ms(call.n_prompt_tokens),
            n_events=self.n_remaining_events(attempt),
            n_context_tokens=call.n_prompt_tokens,
            n_kv_tokens=call.n_prompt_tokens + call.n_answer_tokens,
            priority=attempt.dispatch.rank,
        )
        self._model.submit(work)
        self._start_pass()

    def _end(self, attempt_id: str) -> None:
        split = self._parts.pop(attempt_id, None)
        if split is not None:
            split.cancel()
        self._model.cancel(attempt_id)

    def _clear(self) -> None:
        self._model = PassModel(self._figures)
        self._is_pass_running = False
        splits = list(self._parts.values())
        self._parts.clear()
        for split in splits:
            split.note_engine_lost(self)
        self._fail_groups()

    def _reserve(self, reservation_id: str, n_tokens: int) -> bool:
        return self._model.reserve(reservation_id, n_tokens)

    def _release(self, reservation_id: str) -> None:
        self._model.release(reservation_id)
        self._start_pass()

    def _start_pass(self) -> None:
        """Start a pass unless one is running; its events are emitted at its end."""
        if self._is_pass_running or self._model.is_idle:
            return
        result = self._model.run_pass()
        if not result.duration_ms:
            return
        self._is_pass_running = True
        duration_ms = result.duration_ms * self.slow_factor
        self.busy_ms += duration_ms
        incarnation = self.incarnation
        self._events.after(duration_ms, lambda: self._finish(result, incarnation))

    def _finish(self, result: Pass, incarnation: str) -> None:
        if self.is_down or incarnation != self.incarnation:
            return
        self._is_pass_running = False
        for work_id in result.prefilled:
            split = self._parts.pop(work_id, None)
            if split is not None:
                split.note_part_done()
        finished = set(result.finished)
        for attempt_id in result.emitted:
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                self._emit(attempt, is_last=attempt_id in finished)
        self._start_pass()

    def _emit(self, attempt: BenchAttempt, *, is_last: bool) -> None:
        if not attempt.has_begun:
            attempt.has_begun = True
            attempt.vm.count_execution(attempt)
            attempt.vm.observe_load(self.report())
        if is_last:
            del self._attempts[attempt.attempt_id]
        self._send(attempt, is_last=is_last)


__all__ = ("PassEngine",)
