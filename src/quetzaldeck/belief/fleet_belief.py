"""What one VM believes about the configuration and the replicas, and how old that is.

Load pattern: configurations in quick succession, replicas that leave and crash, a
source that is down, slow, cut off from some machines or has dropped its history, and
a VM that stands still and goes on with what it last believed. Without one place that
knows versions and ages, a machine goes back to an older configuration, sends work to
replicas that left, or lets a key in that was taken away long ago.

- The configuration only moves forward: versions are compared, not times of arrival.
- Each reading has an age, counted by a clock that does not stand still when the VM
  does. Keys are believed while that age is under the bound.
- A replica whose entry disappears is gone, but see :mod:`quetzaldeck.belief.lapses`.
- An entry that cannot be understood names no replica: whoever wrote it, a request that
  is sent there may reach something else. The one that had the entry is gone, without
  the patience for lapses, since its entry did not lapse. Other entries hold.
- A replica may start again under its id. What its former start wrote late is ignored:
  that one may have said that it leaves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.belief.belief_event import BeliefEvent
from quetzaldeck.belief.changes import (
    ConfigurationRead,
    ReplicaRead,
    ReplicaRemoved,
    UndecodableEntry,
)
from quetzaldeck.belief.lapses import Lapses

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzaldeck.belief.bounds import BeliefBounds
    from quetzaldeck.belief.changes import Change, SourceAnswer
    from quetzaldeck.routing import Replica, RoutingConfiguration


class FleetBelief:
    """The configuration in force and the replicas, with the age of both.

    :param bounds: figures
    """

    def __init__(self, bounds: BeliefBounds) -> None:
        self._bounds = bounds
        self._lapses = Lapses(bounds)
        self._configuration: RoutingConfiguration | None = None
        self._replicas: dict[str, Replica] = {}
        self._revision = 0
        self._confirmed_ms = float("-inf")

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """:returns: the configuration in force; ``None`` before the first"""
        return self._configuration

    @property
    def replicas(self) -> Mapping[str, Replica]:
        """:returns: replicas by id, leaving ones included"""
        return self._replicas

    @property
    def revision(self) -> int:
        """:returns: the source's counter of changes at the last reading"""
        return self._revision

    @property
    def n_lapsed(self) -> int:
        """:returns: replicas that are believed in though their entries disappeared"""
        return len(self._lapses)

    def list_replicas(self) -> tuple[Replica, ...]:
        """:returns: replicas that have an entry, as far as is known"""
        return tuple(
            replica
            for replica_id, replica in self._replicas.items()
            if replica_id not in self._lapses
        )

    def find_entry(self, replica_id: str) -> Replica | None:
        """:returns: a replica that has an entry, as far as is known"""
        return None if replica_id in self._lapses else self._replicas.get(replica_id)

    def trouble_age_ms(self, now_ms: float) -> float | None:
        """:returns: time since the last trouble with the source; ``None``: none yet"""
        return self._lapses.trouble_age_ms(now_ms)

    def age_ms(self, now_ms: float) -> float:
        """:returns: time since the moment that the last reading speaks of

        :param now_ms: uptime
        """
        return now_ms - self._confirmed_ms

    def has_fresh_keys(self, now_ms: float) -> bool:
        """:returns: whether a request that arrives now may be let in by its key

        A key may have been taken away since the last reading. What arrives within the
        bound was sent before the end of the time that a revocation may take.
        """
        return self.age_ms(now_ms) <= self._bounds.max_key_age_ms

    def set_bounds(self, bounds: BeliefBounds) -> None:
        """Take other figures."""
        self._bounds = bounds
        self._lapses.set_bounds(bounds)

    def note_trouble(self, now_ms: float) -> None:
        """Note that the source does not answer as it should."""
        self._lapses.note_trouble(now_ms)

    def take(
        self, reading: SourceAnswer, *, asked_ms: float, now_ms: float
    ) -> list[BeliefEvent]:
        """Take what the source answered.

        :param asked_ms: uptime at which it was asked: the answer is no older
        :returns: what was decided
        """
        if reading.trouble_age_ms is not None:
            self._lapses.note_trouble(now_ms - reading.trouble_age_ms)
        notes = [self._take_change(change, now_ms) for change in reading.changes]
        if reading.is_complete:
            notes.extend(self._remove_absent(reading, now_ms))
        self._revision = reading.revision
        # A question that was cut short was not held for as long as it asked for.
        was_held = asked_ms + reading.waited_ms <= now_ms
        confirmed_ms = asked_ms + (reading.waited_ms if was_held else 0.0)
        confirmed_ms -= reading.age_ms
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        return [note for note in notes if note is not None]

    def expire(self, now_ms: float) -> list[BeliefEvent]:
        """Give up replicas that did not come back after trouble.

        :returns: what was decided
        """
        return [
            self._drop(replica_id, "did not return")
            for replica_id in self._lapses.pop_ended(now_ms)
        ]

    def _take_change(self, change: Change, now_ms: float) -> BeliefEvent | None:
        match change:
            case ConfigurationRead():
                return self._take_configuration(change.configuration)
            case ReplicaRead():
                return self._take_replica(change.replica)
            case ReplicaRemoved():
                return self._remove(change.replica_id, now_ms)
            case UndecodableEntry():
                return self._take_undecodable(change)

    def _take_configuration(
        self, configuration: RoutingConfiguration
    ) -> BeliefEvent | None:
        held = 0 if self._configuration is None else self._configuration.version
        if configuration.version == held:
            return None
        fields = {"version": configuration.version, "held": held}
        if configuration.version < held:
            return BeliefEvent("configuration_older", fields, is_warning=True)
        self._configuration = configuration
        fields["n_routes"] = len(configuration.routes)
        return BeliefEvent("configuration_in_force", fields)

    def _take_undecodable(self, change: UndecodableEntry) -> BeliefEvent:
        fields = {"key": change.key, "error": change.error}
        if change.replica_id is not None:
            held = self._replicas.pop(change.replica_id, None)
            self._lapses.note_returned(change.replica_id)
            fields["replica_gone"] = "" if held is None else change.replica_id
        return BeliefEvent("entry_undecodable", fields, is_warning=True)

    def _take_replica(self, replica: Replica) -> BeliefEvent | None:
        held = self._replicas.get(replica.replica_id)
        if held is not None and _is_older(replica, held):
            fields = {
                "replica": replica.replica_id,
                "started_ms": replica.started_ms,
                "held_ms": held.started_ms,
            }
            return BeliefEvent("replica_older", fields, is_warning=True)
        has_returned = self._lapses.note_returned(replica.replica_id)
        if held == replica and not has_returned:
            return None
        self._replicas[replica.replica_id] = replica
        fields = {
            "replica": replica.replica_id,
            "service": replica.service,
            "address": replica.address,
            "leaving": replica.is_leaving,
        }
        if held is not None and held.started_ms != replica.started_ms:
            fields["started_ms"] = replica.started_ms
            return BeliefEvent("replica_restarted", fields)
        if has_returned:
            return BeliefEvent("replica_returned", fields)
        event = "replica_added" if held is None else "replica_changed"
        return BeliefEvent(event, fields)

    def _remove(self, replica_id: str, now_ms: float) -> BeliefEvent | None:
        held = self._replicas.get(replica_id)
        if held is None:
            return None
        has_lapsed = not held.is_leaving and self._lapses.note_removed(
            replica_id, now_ms, confirmed_ms=self._confirmed_ms
        )
        if has_lapsed:
            fields = {"replica": replica_id, "n_lapsed": len(self._lapses)}
            return BeliefEvent("replica_lapsed", fields)
        return self._drop(replica_id, "entry removed")

    def _remove_absent(
        self, reading: SourceAnswer, now_ms: float
    ) -> list[BeliefEvent | None]:
        present = {
            change.replica.replica_id
            for change in reading.changes
            if isinstance(change, ReplicaRead)
        }
        return [
            self._remove(replica_id, now_ms)
            for replica_id in tuple(self._replicas)
            if replica_id not in present
        ]

    def _drop(self, replica_id: str, why: str) -> BeliefEvent:
        replica = self._replicas.pop(replica_id, None)
        service = "" if replica is None else replica.service
        fields = {"replica": replica_id, "service": service, "why": why}
        return BeliefEvent("replica_gone", fields)


def _is_older(replica: Replica, held: Replica) -> bool:
    """:returns: whether an entry is of an earlier start than the one held"""
    return 0 < replica.started_ms < held.started_ms


__all__ = ("FleetBelief",)
