"""Which replicas changed after a revision."""

from __future__ import annotations

from quetzaldeck.belief import ChangeLog, ReplicaRead, ReplicaRemoved, SourceAnswer
from quetzaldeck.routing import Replica


def read(revision: int, *replica_ids: str, is_complete: bool = False) -> SourceAnswer:
    replicas = (
        Replica(name, "plans", f"{name}:1", "a", False, 8)  # noqa: FBT003
        for name in replica_ids
    )
    changes = tuple(ReplicaRead(replica) for replica in replicas)
    return SourceAnswer(revision, changes, is_complete=is_complete)


def test_nothing_is_known_before_everything_was_read() -> None:
    log = ChangeLog()
    log.note(read(5, "r1"))
    assert log.list_changed(4) is None


def test_changes_after_a_revision_are_listed_once_each() -> None:
    log = ChangeLog()
    log.note(read(5, "r1", "r2", is_complete=True))
    log.note(read(7, "r1"))
    log.note(SourceAnswer(9, (ReplicaRemoved("r2"),)))
    log.note(read(11, "r1"))
    assert log.list_changed(4) is None, "before all was read anything may have changed"
    assert log.list_changed(5) == ("r2", "r1")
    assert log.list_changed(9) == ("r1",)
    assert log.list_changed(11) == ()


def test_who_has_missed_too_much_is_told_everything() -> None:
    log = ChangeLog(max_entries=2)
    log.note(read(1, is_complete=True))
    for revision in range(2, 6):
        log.note(read(revision, f"r{revision}"))
    assert log.list_changed(2) is None
    assert log.list_changed(3) == ("r4", "r5")


def test_reading_everything_again_ends_what_was_remembered() -> None:
    log = ChangeLog()
    log.note(read(1, is_complete=True))
    log.note(read(4, "r1"))
    log.note(read(9, "r1", is_complete=True))
    assert log.list_changed(4) is None
    assert log.list_changed(9) == ()
