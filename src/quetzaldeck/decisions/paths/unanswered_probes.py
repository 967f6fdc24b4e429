"""Probes that were not answered, compared with the answers that other VMs had."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Set


class UnansweredProbes:
    """Records from when on answers to other VMs show that a path is at fault.

    An upstream that answered another VM before it was probed may have ended since. So
    each counts from its own first probe; those that are not probed yet count from the
    first probe of any, unless they are new.
    """

    def __init__(self) -> None:
        self._first_ms: float | None = None
        self._begun_ms: dict[str, float] = {}
        self._unreached: set[str] = set()

    @property
    def first_ms(self) -> float | None:
        """:returns: when the first of the probes began; ``None`` if there are none"""
        return self._first_ms

    def last_ms(self, default: float) -> float:
        """:returns: from when on the last of the upstreams counts, or the default"""
        return max(self._begun_ms.values(), default=default)

    def add(self, begun_ms: Mapping[str, float], upstreams: Set[str]) -> None:
        """Record a round of probes.

        :param begun_ms: when each probe that was not answered began
        :param upstreams: all upstreams of the service
        """
        if not begun_ms:
            return
        if self._first_ms is None:
            self._first_ms = min(begun_ms.values())
            self._begun_ms = dict.fromkeys(upstreams, self._first_ms)
        for name, time_ms in begun_ms.items():
            if name in upstreams and name not in self._unreached:
                self._unreached.add(name)
                self._begun_ms[name] = time_ms

    def find_later(
        self, answered_ms: Mapping[str, float], lag_ms: float
    ) -> Iterable[float]:
        """:returns: times of answers to other VMs that the probes should have had

        :param lag_ms: how much later than the probe such an answer was received
        """
        for name, begun_ms in self._begun_ms.items():
            last_ms = answered_ms.get(name, -math.inf)
            if last_ms >= begun_ms + lag_ms:
                yield last_ms

    def discard(self, upstream: str) -> None:
        """Forget the probes of an upstream that has sent something."""
        self._unreached.discard(upstream)
        self._begun_ms.pop(upstream, None)

    def keep(self, upstreams: Set[str]) -> None:
        """Forget the probes of all upstreams but these."""
        self._unreached &= upstreams
        for name in self._begun_ms.keys() - upstreams:
            del self._begun_ms[name]

    def clear(self) -> None:
        """Forget all probes, as one was answered."""
        self._first_ms = None
        self._begun_ms.clear()
        self._unreached.clear()


__all__ = ("UnansweredProbes",)
