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
"""Time until the loss of an engine is detected and the work that needs it fails."""


class SpreadRead:
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
        self._n_unread = len(engines)
        self._is_over = False

    def begin(self) -> None:
        """Send each engine its part; called when the request arrives at the first."""
        busy = [helper for helper in self._engines[1:] if not helper.may_help]
        if busy:
            self._give_up(busy[0])
            return
        self._engines[0].read_part(self, self._build_own_part())
        for index, helper in enumerate(self._engines[1:], start=1):
            part = self._build_part(self._part_id(index), helper)
            self._events.after(self._latency_ms, partial(self._hand_over, helper, part))

    def note_read(self) -> None:
        """Count a completed part; after the last one, decoding starts."""
        self._n_unread -= 1
        if not self._n_unread and not self._is_over:
            self._is_over = True
            self._engines[0].answer_spread(self._attempt)

    def note_broken(self, engine: PassEngine) -> None:
        """Fail the attempt ``STALL_MS`` after the loss of a helper."""
        if not self._is_over and engine is not self._engines[0]:
            self._events.after(STALL_MS, lambda: self._give_up(engine))

    def drop(self) -> None:
        """Cancel the parts of all helpers: the answer is no longer needed."""
        self._is_over = True
        for index, helper in enumerate(self._engines[1:], start=1):
            drop = partial(helper.drop_part, self._part_id(index))
            self._events.after(self._latency_ms, drop)

    def _hand_over(self, helper: PassEngine, part: PassWork) -> None:
        if self._is_over:
            return
        if helper.is_down:
            self.note_broken(helper)
        else:
            helper.read_part(self, part)

    def _give_up(self, helper: PassEngine) -> None:
        """Fail the attempt as not run and name the helper that caused the failure."""
        if self._is_over:
            return
        self.drop()
        self._engines[0].cancel(self._attempt.attempt_id)
        is_member = helper.spec.name in self._attempt.dispatch.upstreams
        fault = AttemptFault.OVERLOADED if is_member else AttemptFault.HELPER
        self._attempt.vm.fail(
            self._attempt, fault, has_reached=False, upstream=helper.spec.name
        )

    def _build_part(self, work_id: str, engine: PassEngine) -> PassWork:
        n_prompt_tokens = self._attempt.call.n_prompt_tokens
        n_parts = len(self._engines)
        return PassWork(
            work_id,
            n_read_tokens=math.ceil(n_prompt_tokens / n_parts),
            read_ms=engine.figures.read_ms(n_prompt_tokens, n_parts=n_parts),
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
        first = self._engines[0]
        part = self._build_part(self._attempt.attempt_id, first)
        n_kv_tokens = call.n_prompt_tokens + call.n_answer_tokens
        return PassWork(
            part.work_id,
            n_read_tokens=part.n_read_tokens,
            read_ms=part.read_ms,
            n_events=first.n_events(self._attempt),
            n_context_tokens=part.n_read_tokens,
            n_kv_tokens=max(0, n_kv_tokens - self._n_reserved_tokens),
            priority=part.priority,
            is_spread=True,
        )

    def _part_id(self, index: int) -> str:
        return f"{self._attempt.attempt_id}.part{index}"


__all__ = ("STALL_MS", "SpreadRead")
