"""Availability zones that the operator has evacuated.

Failure scenario: a zone is evacuated, restored and evacuated again in quick succession,
while VMs read the store and each other. A VM that loses the store and then reads the
complete state of another VM, which is behind, must not use the zone again. So the
revision of an answer decides, not the time of its arrival.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.belief.changes import ZoneEvacuated, ZoneRestored

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.belief.changes import SourceAnswer


class Evacuations:
    """Keeps the evacuated zones as of the newest revision read."""

    def __init__(self) -> None:
        self._zones: frozenset[str] = frozenset()
        self._revision = -1

    @property
    def zones(self) -> frozenset[str]:
        """:returns: the evacuated zones"""
        return self._zones

    def apply(self, answer: SourceAnswer) -> list[ZoneEvacuated | ZoneRestored]:
        """Apply the zones of an answer, unless a newer one was applied before.

        :returns: what changed, oldest first
        """
        if answer.revision < self._revision:
            return []
        self._revision = answer.revision
        changes = []
        for change in _list_changes(answer, self._zones):
            zone = change.availability_zone
            is_evacuated = isinstance(change, ZoneEvacuated)
            if is_evacuated is (zone in self._zones):
                continue
            self._zones = self._zones | {zone} if is_evacuated else self._zones - {zone}
            changes.append(change)
        return changes


def _list_changes(
    answer: SourceAnswer, held: frozenset[str]
) -> Iterator[ZoneEvacuated | ZoneRestored]:
    changes = [
        change
        for change in answer.changes
        if isinstance(change, ZoneEvacuated | ZoneRestored)
    ]
    yield from changes
    if answer.is_complete or answer.lists_zones:
        listed = {change.availability_zone for change in changes}
        yield from (ZoneRestored(zone) for zone in sorted(held - listed))


__all__ = ("Evacuations",)
