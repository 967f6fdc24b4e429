"""What a VM believes about the fleet, from a source that it can only read."""

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
)
