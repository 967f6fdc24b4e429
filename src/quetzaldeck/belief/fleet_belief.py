"""One VM's copy of the configuration and the replicas, and its age.

Failure scenarios: configurations change in quick succession; replicas leave and crash;
the source is down, slow, unreachable from some VMs or has discarded its history; a VM
is paused and continues with what it last knew. Without one place that tracks versions
and ages, a VM would return to an older configuration, send requests to replicas that
have left, or accept an API key that was revoked long ago.

- The configuration only moves forward: its version decides, not the time of arrival.
- Each answer of the source has an age, measured by a clock that keeps running while the
  VM is paused. Keys are accepted while that age is within the limit.
- A replica whose entry disappears is removed, but see :mod:`quetzaldeck.belief.lapses`.
- An undecodable entry does not describe a replica: a request sent to the address in it
  might reach another program. The replica that had the entry is removed at once,
  without the grace period for expired entries, since its entry did not expire. Other
  entries remain valid.
- A zone is evacuated from the answer that names it until a newer one shows that its key
  is gone. An answer of another VM that is behind this one changes no zone.
- A replica may restart under the same id. Late writes of its earlier incarnation are
  ignored, as they may announce that the earlier one leaves.
- A replica that starts at the address of an earlier one replaces it at once, since the
  entry of the earlier one expires only after some heartbeats. Otherwise every request
  placed on a zone whose replicas have all restarted would be answered by another one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.belief.belief_event import BeliefEvent
from quetzaldeck.belief.changes import (
    ConfigurationRead,
    ReplicaRead,
    ReplicaRemoved,
    UndecodableEntry,
    ZoneEvacuated,
    ZoneRestored,
)
from quetzaldeck.belief.evacuations import Evacuations
from quetzaldeck.belief.lapses import Lapses

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzaldeck.belief.bounds import BeliefBounds
    from quetzaldeck.belief.changes import Change, SourceAnswer
    from quetzaldeck.routing import Replica, RoutingConfiguration


class FleetBelief:
    """The configuration in force and the replicas, with their age.

    :param bounds: time limits
    """

    def __init__(self, bounds: BeliefBounds) -> None:
        self._bounds = bounds
        self._lapses = Lapses(bounds)
        self._evacuations = Evacuations()
        self._configuration: RoutingConfiguration | None = None
        self._replicas: dict[str, Replica] = {}
        self._ids_by_address: dict[str, str] = {}
        self._revision = 0
        self._confirmed_ms = float("-inf")

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """:returns: the configuration in force; ``None`` before the first one"""
        return self._configuration

    @property
    def replicas(self) -> Mapping[str, Replica]:
        """:returns: replicas by id, including leaving ones and expired entries"""
        return self._replicas

    @property
    def revision(self) -> int:
        """:returns: the source's revision as of its last answer"""
        return self._revision

    @property
    def n_lapsed(self) -> int:
        """:returns: number of replicas still used although their entries expired"""
        return len(self._lapses)

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """:returns: availability zones whose replicas get no new work"""
        return self._evacuations.zones

    def is_evacuated(self, replica: Replica) -> bool:
        """:returns: whether a replica gets no new work, as its zone is evacuated"""
        return replica.availability_zone in self._evacuations.zones

    def list_replicas(self) -> tuple[Replica, ...]:
        """:returns: replicas that have an entry at the source, as far as is known"""
        return tuple(
            replica
            for replica_id, replica in self._replicas.items()
            if replica_id not in self._lapses
        )

    def find_entry(self, replica_id: str) -> Replica | None:
        """:returns: the replica if it has an entry at the source, as far as is known"""
        return None if replica_id in self._lapses else self._replicas.get(replica_id)

    def trouble_age_ms(self, now_ms: float) -> float | None:
        """:returns: time since the source last had trouble; ``None``: it had none"""
        return self._lapses.trouble_age_ms(now_ms)

    def age_ms(self, now_ms: float) -> float:
        """:returns: time since the state was last confirmed

        :param now_ms: uptime
        """
        return now_ms - self._confirmed_ms

    def has_fresh_keys(self, now_ms: float) -> bool:
        """:returns: whether the keys are fresh enough to admit a request now

        A key may have been revoked since the last confirmation. Within this limit the
        time allowed for a revocation to take effect has not passed yet.
        """
        return self.age_ms(now_ms) <= self._bounds.max_key_age_ms

    def set_bounds(self, bounds: BeliefBounds) -> None:
        """Replace the time limits."""
        self._bounds = bounds
        self._lapses.set_bounds(bounds)

    def note_trouble(self, now_ms: float) -> None:
        """Record that the source does not answer as it should."""
        self._lapses.note_trouble(now_ms)

    def apply(
        self, answer: SourceAnswer, *, asked_ms: float, now_ms: float
    ) -> list[BeliefEvent]:
        """Apply an answer of the source.

        :param asked_ms: uptime at which the request was sent; the answer is not older
        :returns: the resulting changes of the fleet state
        """
        if answer.trouble_age_ms is not None:
            self._lapses.note_trouble(now_ms - answer.trouble_age_ms)
        events = [self._apply_change(change, now_ms) for change in answer.changes]
        events.extend(self._apply_zones(answer))
        if answer.is_complete:
            events.extend(self._remove_absent(answer, now_ms))
        self._revision = answer.revision
        # If the request was cut short, the source did not hold it for ``waited_ms``.
        was_held = asked_ms + answer.waited_ms <= now_ms
        confirmed_ms = asked_ms + (answer.waited_ms if was_held else 0.0)
        confirmed_ms -= answer.age_ms
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        return [event for event in events if event is not None]

    def expire(self, now_ms: float) -> list[BeliefEvent]:
        """Remove replicas that did not register again after trouble with the source.

        :returns: the resulting changes of the fleet state
        """
        return [
            self._drop(replica_id, "did not return")
            for replica_id in self._lapses.pop_ended(now_ms)
        ]

    def _apply_change(self, change: Change, now_ms: float) -> BeliefEvent | None:
        match change:
            case ConfigurationRead():
                return self._apply_configuration(change.configuration)
            case ReplicaRead():
                return self._apply_replica(change.replica)
            case ReplicaRemoved():
                return self._remove(change.replica_id, now_ms)
            case UndecodableEntry():
                return self._apply_undecodable(change)
            case ZoneEvacuated() | ZoneRestored():
                # All zones of an answer are applied together.
                return None

    def _apply_zones(self, answer: SourceAnswer) -> list[BeliefEvent]:
        events: list[BeliefEvent] = []
        for change in self._evacuations.apply(answer):
            zone = change.availability_zone
            replicas = self._replicas.values()
            n_replicas = sum(r.availability_zone == zone for r in replicas)
            fields = {"zone": zone, "n_replicas": n_replicas}
            is_evacuated = isinstance(change, ZoneEvacuated)
            event = "zone_evacuated" if is_evacuated else "zone_restored"
            events.append(BeliefEvent(event, fields, is_warning=is_evacuated))
        return events

    def _apply_configuration(
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

    def _apply_undecodable(self, change: UndecodableEntry) -> BeliefEvent:
        fields = {"key": change.key, "error": change.error}
        if change.replica_id is not None:
            held = self._replicas.pop(change.replica_id, None)
            self._lapses.note_returned(change.replica_id)
            fields["replica_gone"] = "" if held is None else change.replica_id
        return BeliefEvent("entry_undecodable", fields, is_warning=True)

    def _apply_replica(self, replica: Replica) -> BeliefEvent | None:
        held = self._replicas.get(replica.replica_id)
        before = self._find_at_address(replica)
        for newer in (held, before):
            if newer is not None and _is_older(replica, newer):
                fields = {
                    "replica": replica.replica_id,
                    "started_ms": replica.started_ms,
                    "held_ms": newer.started_ms,
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
        if replica.started_ms and (before is None or _is_older(before, replica)):
            self._ids_by_address[replica.address] = replica.replica_id
        if before is not None and _is_older(before, replica):
            self._drop(before.replica_id, "replaced at its address")
            fields["replaces"] = before.replica_id
        if held is not None and held.started_ms != replica.started_ms:
            fields["started_ms"] = replica.started_ms
            return BeliefEvent("replica_restarted", fields)
        if has_returned:
            return BeliefEvent("replica_returned", fields)
        event = "replica_added" if held is None else "replica_changed"
        return BeliefEvent(event, fields)

    def _find_at_address(self, replica: Replica) -> Replica | None:
        """:returns: another replica of the service at the address, if both name a start

        Only one of the same service counts: an entry of another writer may name any
        address.
        """
        other = self._replicas.get(self._ids_by_address.get(replica.address, ""))
        if other is None or other.replica_id == replica.replica_id:
            return None
        if (other.service, other.address) != (replica.service, replica.address):
            return None
        return other

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
        self, answer: SourceAnswer, now_ms: float
    ) -> list[BeliefEvent | None]:
        present = {
            change.replica.replica_id
            for change in answer.changes
            if isinstance(change, ReplicaRead)
        }
        return [
            self._remove(replica_id, now_ms)
            for replica_id in tuple(self._replicas)
            if replica_id not in present
        ]

    def _drop(self, replica_id: str, why: str) -> BeliefEvent:
        replica = self._replicas.pop(replica_id, None)
        self._lapses.note_returned(replica_id)
        if replica is not None and (
            self._ids_by_address.get(replica.address) == replica_id
        ):
            del self._ids_by_address[replica.address]
        service = "" if replica is None else replica.service
        fields = {"replica": replica_id, "service": service, "why": why}
        return BeliefEvent("replica_gone", fields)


def _is_older(replica: Replica, held: Replica) -> bool:
    """:returns: whether an entry is of an earlier incarnation than the one held"""
    return 0 < replica.started_ms < held.started_ms


__all__ = ("FleetBelief",)
