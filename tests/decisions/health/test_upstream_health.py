"""Judging the health of upstreams, from evidence to reaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.support.builders import make_report, make_request, make_scheduler, make_state

from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch
from quetzaldeck.decisions.health import HealthBounds, HealthState, UpstreamHealth
from quetzaldeck.decisions.pools import list_usable

if TYPE_CHECKING:
    from quetzaldeck.decisions.upstream_state import UpstreamState

BOUNDS = HealthBounds()


@pytest.mark.parametrize(
    ("fault", "n_needed", "state"),
    [
        (AttemptFault.CONNECT, 1, HealthState.DEAD),
        (AttemptFault.BROKEN, 2, HealthState.DEAD),
        (AttemptFault.FAILED, 2, HealthState.DEAD),
        (AttemptFault.SILENT, 2, HealthState.SILENT),
    ],
)
def test_note_fault_ejects_on_enough_evidence(
    fault: AttemptFault, n_needed: int, state: HealthState
) -> None:
    health = UpstreamHealth()
    for _ in range(n_needed - 1):
        assert health.note_fault("a", fault, 0.0) is None
    assert health.note_fault("a", fault, 0.0) is state
    assert health.state(0.0, None) is state


def test_single_silent_reads_do_not_eject() -> None:
    """Guards against ejecting a healthy engine whose connections went silent.

    That would needlessly move its load to the other engines.
    """
    health = UpstreamHealth()
    health.note_fault("a", AttemptFault.SILENT, 0.0)
    health.note_success("b", 1.0)
    health.note_fault("c", AttemptFault.SILENT, 2.0)
    assert not health.is_ejected


def test_hold_doubles_until_a_probe_succeeds() -> None:
    health = UpstreamHealth()
    health.note_fault("a", AttemptFault.CONNECT, 0.0)
    holds = []
    now_ms = 0.0
    for index in range(6):
        holds.append(health.hold_until_ms - now_ms)
        now_ms = health.hold_until_ms
        assert health.may_probe(now_ms)
        health.start_probe(f"p{index}")
        assert not health.may_probe(now_ms)
        health.note_fault(f"p{index}", AttemptFault.CONNECT, now_ms)
    assert holds == [1_000, 2_000, 4_000, 8_000, 15_000, 15_000]
    health.start_probe("good")
    health.note_success("good", now_ms)
    assert health.state(now_ms, None) is HealthState.WARMING
    assert health.state(now_ms + BOUNDS.warm_up_ms, None) is HealthState.HEALTHY


def test_probe_without_evidence_allows_the_next_one() -> None:
    """Guards against a probe that counts as running for ever and blocks all others.

    Its caller disconnects before there is an answer, so it ends without evidence.
    """
    health = UpstreamHealth()
    health.note_fault("a", AttemptFault.CONNECT, 0.0)
    health.start_probe("p")
    health.release_probe("p")
    assert health.may_probe(health.hold_until_ms)


def test_restarts_in_a_row_are_a_crash_loop() -> None:
    """Guards against an engine that restarts and crashes over and over.

    Each restart looks like a recovery, and the requests sent after it are lost again.
    """
    health = UpstreamHealth()
    for index in range(3):
        health.note_restart(index * 5_000.0)
    assert health.state(10_000.0, None) is HealthState.CRASH_LOOPING
    health.note_success("early", 11_000.0)
    assert health.is_ejected
    assert not health.may_probe(10_000.0 + BOUNDS.stable_ms - 1)
    assert health.may_probe(10_000.0 + BOUNDS.stable_ms)
    health.note_success("late", 10_000.0 + BOUNDS.stable_ms)
    assert not health.is_ejected


def test_slow_upstream_costs_more_and_is_not_ejected() -> None:
    health = UpstreamHealth()
    for _ in range(BOUNDS.n_latencies):
        health.note_first_token(1_000, 600.0, 0.0)
    assert health.slow_factor(0.1, 0.0) == pytest.approx(4.0)
    assert health.state(0.0, 0.1) is HealthState.SLOW
    assert health.slow_factor(0.3, 0.0) == 1.0


def test_slowness_decays_with_time() -> None:
    """Guards against an engine that was slow for a while and never gets requests again.

    Without requests there are no new latencies that could correct the judgement.
    """
    health = UpstreamHealth()
    for _ in range(BOUNDS.n_latencies):
        health.note_first_token(1_000, 600.0, 0.0)
    later_ms = BOUNDS.slow_half_life_ms
    assert health.slow_factor(0.1, later_ms) == pytest.approx(2.5)
    assert health.slow_factor(0.1, 5 * later_ms) == 1.0


def test_overdue_first_token_counts_as_slow() -> None:
    health = UpstreamHealth()
    assert health.slow_factor(0.1, 0.0, pending_ms_per_token=0.3) == pytest.approx(3.0)


def test_overloaded_answer_ends_an_ejection() -> None:
    health = UpstreamHealth()
    health.note_fault("a", AttemptFault.CONNECT, 0.0)
    health.start_probe("p")
    assert health.note_fault("p", AttemptFault.OVERLOADED, 1_000.0) is None
    assert not health.is_ejected


def make_pool(n_upstreams: int) -> list[UpstreamState]:
    return [make_state(f"e{index}") for index in range(n_upstreams)]


def test_list_usable_limits_ejections_for_silence() -> None:
    """Guards against ejecting a whole pool when the VM's own network drops packets."""
    pool = make_pool(9)
    for now_ms, state in enumerate(pool):
        for _ in range(2):
            state.health.note_fault("a", AttemptFault.SILENT, float(now_ms))
    usable = list_usable(pool)
    assert [state.spec.name for state in usable] == ["e5", "e4", "e3", "e2", "e1", "e0"]


def test_list_usable_never_empties_a_pool() -> None:
    pool = make_pool(4)
    for state in pool:
        state.health.note_fault("a", AttemptFault.CONNECT, 0.0)
    assert len(list_usable(pool)) == 2


def test_scheduler_probes_with_a_request_and_readmits_the_upstream() -> None:
    clock = ManualClock(1_000.0)
    scheduler = make_scheduler(clock, ("e0", "e1"))
    state = scheduler.upstreams.get("e0")
    assert state is not None
    state.health.note_fault("x", AttemptFault.CONNECT, clock.now_ms())
    used = []
    for index in range(20):
        scheduler.submit(make_request(f"r{index}", now_ms=clock.now_ms()))
        (dispatch,) = scheduler.poll()
        assert isinstance(dispatch, Dispatch)
        used.append(dispatch.upstreams[0])
        scheduler.note_first_token(dispatch.attempt_id)
        scheduler.end_attempt(AttemptEnd(dispatch.attempt_id))
        clock.advance(100.0)
    assert used[:10] == ["e1"] * 10
    assert used[10] == "e0"
    assert not state.health.is_ejected


@pytest.mark.parametrize(
    ("fault", "wait_ms"),
    [(AttemptFault.CONNECT, 5_000.0), (AttemptFault.BROKEN, 60_000.0)],
)
def test_non_repeatable_request_probes_only_when_overdue(
    fault: AttemptFault, wait_ms: float
) -> None:
    """Guards against a replica that stays ejected for ever as no request can probe it.

    A request that must not be repeated may be lost as a probe, so it is used only after
    a longer wait. But a service may get no other requests to probe a replica with.
    """
    clock = ManualClock(1_000.0)
    scheduler = make_scheduler(clock, ("e0", "e1"))
    state = scheduler.upstreams.get("e0")
    assert state is not None
    for _ in range(2):
        state.health.note_fault("x", fault, clock.now_ms())
    request = make_request(now_ms=1_000.0, timeout_ms=1e6)
    request = request._replace(is_repeatable=False)
    placements = []
    for at_ms in (wait_ms - 1, wait_ms):
        now_ms = state.health.hold_until_ms + at_ms
        placements.append(scheduler.placer.place(request, (), now_ms))
    assert placements == [("e1",), ("e0",)]


def test_leaving_upstream_gets_no_new_requests_or_retries() -> None:
    clock = ManualClock(1_000.0)
    scheduler = make_scheduler(clock, ("e0", "e1"))
    scheduler.fleet.observe([make_report("e0"), make_report("e1")], leaving=("e0",))
    for index in range(10):
        scheduler.submit(make_request(f"r{index}", n_prompt_tokens=500))
    dispatches = [d for d in scheduler.poll() if isinstance(d, Dispatch)]
    for dispatch in dispatches:
        scheduler.end_attempt(AttemptEnd(dispatch.attempt_id, AttemptFault.FAILED))
    clock.advance(1_000.0)
    dispatches += [d for d in scheduler.poll() if isinstance(d, Dispatch)]
    assert {d.upstreams for d in dispatches} == {("e1",)}
