"""Builds the chunks that a stand-in engine streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.engine_model import Sequence
    from quetzaldeck.upstreams.wire import ChunkBody


def build_chunk(
    sequence: Sequence, text: str, *, offset: int, n_output_tokens: int, is_last: bool
) -> ChunkBody:
    """:returns: the body of a chunk with one token

    :param offset: number of characters of the answer before this chunk
    :param n_output_tokens: number of tokens of the answer up to and with this chunk
    """
    return {
        "id": sequence.sequence_id,
        "choices": [
            {
                "index": 0,
                "text": text,
                "finish_reason": "length" if is_last else None,
            }
        ],
        "offset": offset,
        "n_output_tokens": n_output_tokens,
        "n_prompt_tokens": sequence.n_context_tokens + sequence.n_prompt_tokens,
    }


__all__ = ("build_chunk",)
