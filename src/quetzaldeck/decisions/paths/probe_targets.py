"""Which upstreams of a service are probed next."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping


class ProbeTargets:
    """Chooses the upstreams whose answers best show whether a path works."""

    def __init__(self) -> None:
        self._zones: Mapping[str, str] = {}
        self._probed_ms: dict[str, float] = {}

    @property
    def zones(self) -> Mapping[str, str]:
        """:returns: availability zone of each upstream that gets new work"""
        return self._zones

    def set_upstreams(self, zones: Mapping[str, str]) -> None:
        """Set the upstreams to choose from.

        :param zones: availability zone of each upstream
        """
        self._zones = zones
        for name in self._probed_ms.keys() - zones.keys():
            del self._probed_ms[name]

    def probed_ms(self, name: str, default_ms: float) -> float:
        """:returns: when an upstream was last probed, or the default"""
        return self._probed_ms.get(name, default_ms)

    def choose(
        self,
        n_probes: int,
        failed: Collection[str],
        answered_ms: Mapping[str, float],
        now_ms: float,
    ) -> tuple[str, ...]:
        """Choose upstreams to probe now.

        :param failed: upstreams that are probed after all others
        :param answered_ms: when the other VMs last had answers of the upstreams
        :returns: at most ``n_probes`` upstreams
        """
        chosen = self._rank(failed, answered_ms)[:n_probes]
        self._probed_ms.update(dict.fromkeys(chosen, now_ms))
        return tuple(chosen)

    def _rank(
        self, failed: Collection[str], answered_ms: Mapping[str, float]
    ) -> list[str]:
        """:returns: the upstreams in the order in which they are probed

        The zones take turns, so that the loss of one is not mistaken for that of all.
        """

        def rank(name: str) -> tuple[bool, float, float]:
            probed_ms = self._probed_ms.get(name, -math.inf)
            return name in failed, probed_ms, -answered_ms.get(name, -1.0)

        by_zone: dict[str, list[str]] = {}
        for name in sorted(self._zones, key=rank):
            by_zone.setdefault(self._zones[name], []).append(name)
        turns = [
            (turn, rank(name), name)
            for names in by_zone.values()
            for turn, name in enumerate(names)
        ]
        return [name for _, _, name in sorted(turns)]


__all__ = ("ProbeTargets",)
