"""Prefill of one prompt in equal parts on several engines, one of which answers."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.engine_model import PassWork

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.bench.pass_engine import PassEngine

STALL_MS = 1_500.0
"""How long work that needs a crashed engine stalls before it is abandoned."""


class SplitPrefill:
    """State of the parts of one prompt.

    :param engines: engines that prefill a part each; the first one answers
    :param latency_ms: one-way latency between two engines
    :param n_reserved_tokens: memory for the prompt that is reserved on the engines
    """

    def __init__(
        self,
        attempt: BenchAttempt,
        engines: Sequence[PassEngine],
        events: EventQueue,
        *,
        latency_ms: float,
        n_reserved_tokens: int = 0,
    ) -> None:
        self._attempt = attempt
        self._engines = engines
        self._events = events
        self._latency_ms = latency_ms
        self._n_reserved_tokens = n_reserved_tokens
        self._n_pending_parts = len(engines)
        self._is_finished = False

    def begin(self) -> None:
        """Send each engine its part; called when the request arrives at the first."""
        busy = [helper for helper in self._engines[1:] if not helper.can_help]
        if busy:
            self._fail(busy[0])
            return
        self._engines[0].prefill_part(self, self._build_own_part())
        for index, helper in enumerate(self._engines[1:], start=1):
            part = self._build_part(self._part_id(index), helper)
            self._events.after(self._latency_ms, partial(self._send_part, helper, part))

    def note_part_done(self) -> None:
        """Count a completed part; after the last one, decoding starts."""
        self._n_pending_parts -= 1
        if not self._n_pending_parts and not self._is_finished:
            self._is_finished = True
            self._engines[0].start_decoding(self._attempt)

    def note_engine_lost(self, engine: PassEngine) -> None:
        """Fail the attempt ``STALL_MS`` after the loss of a helper."""
        if not self._is_finished and engine is not self._engines[0]:
            self._events.after(STALL_MS, lambda: self._fail(engine))

    def cancel(self) -> None:
        """Cancel the parts of all helpers: the answer is no longer needed."""
        self._is_finished = True
        for index, helper in enumerate(self._engines[1:], start=1):
            cancel = partial(helper.cancel_part, self._part_id(index))
            self._events.after(self._latency_ms, cancel)

    def _send_part(self, helper: PassEngine, part: PassWork) -> None:
        if self._is_finished:
            return
        if helper.is_down:
            self.note_engine_lost(helper)
        else:
            helper.prefill_part(self, part)

    def _fail(self, helper: PassEngine) -> None:
        """Fail the attempt as not run and name the helper that caused the failure."""
        if self._is_finished:
            return
        self.cancel()
        self._engines[0].cancel(self._attempt.attempt_id)
        is_member = helper.spec.name in self._attempt.dispatch.upstreams
        fault = AttemptFault.OVERLOADED if is_member else AttemptFault.HELPER
        self._attempt.vm.fail_attempt(
            self._attempt, fault, may_have_run=False, upstream=helper.spec.name
        )

    def _build_part(self, work_id: str, engine: PassEngine) -> PassWork:
        n_prompt_tokens = self._attempt.call.n_prompt_tokens
        n_parts = len(self._engines)
        return PassWork(
            work_id,
            n_prefill_tokens=math.ceil(n_prompt_tokens / n_parts),
            prefill_ms=engine.figures.prefill_ms(n_prompt_tokens, n_parts=n_parts),
            n_events=0,
            priority=self._attempt.dispatch.rank,
        )

    def _build_own_part(self) -> PassWork:
        """:returns: the part of the engine that answers

        Its decode steps cost as much as the context of the largest part, since the
        other engines process theirs at the same time. It holds the KV cache that is not
        reserved elsewhere.
        """
        call = self._attempt.call
        answering_engine = self._engines[0]
        part = self._build_part(self._attempt.attempt_id, answering_engine)
        n_kv_tokens = call.n_prompt_tokens + call.n_answer_tokens
        return PassWork(
            part.work_id,
            n_prefill_tokens=part.n_prefill_tokens,
            prefill_ms=part.prefill_ms,
            n_events=answering_engine.n_remaining_events(self._attempt),
            n_context_tokens=part.n_prefill_tokens,
            n_kv_tokens=max(0, n_kv_tokens - self._n_reserved_tokens),
            priority=part.priority,
            is_spread=True,
        )

    def _part_id(self, index: int) -> str:
        return f"{self._attempt.attempt_id}.part{index}"


__all__ = ("STALL_MS", "SplitPrefill")
