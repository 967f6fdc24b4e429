"""Membership as seen by a single agent, in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.directory import VmEntry
from quetzaldeck.membership import (
    Membership,
    MembershipSettings,
    MemberState,
    MemberUpdate,
)

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

SETTINGS = MembershipSettings()
LIVE, SUSPECTED = MemberState.LIVE, MemberState.SUSPECTED
LEAVING, DEAD = MemberState.LEAVING, MemberState.DEAD


def make_update(
    vm: str, incarnation: str = "", state_version: int = 0, state: MemberState = LIVE
) -> MemberUpdate:
    incarnation = incarnation or f"{vm}.1"
    generation = int(incarnation.rpartition(".")[2])
    address = f"http://{vm}"
    return MemberUpdate(
        vm, incarnation, generation, state_version, state, address, "ktm-a"
    )


def make_list(*vms: str) -> tuple[VmEntry, ...]:
    return tuple(VmEntry(vm, "entry", f"http://{vm}") for vm in vms)


def make_membership(clock: ManualClock, *peers: str, vm: str = "a") -> Membership:
    membership = Membership(
        make_update(vm), clock=clock, random_state=random.Random(0), settings=SETTINGS
    )
    membership.apply_list(make_list(vm, *peers))
    for peer in peers:
        membership.merge([make_update(peer)])
        membership.note_message(peer, f"{peer}.1")
    return membership


def state_of(membership: Membership, vm: str) -> MemberState | None:
    member = membership.find(vm)
    return None if member is None else member.state


def test_a_listed_vm_is_live_only_after_its_first_message(clock: ManualClock) -> None:
    membership = make_membership(clock)
    membership.apply_list(make_list("a", "b"))
    assert state_of(membership, "b") is SUSPECTED
    membership.note_message("b", "b.1")
    assert state_of(membership, "b") is LIVE


@pytest.mark.parametrize(
    ("is_listed", "wait_ms"),
    [(False, SETTINGS.confirm_ms), (True, SETTINGS.confirm_listed_ms)],
)
def test_a_silent_vm_is_suspected_confirmed_and_forgotten(
    clock: ManualClock, *, is_listed: bool, wait_ms: int
) -> None:
    membership = make_membership(clock, "b", "c", "d")
    membership.note_probe_failure("b")
    assert state_of(membership, "b") is SUSPECTED
    if not is_listed:
        membership.apply_list(make_list("a", "c", "d"))
    clock.advance(wait_ms - 1)
    membership.tick()
    assert state_of(membership, "b") is SUSPECTED
    clock.advance(1)
    membership.tick()
    assert state_of(membership, "b") is DEAD
    membership.apply_list(make_list("a", "c", "d"))
    clock.advance(SETTINGS.forget_ms)
    membership.tick()
    assert state_of(membership, "b") is None


def test_a_vm_in_contact_stays_live_when_the_list_drops_it(clock: ManualClock) -> None:
    """Guards against the loss of live VMs when the platform's list is faulty."""
    membership = make_membership(clock, "b", "c")
    membership.apply_list(make_list("a"))
    clock.advance(SETTINGS.confirm_listed_ms)
    membership.tick()
    assert state_of(membership, "b") is LIVE


def test_a_cut_off_vm_confirms_no_peer_dead(clock: ManualClock) -> None:
    """A VM is cut off from all others for an hour, and the list names only itself.

    If it declared the whole fleet dead because of the silence, it would command
    every engine and be a majority of its own.
    """
    peers = ("b", "c", "d", "e", "f", "g")
    membership = make_membership(clock, *peers)
    for peer in peers:
        membership.note_probe_failure(peer)
    for _ in range(60):
        clock.advance(60_000)
        membership.apply_list(make_list("a"))
        membership.tick()
    assert {state_of(membership, peer) for peer in peers} == {SUSPECTED}
    assert membership.n_withheld


def test_a_silent_zone_is_dead_only_once_unlisted(clock: ManualClock) -> None:
    """Two of seven VMs fall silent together: a lost zone or a partition.

    They stay suspected for as long as the list names them, and are dead once it has
    not named them for ``confirm_listed_ms``.
    """
    peers = ("b", "c", "d", "e", "f", "g")
    membership = make_membership(clock, *peers)
    for peer in ("b", "c"):
        membership.note_probe_failure(peer)
    clock.advance(10 * SETTINGS.confirm_listed_ms)
    membership.tick()
    assert state_of(membership, "b") is SUSPECTED
    membership.apply_list(make_list("a", "d", "e", "f", "g"))
    clock.advance(SETTINGS.confirm_listed_ms)
    membership.tick()
    assert state_of(membership, "b") is DEAD
    assert state_of(membership, "d") is LIVE


def test_a_suspected_vm_refutes_the_suspicion(clock: ManualClock) -> None:
    """Agent a cannot reach b, but b receives the suspicion and refutes it."""
    a, b = make_membership(clock, "b", "c"), make_membership(clock, "a", "c", vm="b")
    a.note_probe_failure("b")
    b.merge(a.take_updates("b"))
    assert b.n_refuted == 1
    a.merge([b.own_update])
    assert state_of(a, "b") is LIVE


def test_a_suspicion_with_a_guessed_generation_is_refuted(
    clock: ManualClock,
) -> None:
    """B restarts on a host whose clock is behind; its message precedes its update.

    Agent a guesses a generation above that of b's former incarnation and then
    suspects b. The update of b itself, with a lower generation, would never outrank
    that guess: b would count as suspected until it sent a message directly to a.
    """
    a, b = make_membership(clock), make_membership(clock, "a", vm="b")
    a.merge([make_update("b", "b.90")])
    a.note_message("b", "b.1")
    a.note_probe_failure("b")
    assert state_of(a, "b") is SUSPECTED
    b.merge(a.take_updates("b"))
    a.merge([b.own_update])
    assert state_of(a, "b") is LIVE


def test_an_outdated_suspicion_is_ignored(clock: ManualClock) -> None:
    membership = make_membership(clock, "b")
    membership.merge([make_update("b", state_version=1)])
    membership.merge([make_update("b", state_version=0, state=DEAD)])
    assert state_of(membership, "b") is LIVE


def test_a_former_incarnation_does_not_replace_its_successor(
    clock: ManualClock,
) -> None:
    """A VM id is reused, then a message of the former incarnation arrives late.

    If it were accepted, the former incarnation would count as the current one, and
    whatever the new one owns on engines would count as abandoned.
    """
    membership = make_membership(clock, "b")
    membership.note_message("b", "b.2")
    membership.note_message("b", "b.1")
    membership.merge([make_update("b", "b.1", state_version=7)])
    member = membership.find("b")
    assert member is not None
    assert member.incarnation == "b.2"


def test_a_new_incarnation_with_a_slow_clock_wins(clock: ManualClock) -> None:
    """A VM restarts on a host whose clock is behind that of its former host.

    By the clock the former incarnation is the later one: peers would keep it if the
    new one did not raise its generation above it.
    """
    b = make_membership(clock, "a", vm="b")
    b.merge([make_update("b", "b.9")])
    assert b.own_update.generation == 10
    a = make_membership(clock)
    a.merge([make_update("b", "b.9")])
    a.merge([b.own_update])
    member = a.find("b")
    assert member is not None
    assert member.incarnation == "b.1"


def test_leaving_is_final_for_the_incarnation(clock: ManualClock) -> None:
    a, b = make_membership(clock, "b"), make_membership(clock, "a", vm="b")
    b.leave()
    a.merge([b.own_update])
    a.note_message("b", "b.1")
    assert state_of(a, "b") is LEAVING
    a.note_probe_failure("b")
    assert state_of(a, "b") is DEAD
    a.note_message("b", "b.1")
    assert state_of(a, "b") is LEAVING
    a.note_message("b", "b.2")
    assert state_of(a, "b") is LIVE


def test_dead_members_are_still_probed(clock: ManualClock) -> None:
    """After a partition each side takes the other for dead until it probes it."""
    membership = make_membership(clock, "b", "c", "d", "e")
    membership.note_probe_failure("b")
    clock.advance(SETTINGS.confirm_listed_ms)
    membership.tick()
    assert state_of(membership, "b") is DEAD
    probed = [membership.choose_probe() for _ in range(10)]
    assert "b" in {member.vm for member in probed if member is not None}


def test_choose_probe_returns_each_member_once_per_rotation(clock: ManualClock) -> None:
    membership = make_membership(clock, "b", "c", "d", "e")
    probed = [membership.choose_probe() for _ in range(4)]
    assert sorted(m.vm for m in probed if m is not None) == ["b", "c", "d", "e"]


def test_take_updates_is_bounded_and_reaches_all(clock: ManualClock) -> None:
    peers = [f"vm-{index}" for index in range(410)]
    membership = make_membership(clock, *peers)
    sent = set()
    for _ in range(2_000):
        updates = membership.take_updates("vm-0")
        assert len(updates) <= SETTINGS.max_updates
        sent |= {update.vm for update in updates}
    assert len(sent) == len(peers) - 1


def test_an_update_of_a_former_incarnation_does_not_replace_a_direct_message(
    clock: ManualClock,
) -> None:
    """A new agent gets a message of b, just restarted, before any update about b.

    A peer then passes on an outdated update about the former incarnation of b. If
    it were accepted, the agent would take the former incarnation for the current one
    and ignore the messages of the running one.
    """
    membership = make_membership(clock)
    membership.apply_list(make_list("a", "b"))
    membership.note_message("b", "b.12")
    membership.merge([make_update("b", "b.12")])
    membership.merge([make_update("b", "b.11")])
    member = membership.find("b")
    assert member is not None
    assert member.incarnation == "b.12"
    assert member.state is LIVE


def test_an_answer_decides_which_incarnation_is_current(clock: ManualClock) -> None:
    """An update about an incarnation that is not running was accepted.

    An unsolicited message may be late, but the answer to a request of this agent
    comes from the running incarnation, so the next probe corrects the record.
    """
    membership = make_membership(clock, "b")
    membership.merge([make_update("b", "b.2")])
    membership.note_message("b", "b.1")
    member = membership.find("b")
    assert member is not None
    assert member.incarnation == "b.2"
    membership.note_message("b", "b.1", is_answer=True)
    member = membership.find("b")
    assert member is not None
    assert member.incarnation == "b.1"
