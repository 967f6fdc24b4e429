"""Whom VMs ask for news while some of them, or the source, fail."""

from __future__ import annotations

import random

import pytest

from quetzaldeck.belief import SharingBounds, SourceSelector

BOUNDS = SharingBounds(2_000.0)
N_ZONES = 5
FRESH_MS = 300.0
SMALL = 0.12
LARGE = 0.5
OLD_MS = BOUNDS.max_answer_age_ms + 1


class Fleet:
    """VMs over zones that know each other, each having read the source once."""

    def __init__(self, n_vms: int) -> None:
        self.capacities: dict[str, float] = {}
        self.vms = tuple(f"10.{index % N_ZONES}.0.{index}" for index in range(n_vms))
        self.choices = {own: self._make_choice(own) for own in self.vms}
        for own, choice in self.choices.items():
            assert self.ask(own, 0.0) is None, "a new VM asks the source"
            choice.note_source_answer()

    def list_zone(self, own: str) -> tuple[str, ...]:
        return tuple(vm for vm in self.vms if _zone(vm) == _zone(own) and vm != own)

    def list_others(self, own: str) -> tuple[str, ...]:
        return tuple(vm for vm in self.vms if _zone(vm) != _zone(own))

    def ask(self, own: str, now_ms: float) -> str | None:
        neighbours, others = self.list_zone(own), self.list_others(own)
        return self.choices[own].choose(neighbours, others, now_ms)

    def ask_all(self, now_ms: float) -> dict[str, str | None]:
        return {own: self.ask(own, now_ms) for own in self.vms}

    def _make_choice(self, own: str) -> SourceSelector:
        return SourceSelector(
            own,
            BOUNDS,
            random_state=random.Random(own),
            find_capacity=lambda address: self.capacities.get(address, SMALL),
        )


def _zone(vm: str) -> str:
    return vm.split(".")[1]


def make_lone_choice() -> SourceSelector:
    return SourceSelector(
        "10.0.0.1",
        BOUNDS,
        random_state=random.Random(0),
        find_capacity=lambda address: SMALL,
    )


def find_follower(fleet: Fleet, *, is_near: bool) -> tuple[str, str]:
    """:returns: a VM that asks a watcher, and the watcher, of its zone or another"""
    return next(
        (own, asked)
        for own, asked in fleet.ask_all(0.0).items()
        if asked is not None and (_zone(own) == _zone(asked)) == is_near
    )


@pytest.mark.parametrize(
    ("n_vms", "n_watchers"), [(1, 1), (7, 1), (12, 1), (13, 2), (40, 4), (195, 17)]
)
def test_calls_to_the_source_do_not_grow_with_the_vms(
    n_vms: int, n_watchers: int
) -> None:
    """Guards against a call of each VM to the source at each change of the fleet."""
    asked = Fleet(n_vms).ask_all(0.0)
    watchers = {own for own, address in asked.items() if address is None}
    assert len(watchers) == n_watchers
    assert {address for address in asked.values() if address} <= watchers


@pytest.mark.parametrize("n_vms", [40, 195, 410])
def test_vms_spread_over_the_watchers(n_vms: int) -> None:
    asked = [address for address in Fleet(n_vms).ask_all(0.0).values() if address]
    most = max(asked.count(address) for address in set(asked))
    assert most <= 2 * BOUNDS.n_vms_per_watcher(SMALL)


def test_vms_with_the_fastest_processors_watch() -> None:
    """Guards against a watcher on a tenth of a core that answers late in a burst."""
    fleet = Fleet(195)
    large = set(fleet.vms[:15])
    fleet.capacities = dict.fromkeys(large, LARGE)
    asked = fleet.ask_all(0.0)
    watchers = {own for own, address in asked.items() if address is None}
    assert watchers < large
    assert len(watchers) == 4


def test_zone_whose_watchers_suffice_asks_them() -> None:
    """Guards against needless questions between zones, whose bytes are paid for."""
    asked = Fleet(22).ask_all(0.0)
    zones = {_zone(own) for own, address in asked.items() if address is None}
    for own, address in asked.items():
        if address is not None and _zone(own) in zones:
            assert _zone(address) == _zone(own)


def test_watcher_that_stopped_is_replaced_after_one_call_of_each_vm() -> None:
    """Guards against VMs that go on asking a dead watcher, or each watch for good."""
    fleet = Fleet(40)
    asked = fleet.ask_all(0.0)
    dead = next(address for address in asked.values() if address is not None)
    followers = [own for own, address in asked.items() if address == dead]
    for own in followers:
        fleet.choices[own].note_peer_error(dead, 10.0)
        assert fleet.ask(own, 10.0) is None
        fleet.choices[own].note_source_answer()
    asked_next = {own: fleet.ask(own, 20.0) for own in followers}
    assert dead not in asked_next.values()
    by_zone: dict[str, set[str]] = {}
    for own, address in asked_next.items():
        by_zone.setdefault(_zone(own), set()).add(address or own)
    assert all(len(watchers) == 1 for watchers in by_zone.values())
    later_ms = 10.0 + BOUNDS.suspect_ms
    assert fleet.ask(followers[0], later_ms) == dead


def test_zone_that_is_cut_off_finds_watchers_of_its_own_after_one_failure() -> None:
    """Guards against a VM of a cut zone that tries the watchers of all other zones."""
    fleet = Fleet(195)
    own, far = find_follower(fleet, is_near=False)
    choice = fleet.choices[own]
    choice.note_peer_error(far, 10.0)
    assert fleet.ask(own, 10.0) is None
    choice.note_source_answer()
    asked = fleet.ask(own, 20.0)
    assert asked is None or _zone(asked) == _zone(own)


def test_watcher_that_lost_the_source_is_left_in_time() -> None:
    """Guards against work for a replica that left, since old news were believed."""
    fleet = Fleet(40)
    own, teller = find_follower(fleet, is_near=True)
    choice = fleet.choices[own]
    assert not choice.note_peer_answer(teller, FRESH_MS, 100.0)
    assert choice.note_peer_answer(teller, OLD_MS, 200.0)
    assert fleet.ask(own, 200.0) is None
    worst_ms = BOUNDS.max_answer_age_ms + BOUNDS.wait_ms + BOUNDS.answer_ms
    assert worst_ms < BOUNDS.min_deadline_ms * 0.9


def test_vm_that_the_source_turns_away_asks_others() -> None:
    """Guards against a VM that refuses all callers though its neighbours know more."""
    fleet = Fleet(40)
    own = fleet.vms[0]
    choice = fleet.choices[own]
    choice.note_source_error(0.0)
    asked = fleet.ask(own, 10.0)
    assert asked in fleet.vms
    choice.note_peer_error(asked, 20.0)
    assert fleet.ask(own, 30.0) not in (None, asked), "the source has just failed"
    assert fleet.ask(own, BOUNDS.retry_pause_ms(1, len(fleet.vms))) is None


def test_vm_that_the_source_turns_away_stays_with_those_that_know() -> None:
    """All VMs of a large fleet call a source that has just come back."""
    fleet = Fleet(195)
    own, teller = find_follower(fleet, is_near=True)
    choice = fleet.choices[own]
    choice.note_source_error(0.0)
    assert not choice.note_peer_answer(teller, OLD_MS, 100.0)
    assert choice.is_source_failing
    assert not choice.note_peer_answer(teller, FRESH_MS, 200.0)
    for now_ms in range(300, 30_000, 100):
        assert fleet.ask(own, float(now_ms)) is not None


def test_watcher_goes_on_with_the_source_whatever_others_tell_it() -> None:
    """All VMs wait for each other, and nobody notices that the source is back."""
    fleet = Fleet(195)
    own = next(own for own, asked in fleet.ask_all(0.0).items() if asked is None)
    choice = fleet.choices[own]
    choice.note_source_error(0.0)
    assert fleet.ask(own, 1.0) is not None
    choice.note_peer_answer(fleet.vms[-1], FRESH_MS, 100.0)
    assert choice.is_source_failing
    assert fleet.ask(own, BOUNDS.retry_ms) is None


def test_vm_that_has_met_nobody_asks_seeds_while_the_source_fails() -> None:
    choice = make_lone_choice()
    choice.note_source_error(0.0)
    assert choice.choose((), (), 10.0, seeds=("10.0.0.2",)) == "10.0.0.2"
    choice.note_source_answer()
    assert choice.choose((), (), 20.0, seeds=("10.0.0.2",)) is None


def test_old_news_are_no_reason_to_suspect_a_vm_while_the_source_is_away() -> None:
    """Guards against an outage in which all VMs come to suspect each other."""
    fleet = Fleet(40)
    own, teller = find_follower(fleet, is_near=True)
    choice = fleet.choices[own]
    choice.note_source_error(0.0)
    assert not choice.note_peer_answer(teller, OLD_MS, 10.0)
    choice.note_source_answer()
    assert choice.note_peer_answer(teller, OLD_MS, 20.0)


def test_outage_costs_few_calls_and_its_end_is_noticed_by_the_watchers() -> None:
    """Guards against a call of each VM in each second of an outage of the source."""
    fleet = Fleet(195)
    watchers = [own for own, asked in fleet.ask_all(0.0).items() if asked is None]
    outage_ms = 10_000
    calls = dict.fromkeys(fleet.vms, 0)
    for now_ms in range(0, outage_ms, 100):
        for own, choice in fleet.choices.items():
            if not now_ms:
                choice.note_source_error(0.0)
            elif fleet.ask(own, now_ms) is None:
                calls[own] += 1
                choice.note_source_error(now_ms)
    assert all(calls[own] >= outage_ms / BOUNDS.retry_ms * 0.8 for own in watchers)
    rest = [n for own, n in calls.items() if own not in watchers]
    assert min(rest) >= 1
    assert max(rest) <= 3
    # Pauses are drawn from half of the stated one on.
    assert sum(rest) <= 2 * BOUNDS.max_retries_s * outage_ms / 1_000


def test_watcher_asks_the_source_again_soon_after_it_failed() -> None:
    fleet = Fleet(40)
    own = next(own for own, asked in fleet.ask_all(0.0).items() if asked is None)
    choice = fleet.choices[own]
    for failed_ms in (0.0, 10_000.0):
        choice.note_source_error(failed_ms)
        assert fleet.ask(own, failed_ms + 1.0) is not None
        assert fleet.ask(own, failed_ms + BOUNDS.retry_ms) is None


def test_vm_alone_asks_the_source_whatever_happens() -> None:
    choice = make_lone_choice()
    choice.note_source_error(0.0)
    assert choice.choose((), (), 1.0) is None
