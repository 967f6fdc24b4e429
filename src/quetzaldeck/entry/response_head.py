"""What an upstream says before the body of its answer."""

from __future__ import annotations

from typing import NamedTuple


class ReplicaLoad(NamedTuple):
    """Load that a replica adds to its answers."""

    n_running: int
    n_waiting: int
    n_slots: int


class ResponseHead(NamedTuple):
    """The head of one answer.

    :param call_id: id of the request that it answers
    :param is_sealed: whether it bears the mark of the replica that made it
    :param has_not_run: whether the replica states that it did not run the request
    :param is_other_replica: whether another incarnation answered than the one asked
    :param is_encoded: whether something on the way has changed the body's encoding
    :param load: ``None`` if the replica does not tell
    :param replica_id: who answered, if it says so
    :param faulty_address: replica that was at fault in place of the one asked
    """

    status: int
    call_id: str
    is_sealed: bool
    has_not_run: bool
    is_other_replica: bool = False
    is_encoded: bool = False
    load: ReplicaLoad | None = None
    replica_id: str = ""
    faulty_address: str = ""


__all__ = ("ReplicaLoad", "ResponseHead")
