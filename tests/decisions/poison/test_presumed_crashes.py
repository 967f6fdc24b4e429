"""Upstreams that do not answer checks are presumed to have crashed."""

from __future__ import annotations

import pytest

from quetzaldeck.decisions.poison import (
    PoisonBounds,
    PoisonRegistry,
    RunSighting,
    RunState,
    Verdict,
)

CULPRIT = 7
NEIGHBOUR = 8
BOUNDS = PoisonBounds(needs_proof=True)
LINGER_MS = BOUNDS.linger_ms


def lose(registry: PoisonRegistry, upstream: str, at_ms: float) -> None:
    """Let a connection break; the check that begins then gets no answer."""
    registry.note_crash(CULPRIT, upstream, "", at_ms, run_ms=40.0, is_proven=False)
    registry.ends.note_missing(upstream, at_ms)


def lose_three(registry: PoisonRegistry) -> None:
    for index in range(3):
        lose(registry, f"e{index}", index * 1_000.0)


def test_request_is_held_while_three_upstreams_are_missing() -> None:
    """The hosts of replicas are lost; their entries expire only after seconds."""
    registry = PoisonRegistry(BOUNDS)
    lose_three(registry)
    assert registry.verdict(CULPRIT, 2_500.0) is Verdict.REFUSED
    blocked = registry.find_blocked(CULPRIT, 2_500.0)
    assert blocked is not None
    assert blocked.until_ms == 2_000.0 + BOUNDS.presumed_ms


def test_upstream_that_is_missing_after_a_caller_left_counts() -> None:
    registry = PoisonRegistry(BOUNDS)
    for index in range(3):
        name, left_ms = f"e{index}", index * 2_000.0
        registry.note_left(CULPRIT, name, "", left_ms - 20.0, left_ms)
        registry.ends.note_missing(name, left_ms + LINGER_MS)
    assert registry.verdict(CULPRIT, 6_000.0) is Verdict.REFUSED


def test_check_that_began_while_the_request_may_run_is_no_proof() -> None:
    """Guards against an upstream that is busy with the request, and lives."""
    registry = PoisonRegistry(BOUNDS)
    registry.note_left(CULPRIT, "e0", "", 0.0, 20.0)
    registry.ends.note_missing("e0", 21.0)
    assert registry.verdict(CULPRIT, 30.0) is Verdict.CLEAR


def test_request_runs_again_when_an_upstream_is_found_alive() -> None:
    """Replicas were cut off for a moment: that is no crash."""
    registry = PoisonRegistry(BOUNDS)
    lose_three(registry)
    for index in range(3):
        registry.ends.note_survived(f"e{index}", 4_000.0)
    assert registry.verdict(CULPRIT, 4_000.0) is Verdict.CLEAR


def test_other_vms_learn_of_presumed_crashes_and_of_their_end() -> None:
    """Each of three VMs loses one replica to the request."""
    registries = [PoisonRegistry(BOUNDS) for _ in range(3)]
    for index, registry in enumerate(registries):
        lose(registry, f"e{index}", 0.0)
    sightings = [run for r in registries for run in r.ends.pop_changed_runs()]
    for registry in registries:
        registry.ends.observe_runs(sightings, 10.0)
        assert registry.verdict(CULPRIT, 10.0) is Verdict.REFUSED
    registries[0].ends.note_survived("e0", 500.0)
    closed = registries[0].ends.pop_changed_runs()
    assert {run.state for run in closed} == {RunState.SURVIVED}
    for registry in registries[1:]:
        registry.ends.observe_runs(closed, 510.0)
        assert registry.verdict(CULPRIT, 510.0) is Verdict.SUSPECT


def test_end_of_another_run_does_not_refute_a_presumed_crash() -> None:
    """A neighbour's attempt fails on the replica that the culprit has ended."""
    registry, other = PoisonRegistry(BOUNDS), PoisonRegistry(BOUNDS)
    lose(registry, "e0", 0.0)
    other.note_started(CULPRIT + 1, "e0", "", 900.0, 400.0)
    other.note_stopped(CULPRIT + 1, "e0", 410.0)
    registry.ends.observe_runs(other.ends.pop_changed_runs(), 420.0)
    assert registry.n_crashes(CULPRIT, 420.0) == 1


def test_vm_that_hears_the_upstream_does_not_presume_its_crash() -> None:
    """One VM is cut off from replicas that answer the others."""
    registry = PoisonRegistry(BOUNDS)
    registry.ends.note_survived("e0", 1_000.0)
    sighting = RunSighting(CULPRIT, "e0", "", 90.0, -50.0, RunState.MISSING)
    registry.ends.observe_runs([sighting], 1_020.0)
    assert registry.verdict(CULPRIT, 1_020.0) is Verdict.CLEAR


def test_request_that_is_sent_after_the_crash_was_not_on_board() -> None:
    """An address goes on accepting connections and resets them after the crash."""
    registry = PoisonRegistry(BOUNDS)
    neighbour = CULPRIT + 1
    for index in range(3):
        name, at_ms = f"e{index}", index * 1_000.0
        lose(registry, name, at_ms)
        registry.note_crash(
            neighbour, name, "", at_ms + 200.0, run_ms=3.0, is_proven=False
        )
        registry.ends.note_missing(name, at_ms + 210.0)
    assert registry.verdict(neighbour, 2_500.0) is Verdict.CLEAR
    assert registry.verdict(CULPRIT, 2_500.0) is Verdict.REFUSED


def test_proof_makes_a_presumed_crash_last() -> None:
    registry = PoisonRegistry(BOUNDS)
    lose_three(registry)
    for index in range(3):
        registry.ends.note_ended(f"e{index}", index * 1_000.0)
        registry.ends.note_survived(f"e{index}", 9_000.0)
    assert registry.verdict(CULPRIT, 9_000.0) is Verdict.REFUSED
    announced = registry.pop_changed_sightings(9_000.0)
    assert [len(sightings) for sightings in announced] == [3]


def test_new_vm_is_told_what_is_presumed() -> None:
    registry = PoisonRegistry(BOUNDS)
    lose_three(registry)
    started = PoisonRegistry(BOUNDS)
    started.ends.observe_runs(registry.ends.list_runs(8, 2_100.0), 2_110.0)
    assert started.verdict(CULPRIT, 2_110.0) is Verdict.REFUSED


def test_request_that_is_sent_over_and_over_is_blamed_with_its_neighbours() -> None:
    """Guards against refusing a neighbour while a copy of the culprit may still run."""
    registry = PoisonRegistry(BOUNDS)
    for index in range(BOUNDS.n_crashes):
        name, at_ms = f"e{index}", index * 2_000.0
        registry.note_left(CULPRIT, name, "", at_ms, at_ms + 40.0)
        registry.note_left(NEIGHBOUR, name, "", at_ms, at_ms + 40.0)
        registry.note_left(CULPRIT, name, "", at_ms + 200.0, at_ms + 240.0)
        registry.ends.note_missing(name, at_ms + 60.0 + LINGER_MS)
        assert registry.verdict(NEIGHBOUR, at_ms + 700.0) is Verdict.SUSPECT
        assert registry.verdict(CULPRIT, at_ms + 700.0) is Verdict.SUSPECT


def test_upstream_that_stays_silent_has_crashed_once() -> None:
    """Guards against counting each request that is still sent there as a crash."""
    registry = PoisonRegistry(BOUNDS)
    for index in range(BOUNDS.n_crashes):
        lose(registry, "e0", index * (BOUNDS.same_crash_ms + 1.0))
    now_ms = BOUNDS.n_crashes * BOUNDS.same_crash_ms
    assert registry.n_crashes(CULPRIT, now_ms) == 1


def test_copy_that_an_ended_upstream_resets_does_not_hide_the_one_before() -> None:
    """Guards against telling other VMs of a run that began after the crash only."""
    own, other = PoisonRegistry(BOUNDS), PoisonRegistry(BOUNDS)
    other.note_crash(NEIGHBOUR, "e0", "", 50.0, run_ms=20.0, is_proven=False)
    own.note_left(CULPRIT, "e0", "", 20.0, 40.0)
    own.note_crash(CULPRIT, "e0", "", 190.0, run_ms=10.0, is_proven=False)
    own.ends.note_missing("e0", 60.0 + LINGER_MS)
    other.ends.note_missing("e0", 60.0 + LINGER_MS)
    other.ends.observe_runs(own.ends.pop_changed_runs(), 70.0 + LINGER_MS)
    assert other.verdict(CULPRIT, 600.0) is Verdict.SUSPECT


def test_request_in_a_presumed_crash_stays_a_suspect_behind_another() -> None:
    """Guards against letting the culprit run freely as its neighbour is known first."""
    registry = PoisonRegistry(BOUNDS)
    lose_three(registry)
    registry.note_crash(NEIGHBOUR, "e2", "", 2_000.0, run_ms=20.0, is_proven=False)
    assert registry.verdict(NEIGHBOUR, 2_500.0) is Verdict.SUSPECT


def test_crash_a_moment_after_a_connection_was_cut_counts() -> None:
    """Guards against dropping a crash with the cut before it, which proved to be none.

    That the upstream lived on is known only once it is sure that it has not restarted.
    """
    registry = PoisonRegistry(BOUNDS)
    for index in range(BOUNDS.n_crashes):
        name, at_ms = f"e{index}", index * 5_000.0
        registry.note_crash(NEIGHBOUR, name, "1", at_ms, run_ms=9.0, is_proven=False)
        crashed_ms = at_ms + 340.0
        registry.note_crash(
            CULPRIT, name, "1", crashed_ms, run_ms=40.0, is_proven=False
        )
        registry.ends.note_survived(name, at_ms + 1.0)
        registry.ends.note_ended(name, crashed_ms, "1")
    assert registry.verdict(CULPRIT, 12_000.0) is Verdict.REFUSED
    assert registry.verdict(NEIGHBOUR, 12_000.0) is Verdict.CLEAR


def test_answer_in_between_does_not_part_a_tie() -> None:
    """Guards against refusing a neighbour sooner as it was answered before."""
    registry = PoisonRegistry(BOUNDS)
    for index in range(BOUNDS.n_crashes_answered):
        name, at_ms = f"e{index}", index * 2_000.0
        for fingerprint in (CULPRIT, NEIGHBOUR):
            registry.note_left(fingerprint, name, "", at_ms, at_ms + 40.0)
        registry.ends.note_missing(name, at_ms + 60.0 + LINGER_MS)
        registry.note_answered(NEIGHBOUR, 0.0)
    assert registry.n_crashes(NEIGHBOUR, 7_000.0) == BOUNDS.n_crashes_answered
    assert registry.verdict(NEIGHBOUR, 7_000.0) is Verdict.SUSPECT


def test_earlier_crash_of_an_upstream_does_not_presume_the_next() -> None:
    """Guards against a crash that is presumed of an upstream busy with its request."""
    registry = PoisonRegistry(BOUNDS)
    registry.note_crash(NEIGHBOUR, "e0", "1", 0.0, run_ms=9.0)
    registry.note_left(CULPRIT, "e0", "2", 9_000.0, 9_020.0)
    registry.ends.note_missing("e0", 9_021.0)
    assert registry.verdict(CULPRIT, 9_030.0) is Verdict.CLEAR


def test_run_that_has_ended_is_not_opened_again_by_a_late_repeat() -> None:
    """A VM that missed the end of a run repeats it, and a sound request is blamed."""
    registry = PoisonRegistry(PoisonBounds())
    opened = RunSighting(CULPRIT, "e0", "", 10.0, 900.0, RunState.OPEN, is_awaited=True)
    registry.ends.observe_runs([opened], 1_000.0)
    closed = opened._replace(age_ms=60.0, remaining_ms=850.0, state=RunState.CLOSED)
    registry.ends.observe_runs([closed], 1_050.0)
    repeated = opened._replace(age_ms=110.0, remaining_ms=800.0)
    registry.ends.observe_runs([repeated], 1_100.0)
    registry.ends.note_ended("e0", 1_200.0)
    registry.ends.advance(2_000.0)
    assert registry.n_crashes(CULPRIT, 2_000.0) == 0


def test_run_that_is_heard_of_after_its_upstream_has_ended_counts() -> None:
    """The only announcement that a VM gets of a run comes after the crash."""
    registry = PoisonRegistry(PoisonBounds())
    registry.ends.note_ended("e0", 1_000.0)
    opened = RunSighting(
        CULPRIT, "e0", "", 700.0, 900.0, RunState.OPEN, is_awaited=True
    )
    registry.ends.observe_runs([opened], 1_500.0)
    assert registry.n_crashes(CULPRIT, 1_500.0) == 1


def lose_for_neighbour() -> tuple[PoisonRegistry, PoisonRegistry, list[RunSighting]]:
    """:returns: a VM whose neighbour ran on a silent upstream, another, and its news"""
    first, second = PoisonRegistry(BOUNDS), PoisonRegistry(BOUNDS)
    first.note_left(NEIGHBOUR, "e0", "", 0.0, 500.0)
    first.ends.note_missing("e0", 500.0 + LINGER_MS)
    return first, second, first.ends.pop_changed_runs()


def test_vm_that_cannot_judge_tells_what_it_sent_to_a_missing_upstream() -> None:
    """Guards against a crash that is blamed on the neighbours alone.

    The VM that sent the culprit is out of reach of all upstreams, as they have all
    ended, and concludes nothing from its own checks.
    """
    first, second, news = lose_for_neighbour()
    second.note_left(CULPRIT, "e0", "", 10.0, 510.0)
    second.ends.observe_runs(news, 1_000.0)
    assert second.n_crashes(CULPRIT, 1_000.0) == 1
    first.ends.observe_runs(second.ends.pop_changed_runs(), 1_000.0)
    assert first.n_crashes(CULPRIT, 1_000.0) == 1
    assert first.ends.pop_changed_runs() == []


def test_run_that_is_left_after_its_upstream_is_missing_counts() -> None:
    """As above; the caller of the culprit still waited when the news came."""
    first, second, news = lose_for_neighbour()
    second.ends.observe_runs(news, 1_000.0)
    second.note_left(CULPRIT, "e0", "", 10.0, 1_010.0)
    second.note_left(CULPRIT + 10, "e0", "", 1_005.0, 1_010.0)
    assert second.n_crashes(CULPRIT, 1_010.0) == 1
    assert second.n_crashes(CULPRIT + 10, 1_010.0) == 0
    first.ends.observe_runs(second.ends.pop_changed_runs(), 1_010.0)
    assert first.n_crashes(CULPRIT, 1_010.0) == 1


def test_connection_that_broke_before_its_upstream_was_missing_is_told() -> None:
    """As above; the address of the upstream resets connections."""
    first, second, news = lose_for_neighbour()
    second.note_crash(CULPRIT, "e0", "", 50.0, run_ms=40.0, is_proven=False)
    second.ends.observe_runs(news, 1_000.0)
    first.ends.observe_runs(second.ends.pop_changed_runs(), 1_000.0)
    assert first.n_crashes(CULPRIT, 1_000.0) == 1


def count_together(
    registry: PoisonRegistry, fingerprints: tuple[int, ...], upstreams: range
) -> None:
    """Let requests run in the same proven crashes."""
    for index in upstreams:
        for fingerprint in fingerprints:
            registry.note_crash(fingerprint, f"e{index}", "", index * 100.0, run_ms=9.0)


def test_neighbour_is_not_refused_for_what_another_request_explains() -> None:
    """Guards against neighbours that are refused as all upstreams end at once.

    More of them end than a limit allows, before the first end is known.
    """
    registry = PoisonRegistry()
    registry.note_answered(NEIGHBOUR, -1.0)
    count_together(registry, (CULPRIT, NEIGHBOUR), range(8))
    assert registry.verdict(CULPRIT, 1_000.0) is Verdict.REFUSED
    assert registry.verdict(NEIGHBOUR, 1_000.0) is Verdict.SUSPECT


def test_neighbour_that_ends_an_upstream_alone_is_refused() -> None:
    """As above, where the request that was answered before is to blame."""
    registry = PoisonRegistry()
    registry.note_answered(NEIGHBOUR, -1.0)
    count_together(registry, (CULPRIT, NEIGHBOUR), range(8))
    count_together(registry, (NEIGHBOUR,), range(8, 9))
    assert registry.verdict(NEIGHBOUR, 1_000.0) is Verdict.REFUSED
    assert registry.verdict(CULPRIT, 1_000.0) is Verdict.CLEAR


def test_one_of_two_requests_in_the_same_crashes_is_refused() -> None:
    """Guards against two refusals for crashes that one of two requests causes."""
    registry = PoisonRegistry()
    count_together(registry, (CULPRIT, NEIGHBOUR), range(6))
    verdicts = [registry.verdict(item, 1_000.0) for item in (CULPRIT, NEIGHBOUR)]
    assert sorted(verdicts) == [Verdict.REFUSED, Verdict.SUSPECT]


def test_neighbour_of_two_culprits_is_not_refused() -> None:
    """Guards against a neighbour that is in more crashes than either of them."""
    registry = PoisonRegistry()
    registry.note_answered(NEIGHBOUR, -1.0)
    count_together(registry, (CULPRIT, NEIGHBOUR), range(3))
    count_together(registry, (CULPRIT + 10, NEIGHBOUR), range(3, 4))
    count_together(registry, (CULPRIT + 10,), range(4, 6))
    assert registry.verdict(NEIGHBOUR, 1_000.0) is Verdict.SUSPECT


def lose_with(
    registry: PoisonRegistry, fingerprints: tuple[int, ...], upstreams: range
) -> None:
    """Let upstreams fall silent; nobody waits for the requests that they ran."""
    for index in upstreams:
        for fingerprint in fingerprints:
            registry.note_left(fingerprint, f"e{index}", "", 0.0, 20.0)
        registry.ends.note_missing(f"e{index}", 20.0 + LINGER_MS)


def test_neighbour_is_not_refused_for_an_upstream_whose_culprit_is_unknown() -> None:
    """Guards against blaming who is known of a silent upstream for all of its crashes.

    The VM that had sent a culprit there was killed with it, or tells of it later.
    """
    registry = PoisonRegistry(BOUNDS)
    registry.note_answered(NEIGHBOUR, -1.0)
    lose_with(registry, (CULPRIT, NEIGHBOUR), range(3))
    lose_with(registry, (NEIGHBOUR,), range(3, 4))
    assert registry.n_crashes(NEIGHBOUR, 600.0) == 4
    assert registry.verdict(NEIGHBOUR, 600.0) is Verdict.SUSPECT


def test_new_neighbour_of_two_culprits_is_not_refused_with_the_first() -> None:
    """As above; the neighbour was never answered, and a third crash is the limit.

    Until the next run of either, which is isolated, both may be to blame.
    """
    registry = PoisonRegistry(BOUNDS)
    lose_with(registry, (CULPRIT,), range(1))
    lose_with(registry, (CULPRIT, NEIGHBOUR), range(1, 3))
    lose_with(registry, (CULPRIT + 10, NEIGHBOUR), range(3, 4))
    assert registry.n_crashes(NEIGHBOUR, 600.0) == 3
    assert registry.verdict(NEIGHBOUR, 600.0) is Verdict.SUSPECT
    lose_with(registry, (CULPRIT,), range(4, 5))
    assert registry.verdict(CULPRIT, 600.0) is Verdict.REFUSED
    assert registry.verdict(NEIGHBOUR, 600.0) is Verdict.SUSPECT


def test_neighbour_that_ends_two_silent_upstreams_alone_is_refused() -> None:
    """Guards against a culprit that goes on, as others explain its first crashes."""
    registry = PoisonRegistry(BOUNDS)
    registry.note_answered(NEIGHBOUR, -1.0)
    lose_with(registry, (CULPRIT, NEIGHBOUR), range(3))
    lose_with(registry, (NEIGHBOUR,), range(3, 5))
    assert registry.verdict(NEIGHBOUR, 600.0) is Verdict.REFUSED


def test_neighbour_of_a_refused_request_is_held_by_later_runs_only() -> None:
    """Guards against neighbours that wait for upstreams that the culprit has ended."""
    registry = PoisonRegistry(BOUNDS)
    lose_with(registry, (CULPRIT, NEIGHBOUR), range(2))
    registry.note_left(NEIGHBOUR, "e8", "", 500.0, 600.0)
    assert registry.is_held(NEIGHBOUR, 700.0)
    lose_with(registry, (CULPRIT,), range(2, 3))
    assert registry.verdict(CULPRIT, 700.0) is Verdict.REFUSED
    assert registry.verdict(NEIGHBOUR, 700.0) is Verdict.SUSPECT
    assert not registry.is_held(NEIGHBOUR, 700.0)
    registry.note_left(NEIGHBOUR, "e9", "", 710.0, 800.0)
    assert registry.is_held(NEIGHBOUR, 900.0)


def test_neighbour_is_held_by_runs_of_other_vms_before_this_one_asks() -> None:
    """Guards against a second culprit that runs once more at each VM that asks late."""
    registry = PoisonRegistry(BOUNDS)
    lose_with(registry, (CULPRIT, NEIGHBOUR), range(2))
    lose_with(registry, (CULPRIT,), range(2, 3))
    assert CULPRIT in registry.pop_newly_refused(700.0)
    registry.note_left(NEIGHBOUR, "e9", "", 710.0, 800.0)
    assert registry.is_held(NEIGHBOUR, 900.0)


def test_neighbour_with_a_crash_of_its_own_is_held_by_all_runs() -> None:
    """Guards against a second culprit that runs again before its last run is judged."""
    registry = PoisonRegistry(BOUNDS)
    lose_with(registry, (CULPRIT, NEIGHBOUR), range(2))
    lose_with(registry, (CULPRIT,), range(2, 3))
    lose_with(registry, (NEIGHBOUR,), range(3, 4))
    registry.note_left(NEIGHBOUR, "e8", "", 500.0, 600.0)
    assert registry.is_held(NEIGHBOUR, 700.0)


def test_suspect_is_not_held_by_a_run_that_is_counted() -> None:
    """Guards against neighbours that wait for runs on upstreams that have ended."""
    registry = PoisonRegistry(BOUNDS)
    lose(registry, "e0", 0.0)
    registry.note_started(CULPRIT, "e1", "", 2_500.0, 100.0)
    assert registry.is_held(CULPRIT, 1_000.0)
    lose(registry, "e1", 1_000.0)
    assert not registry.is_held(CULPRIT, 1_000.0)


def test_end_of_a_copy_does_not_hide_one_that_was_left_before() -> None:
    """Guards against a culprit whose second copy met a replica that had ended.

    The first one was given up as silent, and nothing else shows that it was on board.
    """
    registry = PoisonRegistry(BOUNDS)
    lose(registry, "e0", 0.0)
    registry.note_left(CULPRIT, "e1", "", 0.0, 500.0)
    registry.note_started(CULPRIT, "e1", "", 2_500.0, 900.0)
    registry.note_stopped(CULPRIT, "e1", 910.0)
    registry.ends.note_missing("e1", 1_300.0)
    assert registry.n_crashes(CULPRIT, 1_300.0) == 2


def test_end_of_an_unsuspected_copy_does_not_hide_one_that_was_left() -> None:
    """As above; no copy was announced, as the request is not suspected yet."""
    registry = PoisonRegistry(BOUNDS)
    registry.note_left(CULPRIT, "e0", "", 0.0, 120.0)
    registry.note_stopped(CULPRIT, "e0", 910.0)
    registry.ends.note_missing("e0", 1_300.0)
    assert registry.n_crashes(CULPRIT, 1_300.0) == 1


@pytest.mark.parametrize("has_ended", [False, True])
def test_copy_of_another_vm_does_not_hide_one_that_was_left(*, has_ended: bool) -> None:
    """Guards against sound requests that take the blame for a silent upstream.

    The culprit that ended it ran there again through another VM, which told of that.
    """
    registry, other = PoisonRegistry(BOUNDS), PoisonRegistry(BOUNDS)
    lose(other, "e0", 0.0)
    registry.note_left(CULPRIT, "e1", "", 0.0, 30.0)
    other.note_started(CULPRIT, "e1", "", 2_500.0, 900.0)
    registry.ends.observe_runs(other.ends.pop_changed_runs(), 910.0)
    if has_ended:
        other.note_stopped(CULPRIT, "e1", 950.0)
        registry.ends.observe_runs(other.ends.pop_changed_runs(), 960.0)
    registry.ends.note_missing("e1", 1_000.0)
    assert registry.ends.is_counted(CULPRIT, "e1")
