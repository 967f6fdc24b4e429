"""What has changed of this VM's load, and which of it the others are told now.

Load pattern: 84 VMs before 54 engines, each with little more than a request a second.
What one VM tells goes to all others, so messages grow with the square of the fleet.

More work at an upstream is told at once: whoever does not know of it places more there.
So is the end of a part of a long prompt: an engine that seems to read one still is left
out by the next, which is then read by fewer. Less work of other kinds, and what came of
requests, may wait for a moment and travel with the next news, the longer the more VMs
there are to be told. An engine that seems to have a short prompt more to read for a
quarter of a second is chosen as often as before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.peer_load import VmLoad

if TYPE_CHECKING:
    from collections.abc import Iterable

IDLE = VmLoad()
"""What others believe of an upstream that they were told nothing of."""

REFRESH_INTERVAL_MS = 2_000.0
"""Interval at which unchanged loads are sent again. ``PEER_LOAD_TTL_MS`` allows
for one lost message. Most answers to short prompts end within the interval."""

N_PEERS_WITHOUT_DELAY = 8
"""Up to so many VMs are told everything at once: that costs little."""

SEND_DELAY_MS_PER_PEER = 4.0
"""Time for which less work may go untold, for each further VM that is to be told."""

MAX_SEND_DELAY_MS = 250.0
"""Longest time for that. A short prompt is read within it, and an answer takes several
times as long."""


class LoadChanges:
    """Remembers what was told."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[float, VmLoad]] = {}
        self._lazy_since_ms: float | None = None

    @property
    def has_unsent(self) -> bool:
        """:returns: whether something waits to be told"""
        return self._lazy_since_ms is not None

    def take(
        self,
        shares: Iterable[tuple[str, VmLoad]],
        now_ms: float,
        n_peers: int = 1,
    ) -> list[tuple[str, VmLoad]]:
        """Choose what is told now; what waited travels with what is urgent.

        :param n_peers: VMs that are told
        :returns: upstreams of which the others should be told, with their loads
        """
        changed, is_urgent = self._list_changed(shares, now_ms)
        if not changed:
            self._lazy_since_ms = None
            return []
        if self._lazy_since_ms is None:
            self._lazy_since_ms = now_ms
        waited_ms = now_ms - self._lazy_since_ms
        if not is_urgent and waited_ms < max_send_delay_ms(n_peers):
            return []
        self._lazy_since_ms = None
        for upstream, share in changed:
            self._told[upstream] = (now_ms, share)
        return changed

    def _list_changed(
        self, shares: Iterable[tuple[str, VmLoad]], now_ms: float
    ) -> tuple[list[tuple[str, VmLoad]], bool]:
        changed = []
        is_urgent = False
        for upstream, share in shares:
            told_ms, told = self._told.get(upstream, (now_ms, IDLE))
            is_due = share.is_repeated and now_ms - told_ms >= REFRESH_INTERVAL_MS
            if share == told and not is_due:
                continue
            changed.append((upstream, share))
            is_urgent = is_urgent or is_due or _is_urgent(share, told)
        return changed, is_urgent


def _is_urgent(share: VmLoad, told: VmLoad) -> bool:
    return share.exceeds(told) or share.n_parts < told.n_parts


def max_send_delay_ms(n_peers: int) -> float:
    """:returns: time for which less work may go untold"""
    return min(
        MAX_SEND_DELAY_MS,
        max(0, n_peers - N_PEERS_WITHOUT_DELAY) * SEND_DELAY_MS_PER_PEER,
    )


__all__ = ("REFRESH_INTERVAL_MS", "LoadChanges", "max_send_delay_ms")
