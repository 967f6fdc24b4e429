"""The fleet state as one entry VM sends it to another, in JSON over HTTP."""

from __future__ import annotations

import msgspec

from quetzaldeck.belief import (
    Change,
    ConfigurationRead,
    ReplicaRead,
    ReplicaRemoved,
    SourceAnswer,
    ZoneEvacuated,
)
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.routing import Replica, RoutingConfiguration

BELIEF_PATH = "/belief"
AFTER_FIELD = "after"
VERSION_FIELD = "version"
WAIT_FIELD = "wait_ms"


class BeliefUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """The fleet state of the peer queried, or the part that is new to the polling VM.

    :param revision: revision of the store that the peer has read
    :param age_ms: age of the peer's fleet state when it answered
    :param waited_ms: how long the peer held the long poll
    :param is_complete: whether ``replicas`` lists all replicas, not only changed ones
    :param configuration: only if it is newer than the polling VM's
    :param removed: ids of replicas that no longer have an entry
    :param trouble_age_ms: time since the peer last had trouble with the store
    :param evacuated_zones: all evacuated zones; ``None``: unchanged since the polled
        revision or, in a complete update, none
    """

    revision: int
    age_ms: float
    waited_ms: float = 0.0
    is_complete: bool = False
    configuration: RoutingConfiguration | None = None
    replicas: tuple[Replica, ...] = ()
    removed: tuple[str, ...] = ()
    trouble_age_ms: float | None = None
    evacuated_zones: tuple[str, ...] | None = None

    def translate(self) -> SourceAnswer:
        """:returns: the update in the form that all sources of the fleet state use"""
        changes: list[Change] = []
        if self.configuration is not None:
            changes.append(ConfigurationRead(self.configuration))
        changes.extend(ReplicaRead(replica) for replica in self.replicas)
        changes.extend(ReplicaRemoved(replica_id) for replica_id in self.removed)
        changes.extend(ZoneEvacuated(zone) for zone in self.evacuated_zones or ())
        return SourceAnswer(
            self.revision,
            tuple(changes),
            is_complete=self.is_complete,
            waited_ms=self.waited_ms,
            age_ms=self.age_ms,
            trouble_age_ms=self.trouble_age_ms,
            lists_zones=self.evacuated_zones is not None,
        )


_DECODER = JsonDecoder(BeliefUpdate)


def decode_belief_update(data: bytes) -> BeliefUpdate:
    """:returns: the update in a response body

    :raises msgspec.DecodeError: if it is not valid; the message names the faulty field
    """
    return _DECODER.decode(data)


__all__ = (
    "AFTER_FIELD",
    "BELIEF_PATH",
    "VERSION_FIELD",
    "WAIT_FIELD",
    "BeliefUpdate",
    "decode_belief_update",
)
