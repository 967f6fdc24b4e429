"""A simulated engine: the cost model of continuous batching on the event queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.bench.model_engine import ModelEngine
from quetzaldeck.decisions import LoadReport
from quetzaldeck.decisions.placement import CacheEvent, CacheEvents
from quetzaldeck.engine_model import EngineModel, Sequence
from quetzaldeck.standin.cache_event_reader import MAX_EVENTS_IN_ANSWER
from quetzaldeck.standin.cache_events import CacheEventKind, CacheEventLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.bench.scenario import FleetShape
    from quetzaldeck.bundle import UpstreamSpec
    from quetzaldeck.decisions.placement import CacheCursor
    from quetzaldeck.engine_model import Step


class BenchEngine(ModelEngine):
    """Runs steps of the model while it has work and sends the tokens to the VMs."""

    def __init__(
        self, spec: UpstreamSpec, shape: FleetShape, events: EventQueue
    ) -> None:
        super().__init__(spec, shape, events)
        self._model = EngineModel(shape.engine)
        self._is_stepping = False
        self._cache_log = CacheEventLog()
        self._parts: dict[str, Callable[[], None]] = {}

    @property
    def n_kv_tokens_used(self) -> int:
        """:returns: KV cache tokens in use"""
        return self._model.n_kv_tokens_used

    def list_cache_events(self, cursor: CacheCursor) -> CacheEvents:
        """:returns: prefix cache events after ``cursor``, as an answer carries them"""
        after = cursor.sequence if cursor.incarnation == self.incarnation else 0
        events = self._cache_log.read(after, until_ms=self._events.now_ms)
        return CacheEvents(
            self.spec.name,
            self.incarnation,
            tuple(
                CacheEvent(
                    event.sequence,
                    event.kind is CacheEventKind.CACHED,
                    event.prefix_hash,
                )
                for event in events[-MAX_EVENTS_IN_ANSWER:]
            ),
        )

    def prefill(self, part: Sequence, on_done: Callable[[], None]) -> None:
        """Prefill a part of a group's prompt and call ``on_done`` at its end."""
        self._parts[part.sequence_id] = on_done
        self._model.submit(part)
        self._step()

    def report(self) -> LoadReport:
        """:returns: the current load"""
        self._n_reports += 1
        return LoadReport(
            self.spec.name,
            self.incarnation,
            self._n_reports,
            self._shape.report_lag_ms,
            self._model.n_running,
            self._model.n_waiting,
            self._model.n_kv_tokens_committed,
            self._model.n_prefill_tokens,
            self.spec.models,
        )

    def _begin(self, attempt: BenchAttempt) -> None:
        call = attempt.call
        group = attempt.group
        n_context = 0 if group is None else group.n_context_tokens
        self._model.submit(
            Sequence(
                attempt.attempt_id,
                n_prompt_tokens=call.n_prompt_tokens + attempt.n_delivered - n_context,
                max_output_tokens=call.n_answer_tokens - attempt.n_delivered,
                priority=attempt.dispatch.rank,
                prefix_hashes=() if n_context else call.hash_prefixes(),
                reservation_id="" if group is None else group.reservation_id,
                n_context_tokens=n_context,
            )
        )
        self._step()

    def _end(self, attempt_id: str) -> None:
        self._model.cancel(attempt_id)

    def _clear(self) -> None:
        self._model = EngineModel(self._shape.engine)
        self._is_stepping = False
        self._cache_log = CacheEventLog()
        self._parts.clear()
        self._fail_groups()

    def _reserve(self, reservation_id: str, n_tokens: int) -> bool:
        return self._model.reserve(reservation_id, n_tokens)

    def _release(self, reservation_id: str) -> None:
        self._model.release(reservation_id)
        self._step()

    def _step(self) -> None:
        """Start a step unless one is running; its tokens are emitted at its end."""
        if self._is_stepping or self._model.is_idle:
            return
        self._is_stepping = True
        step = self._model.step()
        duration_ms = step.duration_ms * self.slow_factor
        incarnation = self.incarnation
        self.busy_ms += duration_ms
        self._events.after(duration_ms, lambda: self._finish(step, incarnation))

    def _finish(self, step: Step, incarnation: str) -> None:
        if self.is_down or incarnation != self.incarnation:
            return
        self._is_stepping = False
        self._cache_log.add(step.cached, step.evicted, self._events.now_ms)
        finished = set(step.finished)
        for attempt_id in step.emitted:
            on_done = self._parts.pop(attempt_id, None)
            if on_done is not None:
                on_done()
                continue
            attempt = self._attempts.get(attempt_id)
            if attempt is None:
                continue
            if attempt.call.kills_engine:
                self.crash()
                return
            if attempt_id in finished:
                del self._attempts[attempt_id]
            self._send(attempt, is_last=attempt_id in finished)
        self._step()


__all__ = ("BenchEngine",)
