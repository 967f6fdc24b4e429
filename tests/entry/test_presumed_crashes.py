"""A replica does not answer checks; its entry shows later whether it lives."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import pytest

from quetzaldeck.belief import (
    BeliefBounds,
    FleetBelief,
    ReplicaRead,
    ReplicaRemoved,
    SourceAnswer,
)
from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions.poison import Liveness, PresumedCrash
from quetzaldeck.entry.presumed_crashes import PresumedCrashes
from quetzaldeck.routing import Replica

if TYPE_CHECKING:
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.gateway.messages import ObserveCheck

EXPIRY_MS = 5_000.0
CRASHED_MS = 1_000.0
REPLICA = Replica("r0", "desk", "10.0.0.1:80", "a", is_leaving=False, n_slots=6)


class Setting:
    """One presumed crash, and the entries of a VM's fleet state."""

    def __init__(self, replica: Replica = REPLICA) -> None:
        self.clock = ManualClock(CRASHED_MS)
        self.belief = FleetBelief(BeliefBounds())
        self.crash = PresumedCrash("r0", replica.incarnation, CRASHED_MS)
        self.sent: list[ObserveCheck] = []
        dispatch = SimpleNamespace(
            list_presumed=lambda: [self.crash], send=self.sent.append
        )
        self.presumed = PresumedCrashes(
            self.clock,
            self.belief,
            cast("DispatchTask", dispatch),
            expiry_ms=EXPIRY_MS,
        )
        self.read(ReplicaRead(replica))

    def read(self, *changes: ReplicaRead | ReplicaRemoved) -> None:
        """Apply an answer of the store that has just arrived."""
        now_ms = self.clock.uptime_ms()
        answer = SourceAnswer(self.belief.revision + 1, changes)
        self.belief.apply(answer, asked_ms=now_ms, now_ms=now_ms)

    def resolve_after(self, wait_ms: float) -> list[Liveness]:
        """:returns: what is reported some time after the crash"""
        self.clock.advance(wait_ms)
        self.read()
        self.presumed.resolve()
        return [message.liveness for message in self.sent]


def test_entry_that_does_not_expire_shows_that_the_replica_lives() -> None:
    """A VM is cut off from replicas; requests must not count as their crashes."""
    setting = Setting()
    assert setting.resolve_after(EXPIRY_MS - 1.0) == []
    assert setting.resolve_after(1.0) == [Liveness.ALIVE]


def test_entry_that_expires_leaves_the_crash_presumed() -> None:
    """Guards against a replica that is lost, and taken for one that lives."""
    setting = Setting()
    setting.read(ReplicaRemoved("r0"))
    assert setting.resolve_after(10 * EXPIRY_MS) == []


def test_replica_that_registers_again_was_cut_off() -> None:
    """A replica was cut off from the store, too, and lives on."""
    setting = Setting()
    setting.read(ReplicaRemoved("r0"))
    assert setting.resolve_after(EXPIRY_MS) == []
    setting.read(ReplicaRead(REPLICA))
    assert setting.resolve_after(1.0) == [Liveness.ALIVE]


def test_other_incarnation_under_the_id_proves_the_crash() -> None:
    setting = Setting(REPLICA._replace(started_ms=5))
    setting.read(ReplicaRead(REPLICA._replace(started_ms=6)))
    assert setting.resolve_after(1.0) == [Liveness.ENDED]


def test_replica_that_leaves_has_not_crashed() -> None:
    setting = Setting()
    setting.read(ReplicaRead(REPLICA._replace(is_leaving=True)))
    assert setting.resolve_after(1.0) == [Liveness.ALIVE]


@pytest.mark.parametrize("store", ["cut_off", "returns_just_now"])
def test_entry_proves_nothing_while_the_store_is_away(store: str) -> None:
    """The entries of replicas that have ended stay as they were, as nobody reads."""
    setting = Setting()
    setting.clock.advance(2 * EXPIRY_MS)
    if store == "returns_just_now":
        setting.belief.note_trouble(setting.clock.uptime_ms())
        setting.read()
    setting.presumed.resolve()
    assert setting.sent == []
