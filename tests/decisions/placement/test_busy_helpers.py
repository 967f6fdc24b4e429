"""Helpers that refuse prompt parts because they are busy.

An engine that prefills parts for as many prompts as it has slots refuses the next one.
When the refusal was treated as a failure of the engine, the engine got no work for a
second, and the next attempt named another busy engine: one prompt ejected five of
fourteen engines, and all other requests waited for the remaining nine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch
from quetzaldeck.decisions.health import UpstreamHealth
from quetzaldeck.decisions.loads.peer_load import VmLoad

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Scheduler

NAMES = tuple(f"engine-{n:02}" for n in range(14))
HUGE = 200_000
LONG = 40_000
N_ATTEMPTS = 3


def send(scheduler: Scheduler, clock: ManualClock, n_tokens: int) -> Dispatch:
    request = make_request(
        n_prompt_tokens=n_tokens, max_output_tokens=700, now_ms=clock.now_ms()
    )
    assert scheduler.submit(request) is None
    return poll_dispatch(scheduler)


def refuse(
    scheduler: Scheduler, clock: ManualClock, dispatch: Dispatch, faulty: str
) -> None:
    """Let a helper refuse its part, and advance the clock to the next attempt."""
    is_member = dispatch.plan is not None and faulty in dispatch.upstreams
    fault = AttemptFault.OVERLOADED if is_member else AttemptFault.HELPER
    end = AttemptEnd(dispatch.attempt_id, fault, may_have_run=False, upstream=faulty)
    assert scheduler.end_attempt(end) is None
    clock.advance(1_000)


def test_engine_with_all_helper_slots_taken_is_not_a_helper(
    clock: ManualClock,
) -> None:
    """Other VMs report four prompt parts on each engine but three."""
    scheduler = make_entry_scheduler(clock, NAMES)
    full = NAMES[:11]
    load = VmLoad(4, 4_000, 0, n_parts=4)
    scheduler.fleet.observe_peer("other", [(name, load) for name in full])
    dispatch = send(scheduler, clock, LONG)
    assert dispatch.helpers
    assert not set(dispatch.helpers) & set(full)


def test_engine_with_all_helper_slots_taken_is_not_a_group_member(
    clock: ManualClock,
) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    full = NAMES[:7]
    load = VmLoad(4, 4_000, 0, n_parts=4)
    scheduler.fleet.observe_peer("other", [(name, load) for name in full])
    dispatch = send(scheduler, clock, HUGE)
    assert dispatch.plan is not None
    assert not set(dispatch.plan.upstreams) & set(full)


def test_own_parts_count_until_the_first_token(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock, LONG)
    (helper, *_) = dispatch.helpers
    state = scheduler.upstreams.get(helper)
    assert state is not None
    assert state.own_load(clock.now_ms()).n_parts == 1
    scheduler.note_first_token(dispatch.attempt_id)
    assert state.own_load(clock.now_ms()).n_parts == 0


def test_refusals_of_busy_helpers_eject_no_engine(
    clock: ManualClock,
) -> None:
    """A different helper refuses in each attempt; no engine is ejected."""
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock, LONG)
    refused: list[str] = []
    for _ in range(N_ATTEMPTS):
        faulty = dispatch.helpers[0]
        assert faulty not in refused
        refused.append(faulty)
        refuse(scheduler, clock, dispatch, faulty)
        dispatch = poll_dispatch(scheduler)
        assert not set(dispatch.helpers) & set(refused)
    assert not any(state.health.is_ejected for state in scheduler.upstreams)


def test_group_is_planned_without_the_member_that_refused(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock, HUGE)
    assert dispatch.plan is not None
    faulty = dispatch.plan.upstreams[0]
    refuse(scheduler, clock, dispatch, faulty)
    again = poll_dispatch(scheduler)
    assert again.plan is not None
    assert faulty not in again.plan.upstreams
    assert not any(state.health.is_ejected for state in scheduler.upstreams)


def test_dead_helper_is_ejected_after_a_second_prompt() -> None:
    health = UpstreamHealth()
    health.note_fault("a", AttemptFault.HELPER, 0.0)
    assert not health.is_ejected
    health.note_fault("b", AttemptFault.HELPER, 10.0)
    assert health.is_ejected


def test_helper_that_answers_between_two_refusals_is_not_ejected() -> None:
    health = UpstreamHealth()
    health.note_fault("a", AttemptFault.HELPER, 0.0)
    health.note_success("c", 5.0)
    health.note_fault("b", AttemptFault.HELPER, 10.0)
    assert not health.is_ejected
