"""Tests of the scheduling parameters derived from the profile of a bundle."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quetzaldeck.bundle import Weights
from quetzaldeck.decisions.tuning import PROFILE_WEIGHTS, tune

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.bundle import Bundle

    MakeBundle = Callable[..., Bundle]


def test_short_requests_profile_favours_short_requests(
    make_bundle: MakeBundle,
) -> None:
    short = tune(make_bundle(profile="short_requests"))
    first = tune(make_bundle(profile="first_token"))
    assert short.stretch > first.stretch
    assert short.long_share < first.long_share
    assert short.short_headroom > first.short_headroom


@pytest.mark.parametrize("profile", ["short_requests", "first_token"])
def test_explicit_weights_of_a_profile_give_its_parameters(
    profile: str, make_bundle: MakeBundle
) -> None:
    explicit = make_bundle(profile="explicit", weights=PROFILE_WEIGHTS[profile])
    assert tune(explicit) == pytest.approx(tune(make_bundle(profile=profile)))


@pytest.mark.parametrize(
    "weights", [Weights(1.0, 1.0), Weights(0.0, 0.0), Weights(1.0, 0.0), Weights(0, 9)]
)
def test_explicit_weights_give_parameters_within_limits(
    weights: Weights, make_bundle: MakeBundle
) -> None:
    tuning = tune(make_bundle(profile="explicit", weights=weights))
    assert tuning.stretch >= 1.0
    assert 0.0 <= tuning.long_share <= 0.5
    assert 0.0 <= tuning.max_short_share <= 0.7
    assert tuning.short_headroom >= 0.0
