"""Each engine is polled for its pace by one VM, whatever the number of VMs."""

from __future__ import annotations

from collections import Counter

from quetzaldeck.decisions.loads.pace_polling import MAX_POLLED, PacePollPlanner

ZONES = {"a": ["10.1.0.1", "10.1.0.2"], "b": ["10.2.0.1", "10.2.0.2", "10.2.0.3"]}
ENGINES = {f"engine-{n}": "ab"[n % 2] for n in range(30)}


def count_polls(zones: dict[str, list[str]]) -> Counter[str]:
    """:returns: how many VMs poll each engine"""
    vms = [vm for members in zones.values() for vm in members]
    polled = [PacePollPlanner(vm).choose_polled(ENGINES, zones) for vm in vms]
    return Counter(name for names in polled for name in names)


def test_each_engine_is_polled_by_one_vm_of_its_zone() -> None:
    assert set(count_polls(ZONES).values()) == {1}
    assert len(count_polls(ZONES)) == len(ENGINES)
    for vm in ZONES["a"]:
        polled = PacePollPlanner(vm).choose_polled(ENGINES, ZONES)
        assert {ENGINES[name] for name in polled} == {"a"}


def test_engines_of_a_zone_without_vms_are_polled_from_other_zones() -> None:
    """The VMs of a zone lose power while its engines keep running."""
    zones = {"b": ZONES["b"]}
    assert set(count_polls(zones).values()) == {1}
    assert len(count_polls(zones)) == len(ENGINES)


def test_removal_of_a_vm_reassigns_only_its_engines() -> None:
    before = {
        vm: set(PacePollPlanner(vm).choose_polled(ENGINES, ZONES)) for vm in ZONES["b"]
    }
    smaller = {**ZONES, "b": ZONES["b"][:2]}
    for vm in smaller["b"]:
        after = set(PacePollPlanner(vm).choose_polled(ENGINES, smaller))
        assert before[vm] <= after


def test_isolated_vm_polls_a_limited_number_of_engines_in_turn() -> None:
    """A VM that is cut off from all others polls thirty engines, sixteen at a time."""
    planner = PacePollPlanner("10.1.0.1")
    rounds = [planner.choose_polled(ENGINES, {"a": ["10.1.0.1"]}) for _ in range(15)]
    assert all(len(set(polled)) == len(polled) == MAX_POLLED for polled in rounds)
    counts = Counter(name for polled in rounds for name in polled)
    assert set(counts) == set(ENGINES)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_recovery_is_not_published_for_a_removed_engine_that_returns() -> None:
    planner = PacePollPlanner("10.1.0.1")
    planner.choose_published([("e0", 5.0)])
    planner.choose_polled({}, {"a": ["10.1.0.1"]})
    assert not planner.choose_published([("e0", 1.0)])


def test_slow_engine_is_published_while_slow_and_once_after_recovery() -> None:
    planner = PacePollPlanner("10.1.0.1")
    assert not planner.choose_published([("e0", 1.0), ("e1", 1.2)])
    assert planner.choose_published([("e0", 5.0), ("e1", 1.0)]) == {"e0": 5.0}
    assert planner.choose_published([("e0", 5.0)]) == {"e0": 5.0}
    assert planner.choose_published([("e0", 1.0)]) == {"e0": 1.0}
    assert not planner.choose_published([("e0", 1.0)])


def test_polls_follow_the_known_vms_and_engines() -> None:
    """Guards against an engine that no VM polls after its owner has died."""
    planner = PacePollPlanner("10.2.0.1")
    zones = {zone: list(vms) for zone, vms in ZONES.items()}
    before = set(planner.choose_polled(ENGINES, zones))
    assert set(planner.choose_polled(ENGINES, zones)) == before
    zones["b"].remove("10.2.0.2")
    zones["b"].remove("10.2.0.3")
    assert set(planner.choose_polled(ENGINES, zones)) > before
    few = {name: ENGINES[name] for name in sorted(before)[:2]}
    assert set(planner.choose_polled(few, zones)) == set(few)
