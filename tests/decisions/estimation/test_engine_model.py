"""Tests of the time to first token predicted from configured engine figures."""

from __future__ import annotations

import pytest

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.estimation import predict_first_token_ms

FIGURES = EngineFigures(8, 232_000, 206.0, step_ms=1.0, sequence_ms=0.01, stride=40)


def test_idle_engine_prefills_at_once() -> None:
    assert predict_first_token_ms(FIGURES, 0, 25.0) == pytest.approx(26.01)


def test_decoding_engine_prefills_within_its_passes() -> None:
    """Half a pass until the new request joins, and a pass in which it is prefilled."""
    pass_ms = 40 * (1.0 + 5 * 0.01)
    predicted_ms = predict_first_token_ms(FIGURES, 4, 25.0)
    assert predicted_ms == pytest.approx(1.5 * pass_ms + 25.0)
