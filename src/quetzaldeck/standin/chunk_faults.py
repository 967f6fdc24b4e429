"""Faults of an answer's chunks: sent twice, delayed, swapped or foreign."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.standin.faults import EngineFaults
    from quetzaldeck.upstreams.wire import ChunkBody

FOREIGN_ID = "foreign-attempt"
FOREIGN_TEXT = "FOREIGN "


class ChunkFaults:
    """Applies the faults of an engine to the chunks of one answer."""

    def __init__(self, faults: EngineFaults) -> None:
        self._faults = faults
        self._previous: ChunkBody | None = None
        self._delayed: ChunkBody | None = None

    def apply(self, chunk: ChunkBody) -> list[ChunkBody]:
        """:returns: chunks to send when ``chunk`` is ready"""
        sent = self._swap(chunk)
        if self._faults.doubles_chunks:
            sent = [item for item in sent for _ in range(2)]
        if self._faults.sends_foreign_chunks:
            sent.insert(0, _build_foreign(chunk))
        if self._faults.delays_chunks and self._previous is not None:
            sent.append(self._previous)
        self._previous = chunk
        return sent

    def _swap(self, chunk: ChunkBody) -> list[ChunkBody]:
        if not self._faults.swaps_chunks:
            return [chunk]
        is_last = chunk["choices"][0]["finish_reason"] is not None
        if self._delayed is None and not is_last:
            self._delayed = chunk
            return []
        delayed, self._delayed = self._delayed, None
        return [chunk] if delayed is None else [chunk, delayed]


def _build_foreign(chunk: ChunkBody) -> ChunkBody:
    return {
        "id": FOREIGN_ID,
        "choices": [{"index": 0, "text": FOREIGN_TEXT, "finish_reason": None}],
        "offset": chunk["offset"],
    }


__all__ = ("FOREIGN_ID", "FOREIGN_TEXT", "ChunkFaults")
