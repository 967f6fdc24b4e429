"""Replicas whose entries lapsed, i.e. expired, while the source had trouble.

Failure scenario: the source is down for longer than entries live without a heartbeat,
and comes back under full load. Without this module the first answer after the outage
lists hardly any replica. A VM that trusted this answer would refuse every request for
the two seconds in which the replicas register again, although all of them are healthy.

If an entry disappears and the source had no trouble, its replica is removed at once.
After trouble the replica has a grace period in which running replicas register again.
The period is shorter than the time after which a leaving replica must get no more
requests, since the entry may also be missing because its replica left.

The period starts at the last confirmation, not when the VM learns that the entry is
missing. Otherwise a VM that learns this late, because the VM that it polls had lost the
source, would add its own delay to the limit. After an outage longer than the limit,
the limit cannot be met anyway, and the period starts when the VM learns that the entry
is missing.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.belief.bounds import BeliefBounds


class _Lapse(NamedTuple):
    """An entry that expired.

    :param until_ms: uptime until which its replica is still used
    """

    until_ms: float


class Lapses:
    """Decides for how long a replica is used after its entry expired.

    :param bounds: time limits
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
        """Replace the time limits, for entries that expire from now on."""
        self._bounds = bounds

    def note_trouble(self, now_ms: float) -> None:
        """Record that the source does not answer as it should."""
        self._trouble_ms = max(self._trouble_ms, now_ms)

    def trouble_age_ms(self, now_ms: float) -> float | None:
        """:returns: time since the source last had trouble; ``None``: it had none"""
        age_ms = now_ms - self._trouble_ms
        return age_ms if math.isfinite(age_ms) else None

    def note_removed(
        self, replica_id: str, now_ms: float, *, confirmed_ms: float
    ) -> bool:
        """Record that an entry disappeared.

        :param confirmed_ms: uptime at which the entry was known to exist
        :returns: whether its replica is still used
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
        """Record that a replica registered again.

        :returns: whether its entry had expired
        """
        return self._lapses.pop(replica_id, None) is not None

    def pop_ended(self, now_ms: float) -> Iterator[str]:
        """:returns: replicas that did not register again in time; each only once"""
        ended = [
            replica_id
            for replica_id, lapse in self._lapses.items()
            if now_ms >= lapse.until_ms
        ]
        for replica_id in ended:
            del self._lapses[replica_id]
            yield replica_id


__all__ = ("Lapses",)
