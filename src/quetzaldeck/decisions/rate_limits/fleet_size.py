"""The largest number of VMs that one VM has known recently."""

from __future__ import annotations

MEMORY_MS = 600_000.0
"""Time for which VMs that are gone still count. A part of a partitioned fleet cannot
tell them from VMs that go on working; partitions end within minutes."""


class FleetSize:
    """Keeps the largest number of the last ``MEMORY_MS``, or of half of it at least."""

    def __init__(self) -> None:
        self._begun_ms = float("-inf")
        self._current = 0
        self._previous = 0

    def note(self, n_vms: int, now_ms: float) -> None:
        """Record the number of VMs known now, this one included."""
        half_ms = MEMORY_MS / 2
        if now_ms - self._begun_ms >= half_ms:
            is_recent = now_ms - self._begun_ms < MEMORY_MS
            self._previous = self._current if is_recent else 0
            self._current = 0
            self._begun_ms = now_ms
        self._current = max(self._current, n_vms)

    def find_largest(self, n_vms: int, now_ms: float) -> int:
        """:returns: the largest number recently, at least ``n_vms``, the one now"""
        self.note(n_vms, now_ms)
        return max(self._current, self._previous)


__all__ = ("FleetSize",)
