"""A replica: one running upstream of a service."""

from __future__ import annotations

from typing import NamedTuple


class Replica(NamedTuple):
    """One incarnation of an upstream, as it registered itself.

    :param replica_id: may stay the same when it starts again
    :param address: IP number and port
    :param is_leaving: whether it announced that it will stop
    :param n_slots: requests that it runs at a time
    :param cold_ms: how much longer it is slow after its start
    :param started_ms: wall time of its start, which tells one start from another; 0 if
        it does not say
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
        """:returns: what differs between two starts under one id; ``""``: not told"""
        return str(self.started_ms) if self.started_ms else ""


__all__ = ("Replica",)
