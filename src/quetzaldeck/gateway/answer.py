"""Assembles an answer from the chunks of one or more attempts."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.upstreams import Chunk

MAX_BUFFERED_CHUNKS = 64
"""Chunks buffered while an earlier one is missing: more than a second of output."""


class DropReason(StrEnum):
    """Why a chunk added no text to the answer.

    ``OUT_OF_ORDER`` chunks are buffered until the ones before them have arrived, the
    others are discarded.
    """

    FOREIGN = "foreign"
    DUPLICATE = "doubled"
    OUT_OF_ORDER = "early"
    GAP = "gap"


class Answer:
    """Accepts chunks and returns each character of the answer exactly once.

    An engine may send a chunk twice, late, out of order, or a chunk of another
    sequence. Without the checks of attempt id and offset, the caller would receive
    duplicate text or text of another request, without any sign of an error.
    """

    def __init__(self) -> None:
        self._parts: list[str] = []
        self._offset = 0
        self._attempt_id = ""
        self._buffered: dict[int, Chunk] = {}
        self.n_output_tokens = 0
        self.n_prompt_tokens = 0
        self.finish_reason: str | None = None

    @property
    def text(self) -> str:
        """:returns: the text so far"""
        if len(self._parts) > 1:
            self._parts = ["".join(self._parts)]
        return self._parts[0] if self._parts else ""

    @property
    def offset(self) -> int:
        """:returns: length of the text so far, in characters"""
        return self._offset

    def lacks(self, chunk: Chunk) -> bool:
        """:returns: whether a chunk would add to the answer or end it"""
        is_end = self.finish_reason is None and chunk.finish_reason is not None
        return is_end or chunk.offset + len(chunk.text) > self._offset

    def continue_with(self, attempt_id: str) -> None:
        """Accept only chunks of this attempt; keep those that it has sent already."""
        if attempt_id != self._attempt_id:
            self.begin_attempt(attempt_id)

    def begin_attempt(self, attempt_id: str) -> None:
        """Accept only chunks of this attempt from now on."""
        self._attempt_id = attempt_id
        self._buffered.clear()

    def accept(self, chunk: Chunk) -> str | DropReason:
        """Add a chunk to the answer.

        :returns: the new text, or why there is none; after ``GAP`` the attempt can no
            longer complete the answer
        """
        if chunk.attempt_id != self._attempt_id:
            return DropReason.FOREIGN
        if chunk.offset > self._offset:
            return self._buffer(chunk)
        text = self._append(chunk)
        if not text and chunk.text and self.finish_reason is None:
            return DropReason.DUPLICATE
        return text + self._append_buffered()

    def _buffer(self, chunk: Chunk) -> DropReason:
        if len(self._buffered) >= MAX_BUFFERED_CHUNKS:
            return DropReason.GAP
        if chunk.offset in self._buffered:
            return DropReason.DUPLICATE
        self._buffered[chunk.offset] = chunk
        return DropReason.OUT_OF_ORDER

    def _append_buffered(self) -> str:
        texts = []
        for offset in sorted(self._buffered):
            if offset > self._offset:
                break
            texts.append(self._append(self._buffered.pop(offset)))
        return "".join(texts)

    def _append(self, chunk: Chunk) -> str:
        text = chunk.text[self._offset - chunk.offset :]
        self._parts.append(text)
        self._offset += len(text)
        self.n_output_tokens = max(self.n_output_tokens, chunk.n_output_tokens)
        self.n_prompt_tokens = max(self.n_prompt_tokens, chunk.n_prompt_tokens)
        if chunk.finish_reason is not None:
            self.finish_reason = chunk.finish_reason
        return text


__all__ = ("MAX_BUFFERED_CHUNKS", "Answer", "DropReason")
