"""Histories that break weaker protocols; each takes the fleet's class.

A scenario fails by AssertionError if the fleet runs a key twice or refuses what it
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
    """:returns: a fleet past the doubt of its first start"""
    fleet = fleet_class(names)
    fleet.sync_all()
    fleet.clock.advance(SETTINGS.window_ms + 1)
    return fleet


def claim_at(
    fleet: ModelFleet, vm: str, key: ModelKey, voters: Iterable[str]
) -> Attempt:
    """:returns: an attempt whose votes are counted but which has not run"""
    attempt = fleet.begin(vm, key)
    for voter in voters:
        fleet.ask(attempt, voter)
    fleet.count(attempt)
    return attempt


def shrunken_list(fleet_class: type[ModelFleet]) -> None:
    """A booking runs through VM 1; VMs 1 to 4 vanish from the list, alive.

    The caller resends it to VM 5, whose list names 5, 6 and 7 only. A majority of
    those three would book twice.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.dispatch(claim_at(fleet, "1", key, "1234"))
    fleet.partition("1234", "567")
    fleet.sync_all(listed="567", gone="1234")
    fleet.call("5", key)
    fleet.check()


def new_vm_with_partial_list(fleet_class: type[ModelFleet]) -> None:
    """A booking runs through VM 1 with the votes of 1 to 4; VM 8 starts.

    VM 8 has only ever seen 5, 6, 7 and itself, and the caller resends to it. Three
    votes are a majority of what it knows, and none of these voters knows the key.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.dispatch(claim_at(fleet, "1", key, "1234"))
    fleet.start("8")
    fleet.partition("1234", "5678")
    fleet.sync_all(listed="5678", gone="1234")
    fleet.call("8", key)
    fleet.check()


def minority_restarts(fleet_class: type[ModelFleet]) -> None:
    """A booking runs with the votes of 1 to 4; then 1, 2 and 3 restart.

    They come back under their old names and remember nothing. If they voted as
    before, the caller's resend through VM 5 would get six votes of seven.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.dispatch(claim_at(fleet, "4", key, "1234"))
    for name in "123":
        fleet.start(name)
    fleet.partition("4", "123567")
    fleet.sync_all()
    fleet.call("5", key)
    fleet.partition(NAMES)
    fleet.sync_all()
    fleet.call("6", key)
    fleet.check()
    fresh = fleet.make_key("next booking", is_timed=False)
    assert fleet.call("1", fresh), "three restarts of seven must refuse nothing"


def majority_restarts(fleet_class: type[ModelFleet]) -> None:
    """A booking runs with the votes of 1 to 4; then all four restart at once.

    Nobody is left who knows the key. A vote on it would book twice, while a key
    made after the restart is safe to run at once.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    timed = fleet.make_key("timed booking", is_timed=True)
    assert fleet.dispatch(claim_at(fleet, "1", key, "1234"))
    assert fleet.dispatch(claim_at(fleet, "1", timed, "1234"))
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
    """A partition of 1 to 3 from 4 to 7; only 1 to 3 read that 4 to 7 are dead.

    4 to 7 live on, read the old list, and go on booking for however long. If 1 to
    3 ever believed their list, a booking resent across the cut would run twice.
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
    assert fleet.call("4", key), "a majority must go on in a partition"
    fleet.call("1", key)
    fleet.check()


def pause_before_dispatch(fleet_class: type[ModelFleet]) -> None:
    """VM 1 wins a claim and pauses for an hour just before it dispatches.

    The voters forget the key meanwhile. VM 2, asked with the same key at the end of
    the resend window, pauses likewise, then collects votes from voters that have
    forgotten. Both wake and would book.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    first = claim_at(fleet, "1", key, "1234")
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
    assert not fleet.executions, "neither may run so late"


def split_vote(fleet_class: type[ModelFleet]) -> None:
    """One VM of seven is down; 1 and 4 get three grants each for the same key.

    Neither may run it, both say so to their callers, and the next resend must get
    through, also if some releases were lost on the way.
    """
    fleet = settle(fleet_class)
    fleet.stop("7")
    key = fleet.make_key("booking", is_timed=False)
    one = claim_at(fleet, "1", key, "123")
    other = claim_at(fleet, "4", key, "456")
    assert not fleet.dispatch(one)
    assert not fleet.dispatch(other)
    fleet.give_up(one, notified="1")
    fleet.give_up(other, notified="4")
    third = claim_at(fleet, "5", key, "123456")
    assert not fleet.dispatch(third)
    fleet.resolve(third)
    fleet.give_up(third, notified="123456")
    assert fleet.call("6", key), "a resend after a split vote must run"
    fleet.check()


def late_votes(fleet_class: type[ModelFleet]) -> None:
    """VM 1 gives a claim up before its votes arrive and says ``ran: no``.

    The resend runs through VM 2. Then the old votes arrive at VM 1, a majority.
    """
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    attempt = fleet.begin("1", key)
    for voter in "1234":
        fleet.ask(attempt, voter)
    fleet.give_up(attempt, notified=NAMES)
    assert fleet.call("2", key)
    fleet.count(attempt)
    fleet.dispatch(attempt)
    fleet.check()


def resend(fleet_class: type[ModelFleet]) -> None:
    """A caller hears nothing for a while and sends its booking to another VM."""
    fleet = settle(fleet_class)
    key = fleet.make_key("booking", is_timed=False)
    assert fleet.call("1", key)
    fleet.call("2", key)
    fleet.check()


def graceful_leave(fleet_class: type[ModelFleet]) -> None:
    """All seven VMs are replaced one by one; callers book all the while.

    A voter that left without handing on what it knows would have to be waited for,
    or would be missing when the old booking is resent at the end.
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
    """Two halves of a partition add new VMs; VM 4 is heard by one, then the other.

    5 to 7 moved on to a set with VMs 8 to 11 that VM 4 adopted. 1 to 4 then add VMs
    12 to 15. Each half has a majority of its own set, and they share nobody.
    """
    fleet = settle(fleet_class)
    half = ["4", "5", "6", "7", "8", "9", "10", "11"]
    fleet.partition("123", half)
    for name in half[4:]:
        fleet.start(name)
    for _ in range(20):
        for name in half[1:]:
            fleet.begin_sync(name, listed=half)
            fleet.end_sync(name)
    other_half = ["1", "2", "3", "4", "12", "13", "14", "15"]
    fleet.partition(half[1:], other_half)
    for name in other_half[4:]:
        fleet.start(name)
    for _ in range(20):
        for name in ["12", "13", "14", "15", "1", "2", "3", "4"]:
            fleet.begin_sync(name, listed=other_half)
            fleet.end_sync(name)
    key = fleet.make_key("booking", is_timed=False)
    fleet.call("5", key)
    fleet.call("1", key)
    fleet.check()


def late_replies(fleet_class: type[ModelFleet]) -> None:
    """VM 1 asks its peers; the replies of 3, 4 and 5 reach it late.

    Meanwhile these three restart once more and vote under new seats. If the late
    replies were held for news, VM 1 would think the new seats empty, and count
    them when 1 and 2 are cut off from 3, 4 and 5.
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
    assert fleet.call("3", key), "a majority must go on in a partition"
    fleet.check()


def majority_lost(fleet_class: type[ModelFleet]) -> None:
    """Five of seven VMs are lost for good; new ones start under other names.

    Nothing proves that the five have ended, so nobody may go on without them. The
    operators stop the two that are left; the new VMs, which remember nothing, must
    then begin again, without running the old booking a second time.
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
    """A fleet larger than a group of voters grows; other VMs come to be wanted.

    VMs 1 to 3 vote; then 4, 5 and 6 start and rank before them. If these three
    asked only each other, they would begin a voter set beside the first one.
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
        claim_at(fleet, "4", timed, "456"),
        claim_at(fleet, "1", timed, "123"),
    ]
    for attempt in attempts:
        fleet.dispatch(attempt)
        fleet.give_up(attempt, notified=fleet.vms)
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
