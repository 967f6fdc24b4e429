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
