"""Evacuated zones in the fleet state of VMs that read the store or each other."""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.belief import (
    BeliefBounds,
    Change,
    ConfigurationRead,
    FleetBelief,
    ReplicaRead,
    SourceAnswer,
    ZoneEvacuated,
    ZoneRestored,
)
from quetzaldeck.clock import ManualClock
from quetzaldeck.entry.peers import BeliefFeed
from quetzaldeck.entry.peers.belief_source import BEFORE_ANY_REVISION
from quetzaldeck.entry.peers.belief_update import decode_belief_update
from quetzaldeck.platform.store import _Item, _translate
from quetzaldeck.routing import Replica, RoutingConfiguration

ZONES = ("a", "b", "c")
CONFIGURATION = ConfigurationRead(RoutingConfiguration(1, (), {}))
REPLICA = Replica("r1", "plans", "10.0.0.1:80", "a", is_leaving=False, n_slots=8)


class Vm:
    """The fleet state of a VM and its feed to others."""

    def __init__(self) -> None:
        self.belief = FleetBelief(BeliefBounds())
        self.feed = BeliefFeed(self.belief, ManualClock(0))

    def apply(self, answer: SourceAnswer) -> list[str]:
        events = self.belief.apply(answer, asked_ms=0, now_ms=0)
        self.feed.note(answer)
        return [event.event for event in events]

    def poll(self, other: Vm, *, reads_all: bool = False) -> bytes:
        """Apply another VM's update.

        :returns: the message
        """
        revision = BEFORE_ANY_REVISION if reads_all else self.belief.revision
        version = 0 if self.belief.configuration is None else 1
        update = other.feed._build(revision, version, 0.0)
        message = msgspec.json.encode(update)
        self.apply(decode_belief_update(message).translate())
        return message


def read_all(revision: int, *zones: str) -> SourceAnswer:
    changes: list[Change] = [CONFIGURATION, ReplicaRead(REPLICA)]
    changes.extend(ZoneEvacuated(zone) for zone in zones)
    return SourceAnswer(revision, tuple(changes), is_complete=True)


def test_complete_answer_restores_zones_that_it_does_not_list() -> None:
    """Guards against a zone that stays evacuated after the history was dropped."""
    vm = Vm()
    assert "zone_evacuated" in vm.apply(read_all(5, "a", "b"))
    assert vm.apply(read_all(9, "b")) == ["zone_restored"]
    assert vm.belief.evacuated_zones == {"b"}


def test_last_change_of_an_answer_wins() -> None:
    """The key is written, removed and written again before a VM reads it once."""
    vm = Vm()
    vm.apply(read_all(5))
    changes = (ZoneEvacuated("a"), ZoneRestored("a"), ZoneEvacuated("a"))
    vm.apply(SourceAnswer(8, changes))
    assert vm.belief.evacuated_zones == {"a"}
    assert vm.belief.is_evacuated(REPLICA)
    vm.apply(SourceAnswer(9, (ZoneRestored("a"),)))
    assert not vm.belief.is_evacuated(REPLICA)


def test_complete_state_of_a_vm_that_is_behind_restores_no_zone() -> None:
    """Guards against a VM that reads another one after the store dropped its history.

    The other VM has not read the evacuation yet.
    """
    vm, behind = Vm(), Vm()
    behind.apply(read_all(5))
    vm.apply(read_all(7, "a"))
    vm.poll(behind, reads_all=True)
    assert vm.belief.evacuated_zones == {"a"}
    vm.apply(SourceAnswer(8, (ZoneEvacuated("a"), ZoneRestored("a"))))
    assert not vm.belief.evacuated_zones


def test_message_is_unchanged_while_no_zone_was_evacuated() -> None:
    """Guards against a field that other versions and deployments do not expect."""
    vm, other = Vm(), Vm()
    other.apply(read_all(5))
    assert b"evacuated" not in vm.poll(other, reads_all=True)
    other.apply(SourceAnswer(6, (ReplicaRead(REPLICA._replace(n_slots=9)),)))
    assert b"evacuated" not in vm.poll(other)


def test_update_lists_zones_only_if_they_changed() -> None:
    """Guards against zones that every update repeats, or that one update omits."""
    vm, other = Vm(), Vm()
    other.apply(read_all(5))
    vm.poll(other)
    other.apply(SourceAnswer(6, (ZoneEvacuated("a"),)))
    assert b'"evacuated_zones":["a"]' in vm.poll(other)
    assert vm.belief.evacuated_zones == {"a"}
    assert b"evacuated" not in vm.poll(other)
    other.apply(SourceAnswer(7, (ZoneRestored("a"),)))
    assert b'"evacuated_zones":[]' in vm.poll(other)
    assert not vm.belief.evacuated_zones


def test_restored_zone_is_passed_on_by_a_vm_that_heard_of_it_from_another() -> None:
    """Guards against a restoration that ends at the first VM, as it has no changes."""
    first, second, third = Vm(), Vm(), Vm()
    first.apply(read_all(5, "a"))
    second.poll(first)
    third.poll(second)
    first.apply(SourceAnswer(6, (ZoneRestored("a"),)))
    waking = second.feed._changed
    second.poll(first)
    assert waking.is_set(), "VMs that poll the second one are answered at once"
    third.poll(second)
    assert not third.belief.evacuated_zones


@given(st.integers(0, 2**32), st.integers(1, 60))
def test_vms_agree_with_the_newest_revision_they_read(seed: int, n_steps: int) -> None:
    """Guards against any order of polls that loses or revives an evacuation.

    A VM whose replicas are older than its zones, after a copy of another VM that was
    behind, is not polled before it has caught up.
    """
    random_state = random.Random(seed)
    history: list[frozenset[str]] = [frozenset()]
    vms = [Vm() for _ in range(3)]
    newest = [0, 0, 0]
    for vm in vms:
        vm.apply(read_all(0))
    for _ in range(n_steps):
        index, other = random_state.sample(range(3), 2)
        step = random_state.choice(["write", "watch", "read", "poll", "poll", "copy"])
        revision = len(history) - 1
        vm = vms[index]
        if step == "write":
            history.append(history[-1] ^ {random_state.choice(ZONES)})
        elif step == "watch":
            since = vm.belief.revision
            changes = [
                ZoneEvacuated(zone) if zone in after else ZoneRestored(zone)
                for before, after in itertools.pairwise(history[since:])
                for zone in before ^ after
            ]
            vm.apply(SourceAnswer(revision, tuple(changes)))
            newest[index] = revision
        elif step == "read":
            vm.apply(read_all(revision, *history[-1]))
            newest[index] = revision
        elif vms[other].belief.revision == newest[other]:
            vm.poll(vms[other], reads_all=step == "copy")
            newest[index] = max(newest[index], vm.belief.revision)
        assert vm.belief.evacuated_zones == history[newest[index]]


@pytest.mark.parametrize("value", [b"{}", b"", b"\xff"])
def test_any_value_of_the_key_evacuates_the_zone(value: bytes) -> None:
    """Guards against an evacuation that is ignored for what the operator wrote."""
    written = _Item("op/evacuate/eu-1", value=value)
    removed = _Item("op/evacuate/eu-1", deleted=True)
    assert _translate((written, removed)) == (
        ZoneEvacuated("eu-1"),
        ZoneRestored("eu-1"),
    )
