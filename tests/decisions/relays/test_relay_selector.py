"""Which VMs relay news, while views differ and VMs do not answer."""

from __future__ import annotations

import random

import pytest

from quetzaldeck.decisions.relays import RelayBounds, RelaySelector

BOUNDS = RelayBounds()
CAPACITY = 0.4
"""A relay with it takes 32 members."""


def make_zones(n_vms: int, n_zones: int = 5) -> dict[str, list[str]]:
    zones: dict[str, list[str]] = {}
    for index in range(n_vms):
        zones.setdefault(f"z{index % n_zones}", []).append(f"10.0.0.{index}")
    return zones


def choose(
    own: str, zone: str, zones: dict[str, list[str]], now_ms: float = 0.0
) -> RelaySelector:
    choice = RelaySelector(own, zone, capacity=CAPACITY)
    choice.update(leave_out(own, zones), now_ms)
    return choice


def leave_out(own: str, zones: dict[str, list[str]]) -> dict[str, dict[str, float]]:
    return {
        zone: {vm: CAPACITY for vm in vms if vm != own} for zone, vms in zones.items()
    }


@pytest.mark.parametrize(
    ("n_vms", "n_relays"), [(30, 5), (165, 5), (170, 10), (195, 10), (410, 15)]
)
def test_vms_agree_on_a_few_relays(n_vms: int, n_relays: int) -> None:
    """Guards against news that each VM sends to each other one."""
    zones = make_zones(n_vms)
    choices = {vm: choose(vm, zone, zones) for zone, vms in zones.items() for vm in vms}
    relays = {vm for vm, choice in choices.items() if choice.parent is None}
    assert len(relays) == n_relays
    for vm, choice in choices.items():
        if choice.parent is None:
            assert set(choice.peers) == relays - {vm}
        else:
            assert choice.parent in relays
            assert not choice.peers
    parents = [c.parent for c in choices.values() if c.parent is not None]
    most = max(parents.count(relay) for relay in relays)
    assert most <= 2 * BOUNDS.n_members_per_core * CAPACITY


def test_vms_with_the_fastest_processors_relay() -> None:
    """Guards against a relay on a tenth of a core that is seconds late in a burst."""
    vms = make_zones(39, 1)["z0"]
    capacities = {
        vm: 0.5 if number % 13 == 0 else 0.12 for number, vm in enumerate(vms)
    }
    relays = set()
    for vm in vms:
        others = {other: size for other, size in capacities.items() if other != vm}
        choice = RelaySelector(vm, "z0", capacity=capacities[vm])
        choice.update({"z0": others}, 0.0)
        if choice.parent is None:
            relays.add(vm)
    assert len(relays) == 1
    assert all(capacities[relay] == 0.5 for relay in relays)


@pytest.mark.parametrize("seed", range(10))
def test_news_travel_in_no_circle_though_views_differ(seed: int) -> None:
    """Guards against VMs that each take another one for their relay."""
    random_state = random.Random(seed)
    vms = make_zones(40, 1)["z0"]
    parents = {}
    for vm in vms:
        known = random_state.sample(vms, random_state.randint(1, len(vms)))
        parents[vm] = choose(vm, "z0", {"z0": known}).parent
    for vm in vms:
        path = [vm]
        while (parent := parents[path[-1]]) is not None:
            assert parent not in path
            path.append(parent)


def test_relay_that_is_silent_is_left_for_longer_each_time() -> None:
    """Guards against a VM that tells its news to a dead relay each few seconds."""
    zones = make_zones(60)
    own = zones["z0"][0]
    choice = choose(own, "z0", zones)
    silent = choice.parent
    assert silent is not None
    now_ms = 0.0
    for pause_ms in (3_000.0, 6_000.0, 12_000.0, 12_000.0):
        choice.note_missed_ack(silent, now_ms)
        choice.update(leave_out(own, zones), now_ms + pause_ms - 1.0)
        assert choice.parent != silent
        now_ms += pause_ms
        choice.update(leave_out(own, zones), now_ms)
        assert choice.parent == silent
    choice.note_missed_ack(silent, now_ms)
    choice.note_ack(silent)
    choice.update(leave_out(own, zones), now_ms)
    assert choice.parent == silent


def test_vm_that_cannot_reach_the_relay_of_its_zone_tells_another_as_well() -> None:
    """Guards against a zone that does not hear of a VM which only its relay lost."""
    zones = make_zones(60)
    members = zones["z0"]
    relay = next(vm for vm in members if choose(vm, "z0", zones).parent is None)
    rest = {**zones, "z0": [vm for vm in members if vm != relay]}
    second = next(vm for vm in rest["z0"] if choose(vm, "z0", rest).parent is None)
    choice = choose(second, "z0", zones)
    assert choice.fallback is None
    choice.note_missed_ack(relay, 0.0)
    choice.update(leave_out(second, zones), 0.0)
    assert choice.parent is None
    assert choice.fallback in members
    assert choice.fallback not in (relay, second)


def test_vms_of_an_unknown_zone_are_no_relays() -> None:
    choice = choose("10.0.0.1", "a", {"": ["10.0.0.2"], "b": ["10.0.0.3"]})
    assert choice.peers == ("10.0.0.3",)
