"""A replica: one running upstream of a service."""

from __future__ import annotations

from typing import NamedTuple


class Replica(NamedTuple):
    """One incarnation of an upstream, as it registered itself.

    :param replica_id: may stay the same across restarts
    :param address: IP address and port
    :param is_leaving: whether it has announced that it will stop
    :param n_slots: number of requests that it runs at a time
    :param cold_ms: remaining time for which it runs slowly after its start
    :param started_ms: wall-clock time of its start, which identifies the incarnation; 0
        if it is not published
    """

    replica_id: str
    service: str
    address: str
    availability_zone: str
    is_leaving: bool
    n_slots: int
    cold_ms: float = 0.0
    started_ms: int = 0

    @property
    def incarnation(self) -> str:
        """:returns: id of the incarnation of this replica; ``""`` if not published"""
        return str(self.started_ms) if self.started_ms else ""


def is_listed_leaving(replica: Replica) -> bool:
    """:returns: whether a replica's entry says that it leaves"""
    return replica.is_leaving


__all__ = ("Replica", "is_listed_leaving")
