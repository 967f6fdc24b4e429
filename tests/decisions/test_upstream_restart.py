"""The state of an upstream is reset when it restarts under the same name.

Load pattern: an engine crashes with long prompts running and is back a second later,
empty. A VM that still counts those prompts avoids the engine until their callers stop
waiting, while the other engines are full.
"""

from __future__ import annotations

from quetzaldeck.bundle.document import UpstreamSpec
from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.loads.load_report import LoadReport
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.memory import InFlightAttempt
from quetzaldeck.decisions.upstream_state import UpstreamState

FIRST = "1000"
SECOND = "2000"
SPEC = UpstreamSpec("e0", "10.0.0.1:80", models=("plans",), kv_tokens=400_000)


def make_faulty() -> UpstreamState:
    """:returns: an engine that looks full, slow, failing and dead"""
    state = UpstreamState(SPEC)
    state.note_incarnation(FIRST, 0.0)
    state.add(InFlightAttempt("a1", "q1", 300_000, 300_000, 0.0, 300_000))
    state.observe(LoadReport("e0", FIRST, 1, 0.0, 8, 4, 350_000, 0), 10.0)
    load = VmLoad(3, 90_000, 90_000, 3, Outcomes(0.0, 4.0), FIRST)
    state.update_peer_load("vm-b", load, 10.0)
    state.outcomes.note(10.0, is_answered=False)
    state.pace.note(5.0, 10.0)
    state.health.note_fault("a0", AttemptFault.CONNECT, 10.0)
    assert state.health.is_ejected
    return state


def test_restart_resets_the_state() -> None:
    state = make_faulty()
    state.note_incarnation(SECOND, 100.0)
    assert state.n_requests(100.0) == 0
    assert state.n_kv_tokens_used(100.0) == 0
    assert state.n_prefill_tokens() == 0
    assert state.own_load(0.0) == VmLoad(incarnation=SECOND)
    assert not state.outcomes_at(100.0).n_all
    assert not state.pace.is_slow(100.0)
    assert not state.health.is_ejected


def test_attempt_of_the_earlier_incarnation_is_released_once() -> None:
    """The attempt ends when its connection breaks, after the restart was noticed."""
    state = make_faulty()
    state.note_incarnation(SECOND, 100.0)
    state.mark_prefilled("a1")
    assert state.discard("a1")
    assert not state.discard("a1")
    assert state.n_kv_tokens_used() == 0


def test_late_report_of_the_earlier_incarnation_is_ignored() -> None:
    state = make_faulty()
    state.note_incarnation(SECOND, 100.0)
    state.observe(LoadReport("e0", FIRST, 99, 0.0, 8, 4, 350_000, 0), 120.0)
    assert state.n_requests(120.0) == 0
    state.observe(LoadReport("e0", SECOND, 100, 0.0, 2, 0, 0, 0), 130.0)
    assert state.n_requests(130.0) == 2


def test_unchanged_incarnation_keeps_the_state() -> None:
    state = make_faulty()
    state.note_incarnation(FIRST, 100.0)
    assert state.health.is_ejected
    assert state.n_kv_tokens_used() == 350_000


def test_upstream_without_incarnation_accepts_all_reports() -> None:
    state = UpstreamState(SPEC)
    state.note_incarnation("", 0.0)
    state.observe(LoadReport("e0", "e0", 1, 0.0, 5, 0, 0, 0), 10.0)
    assert state.n_requests(10.0) == 5
    assert not state.is_other_incarnation("")


def test_repeatedly_restarting_engine_is_ejected() -> None:
    state = UpstreamState(SPEC)
    for number in range(4):
        state.note_incarnation(str(1_000 + number), number * 2_000.0)
    assert state.health.is_ejected
