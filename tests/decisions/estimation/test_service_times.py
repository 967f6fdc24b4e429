"""Tests of service times and drain rates, learned under load and decayed after it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.estimation import BiasCorrection, DrainRate, ServiceTimes

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

    MakeRequest = Callable[..., Request]


def test_prediction_decays_to_the_minimum_time_without_samples(
    make_request: MakeRequest,
) -> None:
    times = ServiceTimes()
    request = make_request(2_000)
    for at_ms in range(40):
        times.learn_first_token(request, 120.0 if at_ms < 5 else 5_000.0, float(at_ms))
    loaded_ms = times.predict_first_token_ms(request, 40.0)
    later_ms = times.predict_first_token_ms(request, 200_000.0)
    assert loaded_ms > 3_000.0
    assert later_ms == pytest.approx(times.fastest_ms(request), rel=0.05)


def test_prediction_does_not_scale_contention_to_much_longer_prompts(
    make_request: MakeRequest,
) -> None:
    """Short prompts take a tenth of a second alone and lose a second to contention.

    Scaled by length, that contention would be minutes for a very long prompt, which
    would be refused although it is never delayed so much (5 of 8 were refused).
    """
    times = ServiceTimes()
    for _ in range(50):
        times.learn_first_token(make_request(1_500), 95.0, 0.0)
        times.learn_first_token(make_request(1_500), 1_200.0, 0.0)
    long = make_request(200_000)
    predicted_ms = times.predict_first_token_ms(long, 0.0)
    assert predicted_ms < times.fastest_ms(long) + 2_000.0


def test_minimum_time_is_not_learned_from_the_first_slow_answers(
    make_request: MakeRequest,
) -> None:
    """A VM starts under load, and all its first answers are slow.

    If they defined the minimum time, the VM would give up on requests that could still
    complete in time.
    """
    times = ServiceTimes()
    request = make_request(100_000)
    before_ms = times.fastest_ms(request)
    for _ in range(5):
        times.learn_first_token(request, 90_000.0, 0.0)
    assert times.fastest_ms(request) <= before_ms


def test_drain_rate_counts_only_time_with_a_backlog() -> None:
    rate = DrainRate(0.0)
    rate.note_dispatched(1_000, 50_000.0)
    rate.note_backlog(100_000.0, is_backlogged=True)
    for step in range(1, 201):
        rate.note_dispatched(1_000, 100_000.0 + step * 100.0)
    assert rate.tokens_per_ms(120_000.0) == pytest.approx(10.0, rel=0.1)


def test_drain_rate_falls_while_nothing_is_dispatched() -> None:
    rate = DrainRate(0.0)
    rate.note_backlog(0.0, is_backlogged=True)
    for step in range(1, 101):
        rate.note_dispatched(1_000, step * 100.0)
    before = rate.tokens_per_ms(10_000.0)
    assert rate.tokens_per_ms(40_000.0) < 0.5 * before


def test_bias_correction_is_bounded_and_decays() -> None:
    correction = BiasCorrection()
    assert correction.factor(0.0) == 1.0
    for _ in range(100):
        correction.learn(100.0, 60_000.0, 0.0)
    assert correction.factor(0.0) == 1.5
    assert correction.factor(1e6) == pytest.approx(1.0, abs=0.01)


def test_engine_figures_give_the_minimum_time_from_the_first_request(
    make_request: MakeRequest,
) -> None:
    """The first request of a newly started VM has a prompt of 600,000 tokens.

    By the reference for its length it would take 37 s and always be refused; by the
    engines' figures, seventeen of them prefill it in under two seconds.
    """
    figures = EngineFigures(8, 232_000, 206.0, pairs_ms_per_million=0.138)
    times = ServiceTimes()
    longest = make_request(600_000)
    assert times.fastest_ms(longest) > 30_000.0
    times.set_engine_figures(figures, 17)
    assert (
        times.fastest_ms(longest) == figures.prefill_ms(600_000, n_parts=17) < 2_000.0
    )
    short = make_request(2_000)
    for _ in range(30):
        times.learn_first_token(short, 300.0, 0.0)
    assert times.fastest_ms(longest) < 2_000.0, (
        "contention must not change the minimum time"
    )
    assert times.predict_first_token_ms(longest, 0.0) < 2_500.0
