"""Tests of the pass model: pass durations follow from the configured figures."""

from __future__ import annotations

import pytest

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.engine_model import PassModel, PassWork

FIGURES = EngineFigures(
    n_slots=2,
    kv_tokens=100_000,
    tokens_per_ms=200.0,
    pairs_ms_per_million=0.1,
    step_ms=1.0,
    sequence_ms=0.5,
    context_ms_per_k=0.01,
    chunk_tokens=2_000,
    stride=10,
)


@pytest.fixture
def model() -> PassModel:
    return PassModel(FIGURES)


def make_work(work_id: str, n_tokens: int = 1_000, n_events: int = 3) -> PassWork:
    return PassWork(
        work_id,
        n_prefill_tokens=n_tokens,
        prefill_ms=FIGURES.prefill_ms(n_tokens),
        n_events=n_events,
        n_context_tokens=n_tokens,
        n_kv_tokens=n_tokens,
    )


def test_prompt_on_an_idle_engine_is_prefilled_chunk_by_chunk(model: PassModel) -> None:
    model.submit(make_work("a", n_tokens=6_000))
    passes = [model.run_pass() for _ in range(3)]
    assert [done.emitted for done in passes] == [(), (), ("a",)]
    prefill_ms = FIGURES.prefill_ms(6_000)
    total_ms = sum(done.duration_ms for done in passes)
    assert total_ms == pytest.approx(prefill_ms + 3 * FIGURES.step_ms)


def test_decoding_requests_emit_one_event_per_pass_of_many_steps(
    model: PassModel,
) -> None:
    model.submit(make_work("a"))
    model.submit(make_work("b"))
    model.run_pass()
    done = model.run_pass()
    assert set(done.emitted) == {"a", "b"}
    step_ms = FIGURES.step_ms + 2 * FIGURES.sequence_ms + 2 * FIGURES.context_ms_per_k
    assert done.duration_ms == pytest.approx(10 * step_ms)
    assert set(model.run_pass().finished) == {"a", "b"}
    assert model.is_idle
    assert model.n_kv_tokens_used == 0


def test_long_prompt_delays_the_decoding_of_others(model: PassModel) -> None:
    """A pass with decoding requests prefills up to one chunk in each step."""
    model.submit(make_work("short"))
    model.run_pass()
    model.submit(make_work("long", n_tokens=60_000))
    done = model.run_pass()
    assert done.emitted == ("short",)
    assert done.duration_ms > FIGURES.prefill_ms(60_000) / 60_000 * 20_000


def test_request_waits_for_a_slot_and_for_memory(model: PassModel) -> None:
    for work_id in ("a", "b", "c"):
        model.submit(make_work(work_id))
    model.run_pass()
    assert (model.n_running, model.n_waiting) == (2, 1)
    model.cancel("a")
    model.cancel("b")
    model.cancel("c")
    assert model.reserve("group", 99_500)
    model.submit(make_work("d"))
    model.run_pass()
    assert (model.n_running, model.n_waiting) == (0, 1)
    assert model.release("group")
    assert model.run_pass().emitted == ("d",)


def test_reserve_refuses_more_than_the_free_memory(model: PassModel) -> None:
    assert model.reserve("a", 60_000)
    assert model.reserve("a", 60_000)
    assert not model.reserve("b", 60_000)
    assert model.n_kv_tokens_used == 60_000
    assert not model.release("b")


def test_parts_for_other_engines_are_prefilled_first_and_take_no_slot(
    model: PassModel,
) -> None:
    for work_id in ("a", "b"):
        model.submit(make_work(work_id, n_tokens=4_000))
    part = PassWork("part", n_prefill_tokens=2_000, prefill_ms=10.0, n_events=0)
    model.submit(part)
    done = model.run_pass()
    assert done.prefilled == ("part",)
    assert model.n_running == 2
    assert model.n_parts == 0


def test_spread_prompt_is_decoded_once_all_parts_are_prefilled(
    model: PassModel,
) -> None:
    model.submit(
        PassWork(
            "a", n_prefill_tokens=1_000, prefill_ms=5.0, n_events=2, is_spread=True
        )
    )
    assert model.run_pass().prefilled == ("a",)
    idle = model.run_pass()
    assert (idle.duration_ms, idle.emitted) == (0.0, ())
    assert not model.note_parts_prefilled("a")
    assert model.run_pass().finished == ("a",)
