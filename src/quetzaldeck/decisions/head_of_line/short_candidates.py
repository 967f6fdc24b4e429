"""Candidates of a short request, chosen for many VMs that place concurrently.

Load pattern: a hundred short requests a second at two hundred VMs. Each VM learns some
50 ms late what the others placed, so that several requests are placed by the same view
of the load. If all VMs chose among the same few engines, the best of them would get
three or four requests in that time. The last of these finds no slot, waits until an
answer ends, and is late although most engines have slots.

Therefore the number of eligible engines grows with the number of running answers, since
requests arrive as fast as answers end. Each request compares a few of these, drawn by a
hash of its id, so that VMs with the same view do not all choose the same best engine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

N_COMPARED = 3
"""Engines that each request compares."""

N_ANSWERS_PER_ENGINE = 10.0
"""Running answers of all engines per eligible engine."""


ELIGIBLE_DIVISOR = 4
"""At most one engine in this many is eligible: answers are kept together, so that the
other engines are free to prefill long prompts."""


def draw_candidates(
    request: Request,
    ordered: Sequence[UpstreamState],
    *,
    n_answers: float,
    n_engines: int,
) -> list[UpstreamState]:
    """:returns: the engines that a short request compares

    :param ordered: engines with capacity for it, in the order in which to fill them
    :param n_answers: running answers of all engines
    :param n_engines: number of engines that serve the model
    """
    n_eligible = round(n_answers / N_ANSWERS_PER_ENGINE)
    n_eligible = max(N_COMPARED, min(n_eligible, n_engines // ELIGIBLE_DIVISOR))
    pool = ordered[:n_eligible]
    drawn = sorted(
        pool, key=lambda state: _draw_key(request.request_id, state.spec.name)
    )
    compared = drawn[:N_COMPARED]
    return [state for state in pool if state in compared]


def _draw_key(request_id: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{request_id}\0{upstream}".encode())


__all__ = ("N_COMPARED", "draw_candidates")
