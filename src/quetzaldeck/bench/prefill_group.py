"""A group whose members prefill a prompt one after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.bench.bench_engine import BenchEngine
from quetzaldeck.bench.bench_group import BenchGroup
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.engine_model import Sequence

if TYPE_CHECKING:
    from quetzaldeck.bench.model_engine import ModelEngine


class PrefillGroup(BenchGroup):
    """Simulates the gateway's group run for one attempt."""

    @property
    def n_context_tokens(self) -> int:
        """:returns: prompt tokens held by the members before the last"""
        return sum(self._count(index) for index in range(len(self._engines) - 1))

    def _run(self) -> None:
        self._attempt.vm.count_execution(self._attempt)
        self._prefill(0)

    def _prefill(self, index: int) -> None:
        if self._is_finished:
            return
        engine = self._engine(index)
        if engine.is_down:
            self._fail(engine, AttemptFault.CONNECT, may_have_run=True)
            return
        if index + 1 == len(self._engines):
            engine.accept(self._attempt)
            return
        part = Sequence(
            f"{self._attempt.attempt_id}.part{index}",
            n_prompt_tokens=self._count(index),
            max_output_tokens=0,
            priority=self._attempt.dispatch.request.priority,
            reservation_id=self._reservation_id,
            n_context_tokens=sum(self._count(before) for before in range(index)),
        )
        engine.prefill(part, lambda: self._send(lambda: self._prefill(index + 1)))

    def _engine(self, index: int) -> BenchEngine:
        engine: ModelEngine = self._engines[index]
        assert isinstance(engine, BenchEngine)
        return engine

    def _count(self, index: int) -> int:
        """:returns: length of a part as the engine counts tokens"""
        estimated = self._attempt.dispatch.request.n_prompt_tokens
        n_real = self._attempt.call.n_prompt_tokens
        return max(1, round(self._plan.prompt_tokens[index] * n_real / estimated))


__all__ = ("PrefillGroup",)
