"""Which replicas changed after a revision, for VMs that ask this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.belief.changes import ReplicaRead, ReplicaRemoved, UndecodableEntry

if TYPE_CHECKING:
    from quetzaldeck.belief.changes import SourceAnswer

MAX_ENTRIES = 2_048
"""Replicas whose last change is remembered: more than twice those of the largest
deployment planned. A VM that has missed more is told everything."""


class ChangeLog:
    """Remembers the last change of each replica, not what changed.

    Load pattern: a release replaces replicas one after the other while most VMs learn
    of it from a few. Told everything at each change, 50 VMs of a zone would read some
    hundred kilobytes for one replica; told what changed after the revision that they
    know, they read one entry.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._revisions: dict[str, int] = {}
        self._first_revision: int | None = None

    def note(self, reading: SourceAnswer) -> None:
        """Take what was read; a complete reading says nothing of what came before."""
        if reading.is_complete:
            self._revisions.clear()
            self._first_revision = reading.revision
            return
        for change in reading.changes:
            match change:
                case ReplicaRead():
                    replica_id = change.replica.replica_id
                case ReplicaRemoved():
                    replica_id = change.replica_id
                case UndecodableEntry(replica_id=str(replica_id)):
                    pass
                case _:
                    continue
            self._revisions.pop(replica_id, None)
            self._revisions[replica_id] = reading.revision
        while len(self._revisions) > self._max_entries:
            oldest = next(iter(self._revisions))
            self._first_revision = self._revisions.pop(oldest)

    def list_changed(self, revision: int) -> tuple[str, ...] | None:
        """:returns: replicas that changed after ``revision``

        ``None``: it is too long ago, and everything has to be told.
        """
        if self._first_revision is None or revision < self._first_revision:
            return None
        return tuple(
            replica_id
            for replica_id, changed in self._revisions.items()
            if changed > revision
        )


__all__ = ("MAX_ENTRIES", "ChangeLog")
