"""What the metrics show of the information by which requests are placed.

Load: engines that look full to a VM or whose loads are old, while requests wait.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry

from quetzaldeck.bench.even_load import Case
from quetzaldeck.decisions import Request
from quetzaldeck.decisions.attempts.tracked import TrackedRequest
from quetzaldeck.decisions.decision import Dispatch
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.upstream_state import UpstreamState
from quetzaldeck.telemetry.placement_metrics import PlacementMetrics

REQUEST = Request("r", "c", "m", 5_000, 100, 5, 0.0, 10_000.0)


def make_state() -> UpstreamState:
    bundle = Case(1, 50.0, n_engines=1).build_scenario().build_bundle()
    return UpstreamState(bundle.upstreams[0])


def test_age_counts_from_the_latest_load() -> None:
    """Guards against an age that stays low while no load arrives."""
    state = make_state()
    assert state.load_age_ms(0.0) is None
    state.update_peer_load("a", VmLoad(1), 100.0)
    assert state.load_age_ms(350.0) == 250.0
    state.note_incarnation("first", 400.0)
    state.note_incarnation("second", 400.0)
    assert state.load_age_ms(500.0) is None


def test_engine_is_idle_up_to_a_quarter_of_its_slots() -> None:
    state = make_state()
    state.update_peer_load("a", VmLoad(1), 0.0)
    assert state.is_idle(0.0)
    state.update_peer_load("b", VmLoad(1), 0.0)
    assert not state.is_idle(0.0)


def test_wait_counts_only_while_an_engine_is_idle() -> None:
    """Guards against counting waits for which no engine had a free slot."""
    tracked = TrackedRequest(REQUEST, 5_000)
    for at_ms, has_idle in ((0, True), (100, True), (200, False), (300, True)):
        tracked = tracked.note_refused(float(at_ms), has_idle=has_idle)
    assert tracked.idle_wait_ms == 100.0


def test_metrics_show_age_wait_and_slots() -> None:
    registry = CollectorRegistry()
    metrics = PlacementMetrics(registry)
    metrics.watch_slots(lambda: [("engine-0", 4)])
    dispatch = Dispatch(REQUEST, ("engine-0",), "r.1", 1)
    metrics.observe(dispatch)
    metrics.observe(dispatch._replace(load_age_ms=200.0, idle_wait_ms=50.0))
    values = {
        name: registry.get_sample_value(f"quetzaldeck_{name}")
        for name in (
            "placement_load_age_seconds_sum",
            "wait_beside_idle_seconds_count",
        )
    }
    assert list(values.values()) == [0.2, 1.0]
    used = registry.get_sample_value(
        "quetzaldeck_engine_slots_in_use", {"upstream": "engine-0"}
    )
    assert used == 4.0
