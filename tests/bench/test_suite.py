"""Tests of the report of ``make bench``, on small runs."""

from __future__ import annotations

import msgspec
import pytest

from quetzaldeck.bench.json_report import encode_report
from quetzaldeck.bench.prediction import check_predictions
from quetzaldeck.bench.run import run_scenario
from quetzaldeck.bench.scenario import FleetShape, Scenario
from quetzaldeck.bench.suite import BenchReport, LoadEntry, mixture_at
from quetzaldeck.bench.summary import summarise
from quetzaldeck.bench.table import render_tables
from quetzaldeck.bench.workload import Mixture
from quetzaldeck.decisions.policies import BASELINE_LEAST_REPORTED, Policies

SMALL = FleetShape(n_vms=3, n_engines=4, n_services=1)


def test_mixture_follows_the_length_distribution() -> None:
    calls = Mixture(20.0, 500_000.0, plain_per_second=1.0).draw_calls()
    lengths = [call.n_prompt_tokens for call in calls if call.model]
    over = sum(length > 100_000 for length in lengths) / len(lengths)
    assert over == pytest.approx(1 / 50, rel=0.2)
    assert min(lengths) >= 1_000
    assert 500_000 < max(lengths) <= 1_000_000


def test_mixture_at_offers_the_requested_load() -> None:
    """Guards against a mean prefill time that is estimated from too few lengths.

    The load would then differ from the requested share by chance.
    """
    mixture = mixture_at(0.5, duration_ms=1_000_000.0)._replace(plain_per_second=0.0)
    work_ms = sum(
        c.n_prompt_tokens / 20.0 * (1 + c.n_prompt_tokens / 400_000)
        for c in mixture.draw_calls()
    )
    assert work_ms / (14 * 1_000_000.0) == pytest.approx(0.5, rel=0.1)


def test_summary_counts_unanswered_calls_with_their_deadline() -> None:
    """A policy must not look fast because it fails all slow calls."""
    mixture = Mixture(60.0, 5_000.0, plain_per_second=1.0)
    scenario = Scenario("full", mixture.draw_calls(), SMALL)
    summary = summarise(run_scenario(scenario, BASELINE_LEAST_REPORTED))
    short = summary.classes["short"]
    assert short.n_answered < short.n
    assert short.ttft_ms.p99 == 30_000.0


def test_check_predictions_counts_both_directions() -> None:
    mixture = Mixture(60.0, 10_000.0, plain_per_second=1.0, max_resends=1)
    policies = Policies(admission="predicted_wait_probed")
    result = run_scenario(Scenario("full", mixture.draw_calls(), SMALL), policies)
    check = check_predictions(result)
    assert 0 <= check.n_falsely_refused <= check.n_probed
    assert 0 < check.n_late < check.n_admitted
    assert check.n_probed > 0
    assert 0 < check.n_resent_admitted <= check.n_resent


def test_render_tables_shows_every_entry() -> None:
    scenario = Scenario("x", Mixture(5.0, 5_000.0).draw_calls(), SMALL)
    summary = summarise(run_scenario(scenario))
    entries = tuple(
        LoadEntry("default", profile, 0.8, 1, summary)
        for profile in ("short_requests", "first_token")
    )
    report = BenchReport(entries, entries, (), {}, ())
    table = render_tables(report)
    assert table.count("default, short_requests") == 2 + 5
    assert "## 80% of what the engines can prefill" in table
    written = msgspec.json.decode(encode_report(report))
    assert written["loads"][1]["profile"] == "first_token"
    assert written["loads"][0]["summary"]["classes"]["short"]["ttft_ms"]["n"] > 0
