"""Among which engines a short request chooses, while many VMs place at once.

Load pattern: a hundred short requests a second at two hundred VMs. Each VM hears of
what the others placed some 50 ms later, so that several requests are placed by the same
view. If all VMs choose among the same few engines, the best of these is given three or
four requests in that time: it has no slot for the last, which says nothing until an
answer ends, and is late though most engines have room.

So the more answers are written, the more engines a request may go to: requests come as
fast as answers end. Of these it looks at a few, others for each request, so that VMs
with the same view do not all take the same best one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

N_LOOKED_AT = 3
"""Engines that one request compares."""

N_ANSWERS_PER_ENGINE = 10.0
"""Answers that are written by all engines, for each engine that may be looked at."""


MIN_KEPT_TOGETHER = 4
"""One engine in so many is looked at at most: answers are kept together, so that the
other engines are free to read long prompts."""


def choose_looked_at(
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
    n_open = max(N_LOOKED_AT, min(n_open, n_engines // MIN_KEPT_TOGETHER))
    pool = ordered[:n_open]
    drawn = sorted(pool, key=lambda state: _draw(request.request_id, state.spec.name))
    looked_at = drawn[:N_LOOKED_AT]
    return [state for state in pool if state in looked_at]


def _draw(request_id: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{request_id}\0{upstream}".encode())


__all__ = ("N_LOOKED_AT", "choose_looked_at")
