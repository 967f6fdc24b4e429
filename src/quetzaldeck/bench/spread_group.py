"""A prompt that several engines hold in memory set aside, and read in parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.bench.bench_group import BenchGroup

if TYPE_CHECKING:
    from quetzaldeck.bench.model_engine import ModelEngine


class SpreadGroup(BenchGroup):
    """Does for one attempt what an entry VM does with memory on engines."""

    def _run(self) -> None:
        if self._is_over:
            return
        engine: ModelEngine = self._engines[-1]
        engine.arrive(self._attempt)


__all__ = ("SpreadGroup",)
