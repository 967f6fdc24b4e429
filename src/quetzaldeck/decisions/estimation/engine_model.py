"""Predicts the time to first token from an engine's configured figures.

An engine works in scheduling passes. While it decodes, a pass has ``stride`` steps, and
each step prefills up to ``chunk_tokens``; new requests join at the end of a pass. So a
prompt waits for the rest of the current pass, half a pass on average, and its first
token comes at the end of the pass that completes its prefill. An engine that decodes
nothing starts to prefill at once.

See ``docs/design/platform-measured.md``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.bundle.engine_figures import EngineFigures

MEAN_PASSES_TO_JOIN = 0.5
"""Average wait of a new request until the current pass ends, in passes."""


def predict_first_token_ms(
    figures: EngineFigures, n_decoding: int, prefill_backlog_ms: float
) -> float:
    """:returns: expected time from dispatch to the first token, in milliseconds

    :param n_decoding: other requests that the engine decodes
    :param prefill_backlog_ms: prefill time of all prompts there, including the new one
    """
    step_ms = figures.step_ms + (n_decoding + 1) * figures.sequence_ms
    if not n_decoding:
        return prefill_backlog_ms + step_ms
    pass_ms = figures.stride * step_ms
    return MEAN_PASSES_TO_JOIN * pass_ms + prefill_backlog_ms + pass_ms


__all__ = ("MEAN_PASSES_TO_JOIN", "predict_first_token_ms")
