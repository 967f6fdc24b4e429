"""What a source of belief tells."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.routing import Replica, RoutingConfiguration


class ConfigurationRead(NamedTuple):
    """A configuration was read."""

    configuration: RoutingConfiguration


class ReplicaRead(NamedTuple):
    """A replica's entry was read: it is new, or something of it changed."""

    replica: Replica


class ReplicaRemoved(NamedTuple):
    """A replica's entry is no longer there."""

    replica_id: str


class UndecodableEntry(NamedTuple):
    """An entry cannot be understood.

    What is known of the configuration stays; a replica with such an entry is gone.

    :param key: where it stands
    :param error: what is wrong with it
    :param replica_id: the replica whose entry it should be; ``None``: it is another
        kind of entry
    """

    key: str
    error: str
    replica_id: str | None = None


Change = ConfigurationRead | ReplicaRead | ReplicaRemoved | UndecodableEntry


class SourceAnswer(NamedTuple):
    """One answer of the source.

    :param revision: the source's counter of changes, as of the answer
    :param changes: what is different, oldest first
    :param is_complete: whether it lists everything: what is absent is gone
    :param waited_ms: how long the source held the question, at least
    :param age_ms: how old it was when it was told; 0 for the source itself
    :param trouble_age_ms: how long ago the teller last had trouble with the source;
        ``None``: not that it knows
    """

    revision: int
    changes: tuple[Change, ...]
    is_complete: bool = False
    waited_ms: float = 0.0
    age_ms: float = 0.0
    trouble_age_ms: float | None = None


__all__ = (
    "Change",
    "ConfigurationRead",
    "ReplicaRead",
    "ReplicaRemoved",
    "SourceAnswer",
    "UndecodableEntry",
)
