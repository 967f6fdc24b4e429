"""Requests that nobody waits for when their upstream ends."""

from __future__ import annotations

from quetzaldeck.decisions.poison import PoisonBounds, PoisonRegistry, Verdict

CULPRIT = 7
BYSTANDER = 8
BOUNDS = PoisonBounds(needs_proof=True)
LINGER_MS = BOUNDS.linger_ms


def leave(registry: PoisonRegistry, upstream: str, at_ms: float) -> None:
    """Let a caller of the culprit leave 30 ms after it was sent."""
    registry.note_left(CULPRIT, upstream, "", at_ms - 30.0, at_ms)


def test_ends_of_upstreams_that_were_left_count() -> None:
    """A request goes on ending upstreams, as its callers leave before they end."""
    registry = PoisonRegistry(BOUNDS)
    for index in range(3):
        leave(registry, f"e{index}", index * 5_000.0)
        assert registry.verdict(CULPRIT, index * 5_000.0) is not Verdict.REFUSED
        registry.ends.note_ended(f"e{index}", index * 5_000.0 + 60.0)
    assert registry.verdict(CULPRIT, 12_000.0) is Verdict.REFUSED


def test_end_seen_by_another_request_counts_against_what_was_left() -> None:
    """The connection of a bystander breaks; the culprit's caller had left before."""
    registry = PoisonRegistry(BOUNDS)
    for index in range(3):
        name, now_ms = f"e{index}", index * 5_000.0
        leave(registry, name, now_ms)
        registry.note_crash(100 + index, name, "", now_ms + 60.0, is_proven=False)
        registry.ends.note_ended(name, now_ms + 60.0)
    assert registry.verdict(CULPRIT, 12_000.0) is Verdict.REFUSED


def test_upstream_that_lives_on_clears_what_was_left_there() -> None:
    """Guards against a crash that counts against a request of a while ago."""
    registry = PoisonRegistry(BOUNDS)
    for index in range(4):
        name, now_ms = f"e{index}", index * 5_000.0
        leave(registry, name, now_ms)
        registry.ends.note_survived(name, now_ms + LINGER_MS)
        registry.ends.note_ended(name, now_ms + LINGER_MS + 1.0)
    assert registry.verdict(CULPRIT, 16_000.0) is Verdict.CLEAR


def test_answer_while_the_request_may_still_run_proves_nothing() -> None:
    """An upstream answers another request, and ends a moment later."""
    registry = PoisonRegistry(BOUNDS)
    for index in range(3):
        name, now_ms = f"e{index}", index * 5_000.0
        leave(registry, name, now_ms)
        registry.ends.note_survived(name, now_ms + LINGER_MS / 2)
        registry.ends.note_ended(name, now_ms + LINGER_MS / 2 + 1.0)
    assert registry.verdict(CULPRIT, 12_000.0) is Verdict.REFUSED


def test_request_that_is_left_does_not_become_a_suspect() -> None:
    """Guards against requests that are run apart since callers give up."""
    registry = PoisonRegistry(BOUNDS)
    for index in range(5):
        leave(registry, f"e{index}", 0.0)
    assert registry.verdict(CULPRIT, 1.0) is Verdict.CLEAR
    assert registry.pause_ms(CULPRIT, 1.0) == 0.0


def test_answered_request_is_not_blamed_for_a_copy_that_was_left() -> None:
    registry = PoisonRegistry(BOUNDS)
    for index in range(3):
        leave(registry, f"e{index}", 0.0)
    registry.note_answered(CULPRIT, 10.0)
    for index in range(3):
        registry.ends.note_ended(f"e{index}", 20.0)
    assert registry.verdict(CULPRIT, 30.0) is Verdict.CLEAR


def test_open_runs_stay_bounded() -> None:
    """Guards against memory that grows while all callers leave."""
    registry = PoisonRegistry(BOUNDS)
    for fingerprint in range(1, 500):
        registry.note_left(fingerprint, "e0", "", 0.0, 1.0)
    registry.ends.note_ended("e0", 2.0)
    assert len(registry) == BOUNDS.max_open_runs


def test_restart_within_seconds_that_crashes_again_counts_twice() -> None:
    """A replica starts again under its id at once, and the request ends it again."""
    registry = PoisonRegistry(BOUNDS)
    for index in range(3):
        at_ms = index * 400.0
        registry.note_crash(CULPRIT, "e0", str(1_000 + index), at_ms)
        registry.note_crash(CULPRIT, "e0", "1000", at_ms + 5.0)
    assert registry.verdict(CULPRIT, 1_000.0) is Verdict.REFUSED
    assert registry.n_crashes(CULPRIT, 1_000.0) == 3


def test_runs_on_the_next_incarnation_are_not_counted_with_an_earlier_one() -> None:
    """The proof of a crash comes after the replica has started again under its id."""
    registry = PoisonRegistry(BOUNDS)
    registry.note_left(CULPRIT, "e0", "1", 0.0, 10.0)
    registry.note_left(BYSTANDER, "e0", "2", 900.0, 910.0)
    registry.ends.note_ended("e0", 60.0, "1")
    now_ms = 1_000.0
    assert registry.verdict(CULPRIT, now_ms) is Verdict.SUSPECT
    assert registry.verdict(BYSTANDER, now_ms) is Verdict.CLEAR


def test_run_that_others_repeat_after_its_caller_has_left_counts() -> None:
    """Guards against crashes that nobody counts, as an echo revives an awaited run.

    What VMs repeat of a run may be old by the time that it has travelled.
    """
    sender, other = PoisonRegistry(), PoisonRegistry()
    for registry in (sender, other):
        registry.note_crash(1, "e0", "0", 0.0, run_ms=60.0)
    sender.note_started(1, "e1", "0", 2_000.0, 1_000.0)
    other.ends.observe_runs(sender.ends.pop_changed_runs(), 1_150.0)
    sender.note_stopped(1, "e1", 1_060.0)
    sender.note_left(1, "e1", "0", 1_000.0, 1_060.0)
    sender.ends.observe_runs(other.ends.list_runs(3, 1_200.0), 1_210.0)
    sender.ends.note_ended("e1", 1_600.0)
    assert sender.n_crashes(1, 1_600.0) == 2


def test_news_that_a_run_was_left_are_not_undone_by_older_ones() -> None:
    """Guards against suspects that start before it is known how the last one ended."""
    sender, other = PoisonRegistry(), PoisonRegistry()
    for registry in (sender, other):
        registry.note_crash(1, "e0", "0", 0.0, run_ms=60.0)
    sender.note_started(1, "e1", "0", 1_200.0, 1_000.0)
    started = sender.ends.pop_changed_runs()
    sender.note_left(1, "e1", "0", 1_000.0, 1_060.0)
    other.ends.observe_runs(sender.ends.pop_changed_runs(), 1_100.0)
    other.ends.observe_runs(started, 1_150.0)
    assert other.is_held(1, 1_560.0 + PoisonBounds().verify_ms - 10.0)


def test_greetings_repeat_a_run_beside_several_presumed_crashes() -> None:
    """Guards against copies through VMs that missed the news of a run."""
    teller, listener = PoisonRegistry(), PoisonRegistry()
    for number in range(4):
        leave(teller, f"e{number}", 100.0)
        teller.ends.note_missing(f"e{number}", 700.0)
    listener.note_crash(CULPRIT, "e0", "0", 0.0, run_ms=60.0)
    teller.note_started(CULPRIT, "e9", "0", 2_000.0, 1_000.0)
    listener.ends.observe_runs(teller.ends.list_runs(3, 1_200.0), 1_200.0)
    assert listener.is_held(CULPRIT, 1_200.0)


def test_greetings_repeat_a_run_whose_caller_has_left() -> None:
    """Guards against copies through VMs that missed the news that it was left."""
    teller, listener = PoisonRegistry(), PoisonRegistry()
    for registry in (teller, listener):
        registry.note_crash(CULPRIT, "e0", "0", 0.0, run_ms=60.0)
    leave(teller, "e9", 1_000.0)
    until_ms = 1_000.0 + PoisonBounds().linger_ms + PoisonBounds().verify_ms
    for now_ms in (1_200.0, until_ms - 100.0):
        missed = PoisonRegistry()
        missed.note_crash(CULPRIT, "e0", "0", 0.0, run_ms=60.0)
        missed.ends.observe_runs(teller.ends.list_runs(3, now_ms), now_ms)
        assert missed.is_held(CULPRIT, now_ms)
    assert teller.ends.list_runs(3, until_ms + 100.0) == []


def test_run_is_not_repeated_to_a_vm_that_knows_how_it_ended() -> None:
    """Guards against sound prompts that wait for a run that has ended."""
    teller, listener = PoisonRegistry(), PoisonRegistry()
    for registry in (teller, listener):
        registry.note_crash(CULPRIT, "e0", "0", 0.0, run_ms=60.0)
    leave(teller, "e9", 1_000.0)
    repeated = teller.ends.list_runs(3, 1_100.0)
    listener.note_crash(CULPRIT, "e9", "0", 1_050.0, run_ms=60.0)
    listener.ends.observe_runs(repeated, 1_110.0)
    assert not listener.is_held(CULPRIT, 1_110.0)


def test_run_that_was_left_is_not_prolonged_by_what_others_repeat() -> None:
    """Guards against a silent upstream that is not presumed to have ended in time."""
    sender, other = PoisonRegistry(), PoisonRegistry()
    for registry in (sender, other):
        registry.note_crash(CULPRIT, "e0", "0", 0.0, run_ms=60.0)
    leave(sender, "e1", 1_000.0)
    other.ends.observe_runs(sender.ends.pop_changed_runs(), 1_100.0)
    sender.ends.observe_runs(other.ends.list_runs(3, 1_200.0), 1_210.0)
    sender.ends.note_missing("e1", 1_000.0 + PoisonBounds().linger_ms + 50.0)
    assert sender.ends.is_presumed("e1")


def test_answer_to_a_suspect_ends_the_wait_of_other_vms() -> None:
    """Guards against sound requests that wait until the deadline of an answered run."""
    sender, other, late = PoisonRegistry(), PoisonRegistry(), PoisonRegistry()
    for registry in (sender, other, late):
        registry.note_crash(1, "e0", "0", 0.0, run_ms=60.0)
    sender.note_started(1, "e1", "0", 2_500.0, 1_000.0)
    started = sender.ends.pop_changed_runs()
    for registry in (other, late):
        registry.ends.observe_runs(started, 1_010.0)
    assert other.is_held(1, 1_010.0)
    sender.note_answered(1, 1_040.0)
    other.ends.observe_runs(sender.ends.pop_changed_runs(), 1_050.0)
    assert not other.is_held(1, 1_050.0)
    for registry in (sender, other):
        registry.ends.observe_runs(late.ends.list_runs(3, 1_060.0), 1_070.0)
        registry.note_crash(1, "e2", "0", 1_100.0, run_ms=60.0)
        assert not registry.is_held(1, 1_100.0)
