"""The states of an upstream's health."""

from __future__ import annotations

from enum import StrEnum


class HealthState(StrEnum):
    """The health of an upstream, judged by this VM from its own requests there.

    ``SLOW`` and ``WARMING`` only raise the cost of a placement. ``SILENT``, ``DEAD``
    and ``CRASH_LOOPING`` eject the upstream: it gets no requests but probes.
    """

    HEALTHY = "healthy"
    WARMING = "warming"
    SLOW = "slow"
    SILENT = "silent"
    DEAD = "dead"
    CRASH_LOOPING = "crash_looping"

    @property
    def is_ejected(self) -> bool:
        """:returns: whether the upstream gets no requests except probes"""
        return self in _EJECTED


_EJECTED = frozenset((HealthState.SILENT, HealthState.DEAD, HealthState.CRASH_LOOPING))

__all__ = ("HealthState",)
