"""The answers of a source of the fleet state and the changes in them."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.routing import Replica, RoutingConfiguration


class ConfigurationRead(NamedTuple):
    """A configuration was read from the source."""

    configuration: RoutingConfiguration


class ReplicaRead(NamedTuple):
    """A new or changed entry of a replica was read."""

    replica: Replica


class ReplicaRemoved(NamedTuple):
    """A replica's entry no longer exists."""

    replica_id: str


class ZoneEvacuated(NamedTuple):
    """The operator wants nothing more to be sent to the replicas of a zone."""

    availability_zone: str


class ZoneRestored(NamedTuple):
    """The replicas of a zone are used again."""

    availability_zone: str


class UndecodableEntry(NamedTuple):
    """An entry cannot be decoded.

    An undecodable configuration leaves the one in force unchanged; a replica with an
    undecodable entry is removed.

    :param key: key of the entry
    :param error: what is wrong with it
    :param replica_id: the replica that the entry belongs to; ``None``: the entry is
        not a replica's
    """

    key: str
    error: str
    replica_id: str | None = None


Change = (
    ConfigurationRead
    | ReplicaRead
    | ReplicaRemoved
    | UndecodableEntry
    | ZoneEvacuated
    | ZoneRestored
)


class SourceAnswer(NamedTuple):
    """One answer of the source, or of another VM on its behalf.

    :param revision: the source's revision as of the answer
    :param changes: changes, oldest first
    :param is_complete: whether the answer lists the complete state, so that absent
        entries no longer exist
    :param waited_ms: minimum time for which the source held the request before it
        answered
    :param age_ms: age of the state when the answer was sent; 0 for the source itself
    :param trouble_age_ms: time since the answering VM last had trouble with the source;
        ``None``: it knows of none
    :param lists_zones: whether the answer lists all evacuated zones, so that the others
        are restored; a complete answer does in any case
    """

    revision: int
    changes: tuple[Change, ...]
    is_complete: bool = False
    waited_ms: float = 0.0
    age_ms: float = 0.0
    trouble_age_ms: float | None = None
    lists_zones: bool = False


__all__ = (
    "Change",
    "ConfigurationRead",
    "ReplicaRead",
    "ReplicaRemoved",
    "SourceAnswer",
    "UndecodableEntry",
    "ZoneEvacuated",
    "ZoneRestored",
)
