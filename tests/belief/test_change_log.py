"""The log of replicas that changed after a revision."""

from __future__ import annotations

from quetzaldeck.belief import ChangeLog, ReplicaRead, ReplicaRemoved, SourceAnswer
from quetzaldeck.routing import Replica


def make_answer(
    revision: int, *replica_ids: str, is_complete: bool = False
) -> SourceAnswer:
    replicas = (
        Replica(name, "plans", f"{name}:1", "a", False, 8)  # noqa: FBT003
        for name in replica_ids
    )
    changes = tuple(ReplicaRead(replica) for replica in replicas)
    return SourceAnswer(revision, changes, is_complete=is_complete)


def test_log_is_empty_before_the_first_complete_answer() -> None:
    log = ChangeLog()
    log.note(make_answer(5, "r1"))
    assert log.list_changed(4) is None


def test_changes_after_a_revision_are_listed_once_each() -> None:
    log = ChangeLog()
    log.note(make_answer(5, "r1", "r2", is_complete=True))
    log.note(make_answer(7, "r1"))
    log.note(SourceAnswer(9, (ReplicaRemoved("r2"),)))
    log.note(make_answer(11, "r1"))
    assert log.list_changed(4) is None, (
        "changes before the first complete answer are unknown"
    )
    assert log.list_changed(5) == ("r2", "r1")
    assert log.list_changed(9) == ("r1",)
    assert log.list_changed(11) == ()


def test_revision_older_than_the_log_needs_the_complete_state() -> None:
    log = ChangeLog(max_entries=2)
    log.note(make_answer(1, is_complete=True))
    for revision in range(2, 6):
        log.note(make_answer(revision, f"r{revision}"))
    assert log.list_changed(2) is None
    assert log.list_changed(3) == ("r4", "r5")


def test_complete_answer_restarts_the_log() -> None:
    log = ChangeLog()
    log.note(make_answer(1, is_complete=True))
    log.note(make_answer(4, "r1"))
    log.note(make_answer(9, "r1", is_complete=True))
    assert log.list_changed(4) is None
    assert log.list_changed(9) == ()
