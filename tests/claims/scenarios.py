"""Histories in which weaker protocols fail, as functions of the fleet class.

A scenario raises AssertionError if the fleet runs a key twice or refuses a call that it
must run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.claims.model import SETTINGS, ModelFleet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tests.claims.model import Attempt, ModelKey

    Scenario = Callable[[type[ModelFleet]], None]

NAMES = "1234567"
HOUR_MS = 3_600_000


def settle(fleet_class: type[ModelFleet], names: Iterable[str] = NAMES) -> ModelFleet:
    """:returns: a fleet whose voters agree and no longer abstain"""
    fleet = fleet_class(names)
    fleet.sync_all()
    fleet.clock.advance(SETTINGS.window_ms + 1)
    return fleet


def collect_votes(
    fleet: ModelFleet, vm: str, key: ModelKey, voters: Iterable[str]
) -> Attempt:
    """:returns: an attempt whose votes are counted and whose call has not run"""
    attempt = fleet.begin(vm, key)
    for voter in voters:
        fleet.ask(attempt, voter)
    fleet.count(attempt)
    return attempt


def shrunken_list(fleet_class: type[ModelFleet]) -> None:
    """A booking runs on VM 1; then live VMs 1 to 4 disappear from the list.

    The caller resends it to VM 5, whose list names only 5, 6 and 7. A majority of these
    three would run the booking again.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.dispatch(collect_votes(fleet, "1", key, "1234"))
    fleet.partition("1234", "567")
    fleet.sync_all(listed="567", gone="1234")
    fleet.call("5", key)
    fleet.check()


def new_vm_with_partial_list(fleet_class: type[ModelFleet]) -> None:
    """A booking runs on VM 1 with the votes of 1 to 4; then VM 8 starts.

    VM 8 knows only 5, 6, 7 and itself, and the caller resends the booking to it. Three
    votes are a majority of the VMs it knows, and none of these has stored the claim.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.dispatch(collect_votes(fleet, "1", key, "1234"))
    fleet.start("8")
    fleet.partition("1234", "5678")
    fleet.sync_all(listed="5678", gone="1234")
    fleet.call("8", key)
    fleet.check()


def minority_restarts(fleet_class: type[ModelFleet]) -> None:
    """A booking runs with the votes of 1 to 4; then 1, 2 and 3 restart.

    They keep their names and lose their claims. If they voted as before, the caller's
    resend to VM 5 would get six votes of seven.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.dispatch(collect_votes(fleet, "4", key, "1234"))
    for name in "123":
        fleet.start(name)
    fleet.partition("4", "123567")
    fleet.sync_all()
    fleet.call("5", key)
    fleet.partition(NAMES)
    fleet.sync_all()
    fleet.call("6", key)
    fleet.check()
    next_key = fleet.make_key("next booking", is_timed=False)
    assert fleet.call("1", next_key), "three restarts of seven must refuse nothing"


def majority_restarts(fleet_class: type[ModelFleet]) -> None:
    """A booking runs with the votes of 1 to 4; then all four restart at once.

    No voter has the claim any more, so votes on the key would run the booking twice. A
    key created after the restart is safe to run at once.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    timed = fleet.make_key("timed booking", is_timed=True)
    assert fleet.dispatch(collect_votes(fleet, "1", key, "1234"))
    assert fleet.dispatch(collect_votes(fleet, "1", timed, "1234"))
    for name in "1234":
        fleet.start(name)
    fleet.sync_all(n_rounds=40)
    fleet.call("5", key)
    fleet.call("5", timed)
    fleet.check()
    fleet.clock.advance(2 * SETTINGS.max_clock_skew_ms)
    assert fleet.call("5", fleet.make_key("made later", is_timed=True))
    assert not fleet.call("5", fleet.make_key("opaque", is_timed=False))
    fleet.clock.advance(SETTINGS.window_ms)
    assert fleet.call("5", fleet.make_key("after the window", is_timed=False))


def partition_with_unequal_lists(fleet_class: type[ModelFleet]) -> None:
    """VMs 1 to 3 are partitioned from 4 to 7 and read a list without 4 to 7.

    4 to 7 read the old list and continue to run bookings for hours. If 1 to 3 ever
    trusted their list, a booking resent across the partition would run twice.
    """
    fleet = settle(fleet_class)
    fleet.partition("123", "4567")
    for _ in range(4):
        for name in "123":
            fleet.begin_sync(name, listed="123", gone="4567")
            fleet.end_sync(name)
        for name in "4567":
            fleet.begin_sync(name, listed=NAMES)
            fleet.end_sync(name)
        fleet.clock.advance(HOUR_MS)
    key = fleet.make_key("booking", is_timed=True)
    assert fleet.call("4", key), "a majority must continue in a partition"
    fleet.call("1", key)
    fleet.check()


def pause_before_dispatch(fleet_class: type[ModelFleet]) -> None:
    """VM 1 wins a claim and pauses for an hour just before it dispatches.

    Its claim expires at the voters in the meantime. VM 2 receives the same key at the
    end of the resend window and pauses as well, then collects votes from voters whose
    claim has expired. Both resume and would run the booking.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    first = collect_votes(fleet, "1", key, "1234")
    fleet.clock.advance(SETTINGS.window_ms - SETTINGS.max_deadline_ms)
    second = fleet.begin("2", key)
    fleet.clock.advance(SETTINGS.max_deadline_ms + 1)
    for voter in NAMES:
        fleet.ask(second, voter)
    fleet.count(second)
    fleet.clock.advance(HOUR_MS)
    fleet.dispatch(second)
    fleet.dispatch(first)
    fleet.check()
    assert not fleet.executions, "neither may run after its permit expired"


def split_vote(fleet_class: type[ModelFleet]) -> None:
    """One VM of seven is down; 1 and 4 get three grants each for the same key.

    Neither may run it and both report that to their callers. The next resend must run,
    even if some releases were lost.
    """
    fleet = settle(fleet_class)
    fleet.stop("7")
    key = fleet.make_key("booking", is_timed=False)
    one = collect_votes(fleet, "1", key, "123")
    other = collect_votes(fleet, "4", key, "456")
    assert not fleet.dispatch(one)
    assert not fleet.dispatch(other)
    fleet.abandon(one, notified="1")
    fleet.abandon(other, notified="4")
    third = collect_votes(fleet, "5", key, "123456")
    assert not fleet.dispatch(third)
    fleet.resolve(third)
    fleet.abandon(third, notified="123456")
    assert fleet.call("6", key), "a resend after a split vote must run"
    fleet.check()


def late_votes(fleet_class: type[ModelFleet]) -> None:
    """VM 1 abandons a claim before its votes arrive and reports ``ran: no``.

    The resend runs on VM 2. Then the old votes, a majority, arrive at VM 1.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    attempt = fleet.begin("1", key)
    for voter in "1234":
        fleet.ask(attempt, voter)
    fleet.abandon(attempt, notified=NAMES)
    assert fleet.call("2", key)
    fleet.count(attempt)
    fleet.dispatch(attempt)
    fleet.check()


def resend(fleet_class: type[ModelFleet]) -> None:
    """A caller gets no answer and resends its booking to another VM."""
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.call("1", key)
    fleet.call("2", key)
    fleet.check()


def graceful_leave(fleet_class: type[ModelFleet]) -> None:
    """All seven VMs are replaced one by one while callers send bookings.

    If a voter left without handing over its claims, the others would have to wait for
    it, or would lack its claims when the old booking is resent at the end.
    """
    fleet = settle(fleet_class)
    old = fleet.make_key("old booking", is_timed=False)
    assert fleet.call("1", old)
    for index, name in enumerate(NAMES):
        new = f"new-{index}"
        fleet.start(new)
        fleet.sync_all(n_rounds=4)
        fleet.vms[name].voter.leave()
        for _ in range(4):
            key = fleet.make_key(f"booking {fleet.n_starts}", is_timed=False)
            caller = new if fleet.vms[new].voter.can_vote else NAMES[-1]
            assert fleet.call(caller, key), "a replacement must refuse nothing"
            fleet.n_starts += 1
            fleet.sync_all(n_rounds=1)
        assert fleet.vms[name].voter.has_left
        fleet.stop(name)
    fleet.call("new-6", old)
    fleet.check()


def divergent_voter_sets(fleet_class: type[ModelFleet]) -> None:
    """Both sides of a partition add VMs, and VM 4 is first on one, then the other.

    5 to 7 commit a set with VMs 8 to 11, which VM 4 has adopted. 1 to 4 then add VMs 12
    to 15. Each side has a majority of its own set, without a common voter.
    """
    fleet = settle(fleet_class)
    side = ["4", "5", "6", "7", "8", "9", "10", "11"]
    fleet.partition("123", side)
    for name in side[4:]:
        fleet.start(name)
    for _ in range(20):
        for name in side[1:]:
            fleet.begin_sync(name, listed=side)
            fleet.end_sync(name)
    other_side = ["1", "2", "3", "4", "12", "13", "14", "15"]
    fleet.partition(side[1:], other_side)
    for name in other_side[4:]:
        fleet.start(name)
    for _ in range(20):
        for name in ["12", "13", "14", "15", "1", "2", "3", "4"]:
            fleet.begin_sync(name, listed=other_side)
            fleet.end_sync(name)
    key = fleet.make_key("booking", is_timed=False)
    fleet.call("5", key)
    fleet.call("1", key)
    fleet.check()


def late_replies(fleet_class: type[ModelFleet]) -> None:
    """VM 1 sends a sync request; the replies of 3, 4 and 5 arrive late.

    Meanwhile these three restart again and vote under new ids. If VM 1 took the late
    replies for current ones, it would consider the new ids retired, and count them as
    adopters when 1 and 2 are partitioned from 3, 4 and 5.
    """
    fleet = settle(fleet_class, "12345")
    for name in "345":
        fleet.start(name)
        fleet.sync_all()
    fleet.begin_sync("1")
    request, replies = fleet.vms["1"].request, fleet.vms["1"].replies
    assert request is not None
    for name in "345":
        fleet.start(name)
        fleet.sync_all()
    fleet.vms["1"].voter.process_replies(request, replies)
    fleet.partition("12", "345")
    for _ in range(40):
        for name in "12345":
            fleet.begin_sync(name, gone="345" if name in "12" else "12")
            fleet.end_sync(name)
    fleet.clock.advance(SETTINGS.window_ms)
    key = fleet.make_key("booking", is_timed=True)
    fleet.call("1", key)
    assert fleet.call("3", key), "a majority must continue in a partition"
    fleet.check()


def majority_lost(fleet_class: type[ModelFleet]) -> None:
    """Five of seven VMs are lost permanently; new VMs start under other names.

    Nothing proves that the five have stopped, so the others may not continue without
    them. The operators stop the remaining two. The new VMs, which have no state, must
    then form a first voter set without running the old booking again.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.call("1", key)
    for name in "34567":
        fleet.stop(name)
    for name in "89":
        fleet.start(name)
    fleet.sync_all(n_rounds=30, gone="34567")
    assert not fleet.call("1", fleet.make_key("refused", is_timed=True))
    fleet.stop("1")
    fleet.stop("2")
    fleet.sync_all()
    fleet.clock.advance(2 * SETTINGS.max_clock_skew_ms)
    assert fleet.call("8", fleet.make_key("made later", is_timed=True))
    fleet.call("9", key)
    fleet.check()


def changed_voter_ranking(fleet_class: type[ModelFleet]) -> None:
    """New VMs rank before the current voters of a group and replace them.

    VMs 1 to 3 vote; then 4, 5 and 6 start and rank before them. If these three asked
    only each other, they would form another voter set beside the existing one.
    """
    fleet = fleet_class("123")
    fleet.sync_all()
    fleet.clock.advance(SETTINGS.window_ms + 1)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.call("1", key)
    for name in "456":
        fleet.start(name)
    for _ in range(4):
        for name in "456":
            fleet.begin_sync(name, wanted="456")
        for name in "456":
            fleet.end_sync(name)
    fleet.clock.advance(2 * SETTINGS.max_clock_skew_ms)
    timed = fleet.make_key("next booking", is_timed=True)
    attempts = [
        collect_votes(fleet, "4", timed, "456"),
        collect_votes(fleet, "1", timed, "123"),
    ]
    for attempt in attempts:
        fleet.dispatch(attempt)
        fleet.abandon(attempt, notified=fleet.vms)
    fleet.check()
    fleet.sync_all(wanted="456", gone="123")
    fleet.call("4", key)
    assert fleet.call("5", fleet.make_key("last booking", is_timed=True))
    fleet.check()


scenarios: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        shrunken_list,
        new_vm_with_partial_list,
        minority_restarts,
        majority_restarts,
        partition_with_unequal_lists,
        pause_before_dispatch,
        split_vote,
        late_votes,
        resend,
        graceful_leave,
        divergent_voter_sets,
        late_replies,
        majority_lost,
        changed_voter_ranking,
    )
}

__all__ = ("scenarios", "settle")
