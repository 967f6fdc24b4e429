"""A prompt that several engines read in even parts, and one of them answers."""

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
"""Time for which work that needs a dead engine stands still before it is given up."""


class SpreadRead:
    """The parts of one prompt.

    :param engines: those that read a part; the first answers
    :param latency_ms: one way between two engines
    :param n_reserved_tokens: memory for the prompt that is set aside on engines
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
        """Give each engine its part; called when the request has reached the first."""
        busy = [helper for helper in self._engines[1:] if not helper.may_help]
        if busy:
            self._give_up(busy[0])
            return
        self._engines[0].read_part(self, self._build_own_part())
        for index, helper in enumerate(self._engines[1:], start=1):
            part = self._build_part(self._part_id(index), helper)
            self._events.after(self._latency_ms, partial(self._hand_over, helper, part))

    def note_read(self) -> None:
        """Count a part that is read; the first event follows the last one."""
        self._n_unread -= 1
        if not self._n_unread and not self._is_over:
            self._is_over = True
            self._engines[0].answer_spread(self._attempt)

    def note_broken(self, engine: PassEngine) -> None:
        """Take the loss of an engine, which shows after a while."""
        if not self._is_over and engine is not self._engines[0]:
            self._events.after(STALL_MS, lambda: self._give_up(engine))

    def drop(self) -> None:
        """Leave the parts unread: nobody waits for the answer any more."""
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
        """Answer that the request has not run, and which helper is to blame."""
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
            n_prefill_tokens=math.ceil(n_prompt_tokens / n_parts),
            prefill_ms=engine.figures.prefill_ms(n_prompt_tokens, n_parts=n_parts),
            n_events=0,
            priority=self._attempt.dispatch.rank,
        )

    def _build_own_part(self) -> PassWork:
        """:returns: the part of the engine that answers

        Each of its steps looks at the context of the largest part, for the others look
        at theirs meanwhile. What is not set aside elsewhere it holds itself.
        """
        call = self._attempt.call
        first = self._engines[0]
        part = self._build_part(self._attempt.attempt_id, first)
        n_kv_tokens = call.n_prompt_tokens + call.n_answer_tokens
        return PassWork(
            part.work_id,
            n_prefill_tokens=part.n_prefill_tokens,
            prefill_ms=part.prefill_ms,
            n_events=first.n_events(self._attempt),
            n_context_tokens=part.n_prefill_tokens,
            n_kv_tokens=max(0, n_kv_tokens - self._n_reserved_tokens),
            priority=part.priority,
            is_spread=True,
        )

    def _part_id(self, index: int) -> str:
        return f"{self._attempt.attempt_id}.part{index}"


__all__ = ("STALL_MS", "SpreadRead")
