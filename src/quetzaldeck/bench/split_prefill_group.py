"""A group that reserves memory for a prompt and then prefills it in parallel parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.bench.bench_group import BenchGroup

if TYPE_CHECKING:
    from quetzaldeck.bench.model_engine import ModelEngine


class SplitPrefillGroup(BenchGroup):
    """Simulates an entry VM's memory reservation for one attempt."""

    def _run(self) -> None:
        if self._is_finished:
            return
        engine: ModelEngine = self._engines[-1]
        engine.accept(self._attempt)


__all__ = ("SplitPrefillGroup",)
