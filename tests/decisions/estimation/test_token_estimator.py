"""Tests of estimated prompt tokens, corrected by the counts that engines report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quetzaldeck.decisions.estimation import TokenEstimator
from quetzaldeck.decisions.estimation.token_estimator import MAX_KEYS

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

    MakeRequest = Callable[..., Request]


def learn(
    estimator: TokenEstimator, request: Request, ratio: float, n: int = 20
) -> None:
    for _ in range(n):
        corrected = estimator.correct(request)
        n_actual = round(request.n_prompt_tokens * ratio)
        estimator.learn(corrected, request.n_prompt_tokens, n_actual, 0.0)


def test_correct_learns_each_customer_separately(make_request: MakeRequest) -> None:
    """Prompts in Nepali have twice the tokens that their length suggests."""
    estimator = TokenEstimator()
    nepali = make_request(10_000, customer="kathmandu")
    french = make_request(10_000, customer="regie")
    learn(estimator, nepali, 2.0)
    learn(estimator, french, 1.1)
    assert estimator.correct(nepali).n_prompt_tokens == pytest.approx(20_000, rel=0.05)
    assert estimator.correct(french).n_prompt_tokens == pytest.approx(11_000, rel=0.05)
    assert estimator.mean_error < 0.35


def test_correct_overestimates_when_prompts_vary(make_request: MakeRequest) -> None:
    estimator = TokenEstimator()
    request = make_request(10_000)
    for n_actual in (8_000, 12_000) * 20:
        estimator.learn(estimator.correct(request), 10_000, n_actual, 0.0)
    assert 11_000 < estimator.correct(request).n_prompt_tokens < 13_000


def test_learn_bounds_the_effect_of_wrong_counts(make_request: MakeRequest) -> None:
    estimator = TokenEstimator()
    request = make_request(1_000)
    learn(estimator, request, 1e6, n=5)
    assert estimator.correct(request).n_prompt_tokens <= 10_000


def test_learn_keeps_a_bounded_number_of_customers(
    make_request: MakeRequest,
) -> None:
    estimator = TokenEstimator()
    for index in range(2 * MAX_KEYS):
        request = make_request(customer=f"c{index}")
        estimator.learn(request, 1_000, 1_000, 0.0)
    assert len(estimator._averages) == MAX_KEYS


def test_correct_leaves_requests_to_plain_services_unchanged(
    make_request: MakeRequest,
) -> None:
    estimator = TokenEstimator()
    learn(estimator, make_request(), 3.0)
    request = make_request(1, model="", service="desk")
    assert estimator.correct(request) is request
