"""Tests of memory reservations in the engine model: limit, order, no deadlock."""

from __future__ import annotations

from quetzaldeck.engine_model import EngineModel, EngineProfile, Sequence

PROFILE = EngineProfile(kv_tokens=1_000, max_step_tokens=1_000)


def make_sequence(
    sequence_id: str, n_prompt_tokens: int, *, reservation_id: str = ""
) -> Sequence:
    return Sequence(
        sequence_id,
        n_prompt_tokens=n_prompt_tokens,
        max_output_tokens=10,
        reservation_id=reservation_id,
    )


def test_reserve_leaves_the_unreservable_share() -> None:
    model = EngineModel(PROFILE)
    assert model.max_reserved_tokens == 750
    assert model.reserve("a", 700)
    assert not model.reserve("b", 100)
    model.submit(make_sequence("short", 200))
    model.step()
    assert model.n_running == 1


def test_waiting_reservation_is_granted_under_a_stream_of_short_sequences() -> None:
    """A large reservation starves while short sequences keep arriving.

    Without an earmark each new sequence takes the memory that a finished one freed.
    """
    model = EngineModel(PROFILE)
    for index in range(4):
        model.submit(make_sequence(f"s{index}", 200))
    model.step()
    assert not model.reserve("large", 700)
    n_steps = 0
    while not model.reserve("large", 700):
        n_steps += 1
        model.submit(make_sequence(f"t{n_steps}", 200))
        model.step()
        assert n_steps < 50
    assert model.n_running <= 1
    model.release("large")
    model.step()
    assert model.n_running > 1


def test_reserved_sequence_is_not_blocked_by_one_that_waits_for_its_memory() -> None:
    """A deadlock between two sequences of the same priority.

    The first finds too little memory and waits for a reservation to end; the sequence
    that uses this reservation is behind it in the queue and never gets a token.
    """
    model = EngineModel(PROFILE)
    assert model.reserve("large", 700)
    model.submit(make_sequence("blocked", 500))
    model.submit(make_sequence("reserved", 600, reservation_id="large"))
    step = model.step()
    assert step.emitted == ("reserved",)


def test_release_cancels_the_sequences_that_use_the_reservation() -> None:
    model = EngineModel(PROFILE)
    assert model.reserve("large", 700)
    model.submit(make_sequence("reserved", 600, reservation_id="large"))
    model.step()
    assert model.n_reserved_left("large") == 90
    assert model.release("large")
    assert not model.release("large")
    assert model.is_idle
    assert model.n_kv_tokens_used == 0
