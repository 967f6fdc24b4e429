"""Replicas whose entries disappeared while the source was in trouble.

Load pattern: the source is down for longer than entries live without a heartbeat, and
comes back under full load. Without this module the first reading after the outage
lists hardly any replica, and a machine that believes it refuses everything for the
two seconds in which the entries come back, though all replicas are well.

An entry that disappears while nothing else is wrong is believed gone at once. After
trouble it is given the time in which living replicas return, cut to less than the
time after which a leaving replica may get no more work: the entry may as well be
missing because its replica left.

That time runs from the last confirmation, not from the news: a VM that learns late,
for the one that it asks had lost the source, would otherwise add its own delay to the
bound.
After an outage longer than the bound nothing can be kept of it, and the time runs from
the news.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.belief.bounds import BeliefBounds


class _Lapse(NamedTuple):
    """An entry that disappeared.

    :param until_ms: uptime until which its replica is still believed in
    """

    until_ms: float


class Lapses:
    """Decides how long a replica outlives its entry.

    :param bounds: figures
    """

    def __init__(self, bounds: BeliefBounds) -> None:
        self._bounds = bounds
        self._lapses: dict[str, _Lapse] = {}
        self._trouble_ms = float("-inf")

    def __len__(self) -> int:
        return len(self._lapses)

    def __contains__(self, replica_id: str) -> bool:
        return replica_id in self._lapses

    def set_bounds(self, bounds: BeliefBounds) -> None:
        """Take other figures, for what disappears from now on."""
        self._bounds = bounds

    def note_trouble(self, now_ms: float) -> None:
        """Note that the source does not answer as it should."""
        self._trouble_ms = max(self._trouble_ms, now_ms)

    def trouble_age_ms(self, now_ms: float) -> float | None:
        """:returns: time since the last trouble; ``None``: there was none"""
        age_ms = now_ms - self._trouble_ms
        return age_ms if math.isfinite(age_ms) else None

    def note_removed(
        self, replica_id: str, now_ms: float, *, confirmed_ms: float
    ) -> bool:
        """Take the disappearance of an entry.

        :param confirmed_ms: uptime at which the entry was still there
        :returns: whether its replica is still believed in
        """
        if replica_id in self._lapses:
            return True
        if now_ms - self._trouble_ms > self._bounds.reregistration_ms:
            return False
        is_outage = now_ms - confirmed_ms > self._bounds.leaving_ms
        since_ms = now_ms if is_outage else confirmed_ms
        until_ms = since_ms + self._bounds.max_lapse_ms
        if until_ms <= now_ms:
            return False
        self._lapses[replica_id] = _Lapse(until_ms)
        return True

    def note_returned(self, replica_id: str) -> bool:
        """:returns: whether the entry of a replica that is back had disappeared"""
        return self._lapses.pop(replica_id, None) is not None

    def pop_ended(self, now_ms: float) -> Iterator[str]:
        """:returns: replicas that did not come back in time; each is told once"""
        ended = [
            replica_id
            for replica_id, lapse in self._lapses.items()
            if now_ms >= lapse.until_ms
        ]
        for replica_id in ended:
            del self._lapses[replica_id]
            yield replica_id


__all__ = ("Lapses",)
