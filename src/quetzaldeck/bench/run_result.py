"""Result of one simulated run."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.bench.call_result import CallResult
from quetzaldeck.bench.scenario import Scenario
from quetzaldeck.decisions.policies import Policies


class RunResult(NamedTuple):
    """Outcomes of all calls, and the state of the engines at the end of a run.

    :param calls: one result per call, in order of the scenario's calls
    :param engine_utilisation: share of time that engines spent in steps, up to the
        last arrival
    :param n_kv_tokens_left: KV cache tokens that engines still hold at the end
    :param n_crashed: engines that are down at the end
    :param probed: ids of requests admitted against the prediction, to verify it
    """

    scenario: Scenario
    policies: Policies
    calls: tuple[CallResult, ...]
    engine_utilisation: float
    n_kv_tokens_left: int = 0
    n_crashed: int = 0
    probed: frozenset[str] = frozenset()


__all__ = ("RunResult",)
