"""Tests of the log lines on upstreams that partly fail or are slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.builders import make_entry_scheduler

from quetzaldeck.decisions.health.outcomes import HALF_LIFE_MS, Outcomes
from quetzaldeck.gateway import degraded_upstreams
from quetzaldeck.gateway.degraded_upstreams import (
    CHECK_INTERVAL_MS,
    DegradedUpstreamsLog,
)

if TYPE_CHECKING:
    import pytest

    from quetzaldeck.clock import ManualClock

NAMES = ("a", "b", "c")


def test_change_is_logged_once_with_its_counts(
    clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against missing or repeated log lines on an upstream that partly fails.

    On-call engineers find the upstream and its counts in one line, and get another line
    when it is used again.
    """
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        degraded_upstreams,
        "log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    scheduler = make_entry_scheduler(clock, NAMES)
    for state in scheduler.upstreams:
        is_faulty = state.spec.name == "b"
        outcomes = Outcomes(6.0, 4.0) if is_faulty else Outcomes(20.0, 0.0)
        state.outcomes.replace(outcomes, clock.now_ms())
    degraded_log = DegradedUpstreamsLog(scheduler)
    degraded_log.check(clock.now_ms())
    degraded_log.check(clock.now_ms())
    clock.advance(CHECK_INTERVAL_MS)
    degraded_log.check(clock.now_ms())
    ((event, fields),) = lines
    assert event == "upstream_avoided"
    assert fields["upstream"] == "b"
    assert (fields["n_failed"], fields["n_answered"]) == (4.0, 6.0)
    clock.advance(2 * HALF_LIFE_MS)
    degraded_log.check(clock.now_ms())
    assert lines[1:] == [("upstream_tried_again", {"upstream": "b"})]


def test_change_is_logged_when_an_engine_is_slow_and_when_it_recovers(
    clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        "quetzaldeck.gateway.degraded_upstreams.log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    scheduler = make_entry_scheduler(clock, ("a", "b", "c"))
    degraded_log = DegradedUpstreamsLog(scheduler)
    scheduler.fleet.observe_paces([("a", 1.0), ("b", 4.204)])
    for _ in range(2):
        degraded_log.check(clock.now_ms())
        clock.advance(CHECK_INTERVAL_MS)
    fields = {"level": "WARNING", "upstream": "b", "pace": 4.2}
    assert lines == [("engine_slow", fields)]
    scheduler.fleet.observe_paces([("b", 1.0)])
    degraded_log.check(clock.now_ms())
    assert lines[1:] == [("engine_at_speed", {"upstream": "b"})]
