"""Tracks what changed after a revision, for VMs that poll this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.belief.changes import (
    ReplicaRead,
    ReplicaRemoved,
    UndecodableEntry,
    ZoneEvacuated,
    ZoneRestored,
)

if TYPE_CHECKING:
    from quetzaldeck.belief.changes import SourceAnswer

MAX_ENTRIES = 2_048
"""Number of replicas whose last change is remembered: more than twice as many as in the
largest deployment planned. A VM that missed more changes gets the complete state."""


class ChangeLog:
    """Remembers the revision of each replica's last change, not its content.

    Evacuated zones are few, so one revision is remembered for all of them.

    Load pattern: a release replaces one replica after another, while most VMs learn of
    it from a few watchers. If each change were answered with the complete state, 50 VMs
    of a zone would read some hundred kilobytes for a single replica. A VM that is sent
    only the changes since its own revision reads one entry.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._revisions: dict[str, int] = {}
        self._first_revision: int | None = None
        self._zones_revision: int | None = None

    def note(self, answer: SourceAnswer) -> None:
        """Record an answer of the source; a complete one restarts the log."""
        if answer.is_complete:
            self._revisions.clear()
            self._first_revision = answer.revision
            self._zones_revision = None
            return
        if answer.lists_zones:
            self._zones_revision = answer.revision
        for change in answer.changes:
            match change:
                case ReplicaRead():
                    replica_id = change.replica.replica_id
                case ReplicaRemoved():
                    replica_id = change.replica_id
                case UndecodableEntry(replica_id=str(replica_id)):
                    pass
                case ZoneEvacuated() | ZoneRestored():
                    self._zones_revision = answer.revision
                    continue
                case _:
                    continue
            self._revisions.pop(replica_id, None)
            self._revisions[replica_id] = answer.revision
        while len(self._revisions) > self._max_entries:
            oldest = next(iter(self._revisions))
            self._first_revision = self._revisions.pop(oldest)

    def have_zones_changed(self, revision: int) -> bool:
        """:returns: whether a zone was evacuated or restored after ``revision``

        Only for revisions that the log reaches back to.
        """
        return self._zones_revision is not None and self._zones_revision > revision

    def list_changed(self, revision: int) -> tuple[str, ...] | None:
        """:returns: ids of the replicas that changed after ``revision``

        ``None`` if the log does not reach back that far, so that the complete state
        has to be sent.
        """
        if self._first_revision is None or revision < self._first_revision:
            return None
        return tuple(
            replica_id
            for replica_id, changed in self._revisions.items()
            if changed > revision
        )


__all__ = ("MAX_ENTRIES", "ChangeLog")
