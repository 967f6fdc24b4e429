"""How long the caller of a stream listens before it has heard anything.

Load pattern: more answers are asked for than engines can begin, as when a group of
engines dies in a burst. A caller gives ten seconds for the whole answer, but hangs up
after two if no word has come.

Without it a request waits in the queue by its deadline: its caller hears nothing and
leaves, and what an engine begins then is for nobody.

Grounds: the figures are those by which the callers' clients give a stream up. A client
with another rule hears its refusal early or late, but hears one.
"""

from __future__ import annotations

MIN_IDLE_TIMEOUT_MS = 2_000.0
"""No caller hangs up sooner, however short the time in which it wants to hear."""

TIMEOUT_PER_TARGET = 4.0
"""A caller bears this many times the time in which it wants the first token."""

TIMEOUT_PER_GAP = 8.0
"""A caller bears this many times the pause that it accepts between two tokens."""

LINK_MARGIN_MS = 50.0
"""The last word to a caller leaves this long before it hangs up: several times the way
to a caller, and the time for which a busy VM is late."""


def infer_idle_timeout_ms(target_ms: float, max_gap_ms: float) -> float:
    """:returns: how long a caller listens to a stream that is silent

    :param target_ms: time to the first token that it wants; 0: none is stated
    :param max_gap_ms: pause between two tokens that it accepts; 0: none is stated
    """
    return max(
        MIN_IDLE_TIMEOUT_MS,
        TIMEOUT_PER_TARGET * target_ms,
        TIMEOUT_PER_GAP * max_gap_ms,
    )


__all__ = (
    "LINK_MARGIN_MS",
    "MIN_IDLE_TIMEOUT_MS",
    "TIMEOUT_PER_GAP",
    "TIMEOUT_PER_TARGET",
    "infer_idle_timeout_ms",
)
