"""Selecting whom VMs poll while some of them, or the source, fail."""

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
    """VMs in several zones that know each other and have each read the source once."""

    def __init__(self, n_vms: int) -> None:
        self.capacities: dict[str, float] = {}
        self.vms = tuple(f"10.{index % N_ZONES}.0.{index}" for index in range(n_vms))
        self.selectors = {own: self._make_selector(own) for own in self.vms}
        for own, selector in self.selectors.items():
            assert self.poll(own, 0.0) is None, "a new VM polls the source first"
            selector.note_source_answer()

    def list_zone(self, own: str) -> tuple[str, ...]:
        return tuple(vm for vm in self.vms if _zone(vm) == _zone(own) and vm != own)

    def list_others(self, own: str) -> tuple[str, ...]:
        return tuple(vm for vm in self.vms if _zone(vm) != _zone(own))

    def poll(self, own: str, now_ms: float) -> str | None:
        neighbours, others = self.list_zone(own), self.list_others(own)
        return self.selectors[own].choose(neighbours, others, now_ms)

    def poll_all(self, now_ms: float) -> dict[str, str | None]:
        return {own: self.poll(own, now_ms) for own in self.vms}

    def _make_selector(self, own: str) -> SourceSelector:
        return SourceSelector(
            own,
            BOUNDS,
            random_state=random.Random(own),
            find_capacity=lambda address: self.capacities.get(address, SMALL),
        )


def _zone(vm: str) -> str:
    return vm.split(".")[1]


def make_lone_selector() -> SourceSelector:
    return SourceSelector(
        "10.0.0.1",
        BOUNDS,
        random_state=random.Random(0),
        find_capacity=lambda address: SMALL,
    )


def find_follower(fleet: Fleet, *, is_near: bool) -> tuple[str, str]:
    """:returns: a VM that polls a watcher, and that watcher

    :param is_near: whether the watcher is in the same zone
    """
    return next(
        (own, polled)
        for own, polled in fleet.poll_all(0.0).items()
        if polled is not None and (_zone(own) == _zone(polled)) == is_near
    )


@pytest.mark.parametrize(
    ("n_vms", "n_watchers"), [(1, 1), (7, 1), (12, 1), (13, 2), (40, 4), (195, 17)]
)
def test_only_a_few_vms_watch_the_source(n_vms: int, n_watchers: int) -> None:
    """Guards against requests of all VMs to the source at each change of the fleet."""
    polled = Fleet(n_vms).poll_all(0.0)
    watchers = {own for own, address in polled.items() if address is None}
    assert len(watchers) == n_watchers
    assert {address for address in polled.values() if address} <= watchers


@pytest.mark.parametrize("n_vms", [40, 195, 410])
def test_vms_are_spread_over_the_watchers(n_vms: int) -> None:
    polled = [address for address in Fleet(n_vms).poll_all(0.0).values() if address]
    most = max(polled.count(address) for address in set(polled))
    assert most <= 2 * BOUNDS.n_vms_per_watcher(SMALL)


def test_vms_with_the_fastest_processors_are_watchers() -> None:
    """Guards against a watcher with a tenth of a core that answers late in a burst."""
    fleet = Fleet(195)
    large = set(fleet.vms[:15])
    fleet.capacities = dict.fromkeys(large, LARGE)
    polled = fleet.poll_all(0.0)
    watchers = {own for own, address in polled.items() if address is None}
    assert watchers < large
    assert len(watchers) == 4


def test_vms_poll_watchers_of_their_own_zone_if_it_has_enough() -> None:
    """Guards against needless traffic between zones, which is billed by the byte."""
    polled = Fleet(22).poll_all(0.0)
    zones = {_zone(own) for own, address in polled.items() if address is None}
    for own, address in polled.items():
        if address is not None and _zone(own) in zones:
            assert _zone(address) == _zone(own)


def test_stopped_watcher_is_replaced_after_one_request_of_each_vm() -> None:
    """Guards against VMs that keep polling a dead watcher, or all become watchers."""
    fleet = Fleet(40)
    polled = fleet.poll_all(0.0)
    dead = next(address for address in polled.values() if address is not None)
    followers = [own for own, address in polled.items() if address == dead]
    for own in followers:
        fleet.selectors[own].note_peer_error(dead, 10.0)
        assert fleet.poll(own, 10.0) is None
        fleet.selectors[own].note_source_answer()
    polled_next = {own: fleet.poll(own, 20.0) for own in followers}
    assert dead not in polled_next.values()
    by_zone: dict[str, set[str]] = {}
    for own, address in polled_next.items():
        by_zone.setdefault(_zone(own), set()).add(address or own)
    assert all(len(watchers) == 1 for watchers in by_zone.values())
    later_ms = 10.0 + BOUNDS.suspect_ms
    assert fleet.poll(followers[0], later_ms) == dead


def test_partitioned_zone_selects_its_own_watchers_after_one_failure() -> None:
    """Guards against a VM that tries all unreachable watchers of the other zones."""
    fleet = Fleet(195)
    own, far = find_follower(fleet, is_near=False)
    selector = fleet.selectors[own]
    selector.note_peer_error(far, 10.0)
    assert fleet.poll(own, 10.0) is None
    selector.note_source_answer()
    polled = fleet.poll(own, 20.0)
    assert polled is None or _zone(polled) == _zone(own)


def test_watcher_that_lost_the_source_is_replaced_in_time() -> None:
    """Guards against requests to a replica that has left, due to outdated answers."""
    fleet = Fleet(40)
    own, watcher = find_follower(fleet, is_near=True)
    selector = fleet.selectors[own]
    assert not selector.note_peer_answer(watcher, FRESH_MS, 100.0)
    assert selector.note_peer_answer(watcher, OLD_MS, 200.0)
    assert fleet.poll(own, 200.0) is None
    worst_ms = BOUNDS.max_answer_age_ms + BOUNDS.wait_ms + BOUNDS.answer_ms
    assert worst_ms < BOUNDS.min_deadline_ms * 0.9


def test_vm_that_the_source_rejects_polls_other_vms() -> None:
    """Guards against a VM that refuses all callers although other VMs know more."""
    fleet = Fleet(40)
    own = fleet.vms[0]
    selector = fleet.selectors[own]
    selector.note_source_error(0.0)
    polled = fleet.poll(own, 10.0)
    assert polled in fleet.vms
    selector.note_peer_error(polled, 20.0)
    assert fleet.poll(own, 30.0) not in (None, polled), "the source has just failed"
    assert fleet.poll(own, BOUNDS.retry_pause_ms(1, len(fleet.vms))) is None


def test_vm_that_the_source_rejects_keeps_polling_up_to_date_vms() -> None:
    """Guards against all VMs of a large fleet calling a source that just recovered."""
    fleet = Fleet(195)
    own, watcher = find_follower(fleet, is_near=True)
    selector = fleet.selectors[own]
    selector.note_source_error(0.0)
    assert not selector.note_peer_answer(watcher, OLD_MS, 100.0)
    assert selector.is_source_failing
    assert not selector.note_peer_answer(watcher, FRESH_MS, 200.0)
    for now_ms in range(300, 30_000, 100):
        assert fleet.poll(own, float(now_ms)) is not None


def test_watcher_retries_the_source_whatever_others_answer() -> None:
    """Guards against VMs that all wait for each other when the source has recovered."""
    fleet = Fleet(195)
    own = next(own for own, polled in fleet.poll_all(0.0).items() if polled is None)
    selector = fleet.selectors[own]
    selector.note_source_error(0.0)
    assert fleet.poll(own, 1.0) is not None
    selector.note_peer_answer(fleet.vms[-1], FRESH_MS, 100.0)
    assert selector.is_source_failing
    assert fleet.poll(own, BOUNDS.retry_ms) is None


def test_vm_without_known_peers_polls_seeds_while_the_source_fails() -> None:
    selector = make_lone_selector()
    selector.note_source_error(0.0)
    assert selector.choose((), (), 10.0, seeds=("10.0.0.2",)) == "10.0.0.2"
    selector.note_source_answer()
    assert selector.choose((), (), 20.0, seeds=("10.0.0.2",)) is None


def test_outdated_answers_raise_no_suspicion_while_the_source_fails() -> None:
    """Guards against an outage in which all VMs suspect each other."""
    fleet = Fleet(40)
    own, watcher = find_follower(fleet, is_near=True)
    selector = fleet.selectors[own]
    selector.note_source_error(0.0)
    assert not selector.note_peer_answer(watcher, OLD_MS, 10.0)
    selector.note_source_answer()
    assert selector.note_peer_answer(watcher, OLD_MS, 20.0)


def test_few_vms_call_the_source_often_during_an_outage() -> None:
    """Guards against a request of every VM in every second of an outage.

    The watchers retry often, to notice the end of the outage; the others rarely.
    """
    fleet = Fleet(195)
    watchers = [own for own, polled in fleet.poll_all(0.0).items() if polled is None]
    outage_ms = 10_000
    calls = dict.fromkeys(fleet.vms, 0)
    for now_ms in range(0, outage_ms, 100):
        for own, selector in fleet.selectors.items():
            if not now_ms:
                selector.note_source_error(0.0)
            elif fleet.poll(own, now_ms) is None:
                calls[own] += 1
                selector.note_source_error(now_ms)
    assert all(calls[own] >= outage_ms / BOUNDS.retry_ms * 0.8 for own in watchers)
    rest = [n for own, n in calls.items() if own not in watchers]
    assert min(rest) >= 1
    assert max(rest) <= 3
    # Pauses are drawn at random from half of the nominal pause up to all of it.
    assert sum(rest) <= 2 * BOUNDS.max_retries_s * outage_ms / 1_000


def test_watcher_retries_the_source_soon_after_a_failure() -> None:
    fleet = Fleet(40)
    own = next(own for own, polled in fleet.poll_all(0.0).items() if polled is None)
    selector = fleet.selectors[own]
    for failed_ms in (0.0, 10_000.0):
        selector.note_source_error(failed_ms)
        assert fleet.poll(own, failed_ms + 1.0) is not None
        assert fleet.poll(own, failed_ms + BOUNDS.retry_ms) is None


def test_single_vm_always_polls_the_source() -> None:
    selector = make_lone_selector()
    selector.note_source_error(0.0)
    assert selector.choose((), (), 1.0) is None
