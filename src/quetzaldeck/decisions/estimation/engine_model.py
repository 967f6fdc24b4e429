"""What an engine's stated figures say about the time to a first token.

An engine works in passes. While it writes, a pass is ``stride`` steps, in which it
reads up to ``chunk_tokens`` in each; new work joins at the end of a pass. So a prompt
waits for the rest of the present pass, about half of one, and its first token comes at
the end of the pass in which the last of it was read. An engine that writes nothing
reads at once.

See ``docs/design/platform-measured.md``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.bundle.engine_figures import EngineFigures

JOIN_PASSES = 0.5
"""Part of a pass that new work waits for on average."""


def predict_first_token_ms(
    figures: EngineFigures, n_writers: int, unread_ms: float
) -> float:
    """:returns: expected time from a dispatch to the first token, in milliseconds

    :param n_writers: other requests that are written at the engine
    :param unread_ms: reading time of all prompts there, the new one included
    """
    step_ms = figures.step_ms + (n_writers + 1) * figures.sequence_ms
    if not n_writers:
        return unread_ms + step_ms
    pass_ms = figures.stride * step_ms
    return JOIN_PASSES * pass_ms + unread_ms + pass_ms


__all__ = ("JOIN_PASSES", "predict_first_token_ms")
