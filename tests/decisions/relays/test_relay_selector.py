"""Selecting relays while the VMs' views differ and some VMs do not answer."""

from __future__ import annotations

import random

import pytest

from quetzaldeck.decisions.relays import RelayBounds, RelaySelector

BOUNDS = RelayBounds()
CAPACITY = 0.4
"""A relay with this capacity serves 32 members."""


def make_zones(n_vms: int, n_zones: int = 5) -> dict[str, list[str]]:
    zones: dict[str, list[str]] = {}
    for index in range(n_vms):
        zones.setdefault(f"z{index % n_zones}", []).append(f"10.0.0.{index}")
    return zones


def select(
    own: str, zone: str, zones: dict[str, list[str]], now_ms: float = 0.0
) -> RelaySelector:
    selector = RelaySelector(own, zone, capacity=CAPACITY)
    selector.update(list_peers(own, zones), now_ms)
    return selector


def list_peers(own: str, zones: dict[str, list[str]]) -> dict[str, dict[str, float]]:
    return {
        zone: {vm: CAPACITY for vm in vms if vm != own} for zone, vms in zones.items()
    }


@pytest.mark.parametrize(
    ("n_vms", "n_relays"), [(30, 5), (165, 5), (170, 10), (195, 10), (410, 15)]
)
def test_vms_agree_on_a_few_relays(n_vms: int, n_relays: int) -> None:
    """Guards against every VM sending its updates to every other VM."""
    zones = make_zones(n_vms)
    selectors = {
        vm: select(vm, zone, zones) for zone, vms in zones.items() for vm in vms
    }
    relays = {vm for vm, selector in selectors.items() if selector.parent is None}
    assert len(relays) == n_relays
    for vm, selector in selectors.items():
        if selector.parent is None:
            assert set(selector.peers) == relays - {vm}
        else:
            assert selector.parent in relays
            assert not selector.peers
    parents = [s.parent for s in selectors.values() if s.parent is not None]
    most = max(parents.count(relay) for relay in relays)
    assert most <= 2 * BOUNDS.n_members_per_core * CAPACITY


def test_vms_with_the_fastest_processors_are_relays() -> None:
    """Guards against a relay with a tenth of a core that is seconds late in a burst."""
    vms = make_zones(39, 1)["z0"]
    capacities = {
        vm: 0.5 if number % 13 == 0 else 0.12 for number, vm in enumerate(vms)
    }
    relays = set()
    for vm in vms:
        others = {other: cores for other, cores in capacities.items() if other != vm}
        selector = RelaySelector(vm, "z0", capacity=capacities[vm])
        selector.update({"z0": others}, 0.0)
        if selector.parent is None:
            relays.add(vm)
    assert len(relays) == 1
    assert all(capacities[relay] == 0.5 for relay in relays)


@pytest.mark.parametrize("seed", range(10))
def test_parents_form_no_cycle_if_views_differ(seed: int) -> None:
    """Guards against VMs that select each other as relay."""
    random_state = random.Random(seed)
    vms = make_zones(40, 1)["z0"]
    parents = {}
    for vm in vms:
        known = random_state.sample(vms, random_state.randint(1, len(vms)))
        parents[vm] = select(vm, "z0", {"z0": known}).parent
    for vm in vms:
        path = [vm]
        while (parent := parents[path[-1]]) is not None:
            assert parent not in path
            path.append(parent)


def test_silent_relay_is_avoided_for_longer_each_time() -> None:
    """Guards against a VM that sends its updates to a dead relay every few seconds."""
    zones = make_zones(60)
    own = zones["z0"][0]
    selector = select(own, "z0", zones)
    silent = selector.parent
    assert silent is not None
    now_ms = 0.0
    for pause_ms in (3_000.0, 6_000.0, 12_000.0, 12_000.0):
        selector.note_missed_ack(silent, now_ms)
        selector.update(list_peers(own, zones), now_ms + pause_ms - 1.0)
        assert selector.parent != silent
        now_ms += pause_ms
        selector.update(list_peers(own, zones), now_ms)
        assert selector.parent == silent
    selector.note_missed_ack(silent, now_ms)
    selector.note_ack(silent)
    selector.update(list_peers(own, zones), now_ms)
    assert selector.parent == silent


def test_vm_that_cannot_reach_its_relay_has_a_fallback() -> None:
    """Guards against lost updates of a VM that alone cannot reach its relay."""
    zones = make_zones(60)
    members = zones["z0"]
    relay = next(vm for vm in members if select(vm, "z0", zones).parent is None)
    rest = {**zones, "z0": [vm for vm in members if vm != relay]}
    second = next(vm for vm in rest["z0"] if select(vm, "z0", rest).parent is None)
    selector = select(second, "z0", zones)
    assert selector.fallback is None
    selector.note_missed_ack(relay, 0.0)
    selector.update(list_peers(second, zones), 0.0)
    assert selector.parent is None
    assert selector.fallback in members
    assert selector.fallback not in (relay, second)


def test_vms_of_an_unknown_zone_are_not_relays() -> None:
    selector = select("10.0.0.1", "a", {"": ["10.0.0.2"], "b": ["10.0.0.3"]})
    assert selector.peers == ("10.0.0.3",)
