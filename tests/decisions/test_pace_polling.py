"""Each engine is asked for its pace by one VM, whatever the number of VMs."""

from __future__ import annotations

from collections import Counter

from quetzaldeck.decisions.pace_polling import MAX_POLLED, PacePollPlanner

ZONES = {"a": ["10.1.0.1", "10.1.0.2"], "b": ["10.2.0.1", "10.2.0.2", "10.2.0.3"]}
ENGINES = {f"engine-{n}": "ab"[n % 2] for n in range(30)}


def count_asked(zones: dict[str, list[str]]) -> Counter[str]:
    """:returns: how many VMs ask each engine"""
    vms = [vm for members in zones.values() for vm in members]
    asked = [PacePollPlanner(vm).choose_polled(ENGINES, zones) for vm in vms]
    return Counter(name for names in asked for name in names)


def test_each_engine_is_asked_by_one_vm_of_its_zone() -> None:
    assert set(count_asked(ZONES).values()) == {1}
    assert len(count_asked(ZONES)) == len(ENGINES)
    for vm in ZONES["a"]:
        asked = PacePollPlanner(vm).choose_polled(ENGINES, ZONES)
        assert {ENGINES[name] for name in asked} == {"a"}


def test_engines_of_a_zone_without_vms_are_asked_from_others() -> None:
    """The VMs of a zone lose power; its engines go on."""
    zones = {"b": ZONES["b"]}
    assert set(count_asked(zones).values()) == {1}
    assert len(count_asked(zones)) == len(ENGINES)


def test_vm_that_goes_moves_only_its_own_engines() -> None:
    before = {
        vm: set(PacePollPlanner(vm).choose_polled(ENGINES, ZONES)) for vm in ZONES["b"]
    }
    smaller = {**ZONES, "b": ZONES["b"][:2]}
    for vm in smaller["b"]:
        after = set(PacePollPlanner(vm).choose_polled(ENGINES, smaller))
        assert before[vm] <= after


def test_vm_that_sees_no_other_asks_a_bounded_number_and_all_in_turn() -> None:
    """A VM that is cut off from all others asks thirty engines, sixteen at a time."""
    watch = PacePollPlanner("10.1.0.1")
    rounds = [watch.choose_polled(ENGINES, {"a": ["10.1.0.1"]}) for _ in range(15)]
    assert all(len(set(asked)) == len(asked) == MAX_POLLED for asked in rounds)
    counts = Counter(name for asked in rounds for name in asked)
    assert set(counts) == set(ENGINES)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_engine_that_is_gone_is_not_told_of_when_its_name_comes_back() -> None:
    watch = PacePollPlanner("10.1.0.1")
    watch.choose_published([("e0", 5.0)])
    watch.choose_polled({}, {"a": ["10.1.0.1"]})
    assert not watch.choose_published([("e0", 1.0)])


def test_slow_engine_is_told_of_while_it_is_and_once_after() -> None:
    watch = PacePollPlanner("10.1.0.1")
    assert not watch.choose_published([("e0", 1.0), ("e1", 1.2)])
    assert watch.choose_published([("e0", 5.0), ("e1", 1.0)]) == {"e0": 5.0}
    assert watch.choose_published([("e0", 5.0)]) == {"e0": 5.0}
    assert watch.choose_published([("e0", 1.0)]) == {"e0": 1.0}
    assert not watch.choose_published([("e0", 1.0)])


def test_questions_follow_the_vms_that_are_known_now() -> None:
    """Guards against an engine that nobody asks after its VM has died."""
    watch = PacePollPlanner("10.2.0.1")
    zones = {zone: list(vms) for zone, vms in ZONES.items()}
    before = set(watch.choose_polled(ENGINES, zones))
    assert set(watch.choose_polled(ENGINES, zones)) == before
    zones["b"].remove("10.2.0.2")
    zones["b"].remove("10.2.0.3")
    assert set(watch.choose_polled(ENGINES, zones)) > before
    few = {name: ENGINES[name] for name in sorted(before)[:2]}
    assert set(watch.choose_polled(few, zones)) == set(few)
