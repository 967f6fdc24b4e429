"""A VM's fleet state: its local, possibly outdated copy of the state of the fleet.

The fleet state, called belief in names, covers the routing configuration and the
replicas. It comes from a source that the VM can only read, either directly or through
another VM.
"""

from __future__ import annotations

from quetzaldeck.belief.api import BeliefSource, HistoryDroppedError, SourceError
from quetzaldeck.belief.belief_event import BeliefEvent
from quetzaldeck.belief.bounds import BeliefBounds
from quetzaldeck.belief.change_log import ChangeLog
from quetzaldeck.belief.changes import (
    Change,
    ConfigurationRead,
    ReplicaRead,
    ReplicaRemoved,
    SourceAnswer,
    UndecodableEntry,
    ZoneEvacuated,
    ZoneRestored,
)
from quetzaldeck.belief.fleet_belief import FleetBelief
from quetzaldeck.belief.sharing_bounds import SharingBounds
from quetzaldeck.belief.source_selector import SourceSelector

__all__ = (
    "BeliefBounds",
    "BeliefEvent",
    "BeliefSource",
    "Change",
    "ChangeLog",
    "ConfigurationRead",
    "FleetBelief",
    "HistoryDroppedError",
    "ReplicaRead",
    "ReplicaRemoved",
    "SharingBounds",
    "SourceAnswer",
    "SourceError",
    "SourceSelector",
    "UndecodableEntry",
    "ZoneEvacuated",
    "ZoneRestored",
)
