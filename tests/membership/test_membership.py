"""What one agent believes about the others, on a clock that the test moves."""

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


def make_membership(clock: ManualClock, *heard: str, vm: str = "a") -> Membership:
    membership = Membership(
        make_update(vm), clock=clock, random_state=random.Random(0), settings=SETTINGS
    )
    membership.apply_list(make_list(vm, *heard))
    for peer in heard:
        membership.merge([make_update(peer)])
        membership.note_message(peer, f"{peer}.1")
    return membership


def state_of(membership: Membership, vm: str) -> MemberState | None:
    member = membership.find(vm)
    return None if member is None else member.state


def test_a_listed_vm_is_live_only_once_heard(clock: ManualClock) -> None:
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


def test_a_list_that_drops_a_vm_in_contact_kills_nobody(clock: ManualClock) -> None:
    """The platform's list loses live VMs, by a fault of its own."""
    membership = make_membership(clock, "b", "c")
    membership.apply_list(make_list("a"))
    clock.advance(SETTINGS.confirm_listed_ms)
    membership.tick()
    assert state_of(membership, "b") is LIVE


def test_a_partition_is_not_a_mass_death(clock: ManualClock) -> None:
    """A VM is cut off from all others for an hour.

    Silence alone would make it declare the whole fleet dead and act for it:
    command every engine, count every quorum as its own.
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


def test_a_lost_zone_goes_only_with_the_list(clock: ManualClock) -> None:
    """A third of the fleet falls silent together: a lost zone or a partition.

    While the list names them they are suspected, however long; once it has not
    for the long wait they are dead.
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


def test_a_suspected_vm_takes_the_suspicion_back(clock: ManualClock) -> None:
    """B's link to a is broken; others reach b. b hears of the suspicion from them."""
    a, b = make_membership(clock, "b", "c"), make_membership(clock, "a", "c", vm="b")
    a.note_probe_failure("b")
    b.merge(a.take_updates("b"))
    assert b.n_refuted == 1
    a.merge([b.own_update])
    assert state_of(a, "b") is LIVE


def test_a_suspicion_with_a_guessed_generation_is_taken_back(
    clock: ManualClock,
) -> None:
    """B restarts on a host whose clock is behind; a hears it before any news of it.

    a guesses a generation above that of b's last start, then suspects b. b's own
    word, of a lower generation, would never outrank that: b, live, would count as
    suspected until somebody happened to speak to it.
    """
    a, b = make_membership(clock), make_membership(clock, "a", vm="b")
    a.merge([make_update("b", "b.90")])
    a.note_message("b", "b.1")
    a.note_probe_failure("b")
    assert state_of(a, "b") is SUSPECTED
    b.merge(a.take_updates("b"))
    a.merge([b.own_update])
    assert state_of(a, "b") is LIVE


def test_an_old_suspicion_does_not_come_back(clock: ManualClock) -> None:
    membership = make_membership(clock, "b")
    membership.merge([make_update("b", state_version=1)])
    membership.merge([make_update("b", state_version=0, state=DEAD)])
    assert state_of(membership, "b") is LIVE


def test_a_new_incarnation_replaces_the_old_one_for_good(clock: ManualClock) -> None:
    """A VM id is used again; then a message of the old start arrives late.

    Were it taken, readers would see the old incarnation as the current one, and
    what the new one owns would be taken for left behind.
    """
    membership = make_membership(clock, "b")
    membership.note_message("b", "b.2")
    membership.note_message("b", "b.1")
    membership.merge([make_update("b", "b.1", state_version=7)])
    member = membership.find("b")
    assert member is not None
    assert member.incarnation == "b.2"


def test_a_start_with_a_clock_that_is_behind_wins(clock: ManualClock) -> None:
    """A VM comes back on a host whose clock is behind that of the old host.

    Peers would hold on to the old start, the later one by the clock, until the
    new one raises its generation above it.
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


def test_a_healed_partition_speaks_again(clock: ManualClock) -> None:
    """Both sides hold each other for dead; without probes of the dead they stay so."""
    membership = make_membership(clock, "b", "c", "d", "e")
    membership.note_probe_failure("b")
    clock.advance(SETTINGS.confirm_listed_ms)
    membership.tick()
    assert state_of(membership, "b") is DEAD
    probed = [membership.choose_probe() for _ in range(10)]
    assert "b" in {member.vm for member in probed if member is not None}


def test_choose_probe_meets_each_once_in_a_rotation(clock: ManualClock) -> None:
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


def test_a_direct_message_before_any_news_does_not_let_the_dead_start_win(
    clock: ManualClock,
) -> None:
    """A fresh agent hears b, just restarted, before it has any news of b.

    A peer then passes on the news of b's last start, which it still believes in.
    Were it taken, the agent would hold the dead start for the current one and
    refuse the messages of the live one as those of an old start.
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


def test_an_answer_tells_which_start_is_the_current_one(clock: ManualClock) -> None:
    """News of the wrong start was taken, whatever the reason.

    A message that comes in may be late, an answer to one's own request cannot: the
    next probe puts it right.
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
