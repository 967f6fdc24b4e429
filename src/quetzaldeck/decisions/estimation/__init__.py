"""Estimators of token counts, service times and drain rates, learned from answers."""

from __future__ import annotations

from quetzaldeck.decisions.estimation.correction import BiasCorrection
from quetzaldeck.decisions.estimation.drain_rate import DrainRate
from quetzaldeck.decisions.estimation.engine_model import predict_first_token_ms
from quetzaldeck.decisions.estimation.moving_average import MovingAverage
from quetzaldeck.decisions.estimation.service_times import ServiceTimes
from quetzaldeck.decisions.estimation.token_estimator import TokenEstimator

__all__ = (
    "BiasCorrection",
    "DrainRate",
    "MovingAverage",
    "ServiceTimes",
    "TokenEstimator",
    "predict_first_token_ms",
)
