"""Among which engines a short request chooses, while many VMs place at once.

Load pattern: a hundred short requests a second at two hundred VMs. Each VM hears of
what the others placed some 50 ms later, so that several requests are placed by the same
view. If all VMs choose among the same few engines, the best of these is given three or
four requests in that time: it has no slot for the last, which says nothing until an
answer ends, and is late though most engines have room.

So the more answers are written, the more engines a request may go to: requests come as
fast as answers end. Of these it compares a few, drawn for each request, so that VMs
with the same view do not all take the same best one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

N_COMPARED = 3
"""Engines that one request compares."""

N_ANSWERS_PER_ENGINE = 10.0
"""Answers that are written by all engines, for each engine that may be drawn."""


OPEN_DIVISOR = 4
"""One engine in so many may be drawn at most: answers are kept together, so that the
other engines are free to read long prompts."""


def draw_candidates(
    request: Request,
    ordered: Sequence[UpstreamState],
    *,
    n_answers: float,
    n_engines: int,
) -> list[UpstreamState]:
    """:returns: the engines that a short request compares

    :param ordered: engines with room for it, those to fill first before the others
    :param n_answers: answers that all engines write
    :param n_engines: engines that serve the model
    """
    n_open = round(n_answers / N_ANSWERS_PER_ENGINE)
    n_open = max(N_COMPARED, min(n_open, n_engines // OPEN_DIVISOR))
    pool = ordered[:n_open]
    drawn = sorted(pool, key=lambda state: _draw(request.request_id, state.spec.name))
    looked_at = drawn[:N_COMPARED]
    return [state for state in pool if state in looked_at]


def _draw(request_id: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{request_id}\0{upstream}".encode())


__all__ = ("N_COMPARED", "draw_candidates")
