"""What on-call engineers see of an upstream that fails in part."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.builders import make_entry_scheduler

from quetzaldeck.decisions.health.outcomes import HALF_LIFE_MS, Outcomes
from quetzaldeck.gateway import failing_upstreams
from quetzaldeck.gateway.failing_upstreams import LOOK_MS, FailingUpstreams

if TYPE_CHECKING:
    import pytest

    from quetzaldeck.clock import ManualClock

NAMES = ("a", "b", "c")


def test_change_is_said_once_with_what_decided_it(
    clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A member complains of failed bookings; the log names the desk and its counts."""
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        failing_upstreams,
        "log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    scheduler = make_entry_scheduler(clock, NAMES)
    for state in scheduler.upstreams:
        is_faulty = state.spec.name == "b"
        outcomes = Outcomes(6.0, 4.0) if is_faulty else Outcomes(20.0, 0.0)
        state.outcomes.replace(outcomes, clock.now_ms())
    failing = FailingUpstreams(scheduler)
    failing.look(clock.now_ms())
    failing.look(clock.now_ms())
    clock.advance(LOOK_MS)
    failing.look(clock.now_ms())
    ((event, fields),) = lines
    assert event == "upstream_avoided"
    assert fields["upstream"] == "b"
    assert (fields["n_failed"], fields["n_answered"]) == (4.0, 6.0)
    clock.advance(2 * HALF_LIFE_MS)
    failing.look(clock.now_ms())
    assert lines[1:] == [("upstream_tried_again", {"upstream": "b"})]


def test_line_says_when_an_engine_is_slow_and_when_it_is_at_speed_again(
    clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        "quetzaldeck.gateway.failing_upstreams.log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    scheduler = make_entry_scheduler(clock, ("a", "b", "c"))
    failing = FailingUpstreams(scheduler)
    scheduler.fleet.observe_paces([("a", 1.0), ("b", 4.204)])
    for _ in range(2):
        failing.look(clock.now_ms())
        clock.advance(LOOK_MS)
    fields = {"level": "WARNING", "upstream": "b", "pace": 4.2}
    assert lines == [("engine_slow", fields)]
    scheduler.fleet.observe_paces([("b", 1.0)])
    failing.look(clock.now_ms())
    assert lines[1:] == [("engine_at_speed", {"upstream": "b"})]
