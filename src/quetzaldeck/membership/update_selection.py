"""Selects the member updates for one message."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from quetzaldeck.membership.record import MemberRecord
    from quetzaldeck.membership.update import MemberUpdate

SENDS_PER_DOUBLING = 3
"""How often an agent sends an update, for each doubling of the fleet size."""
RANDOM_DIVISOR = 4
"""One in this many updates of a message may be of a random member."""


def choose_updates(
    records: list[MemberRecord],
    n_members: int,
    max_updates: int,
    random_state: random.Random,
) -> list[MemberUpdate]:
    """:returns: up to ``max_updates`` updates, those sent least often first

    Each agent sends an update a number of times that grows with the logarithm of
    the fleet size: it then reaches all but a few agents in a thousand. If fewer
    updates are pending than a quarter of the bound, updates of random members fill
    the message up to it, so that lost updates arrive eventually.
    """
    max_sent = SENDS_PER_DOUBLING * math.ceil(math.log2(n_members + 1))
    pending = [record for record in records if record.n_sent < max_sent]
    pending.sort(key=lambda record: record.n_sent)
    chosen = pending[:max_updates]
    n_random = min(max_updates // RANDOM_DIVISOR, len(records)) - len(chosen)
    if n_random > 0:
        chosen.extend(random_state.sample(records, n_random))
    for record in chosen:
        record.n_sent += 1
    return [record.update for record in chosen]


__all__ = ("choose_updates",)
