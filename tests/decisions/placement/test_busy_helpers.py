"""Huge prompts come faster than engines with few slots can help to read them.

An engine that helps as many others as it has slots refuses the next prompt that names
it. Taken for dead, it got no work for a second, and the prompt's next attempt named
another engine that was as busy: one prompt took five of fourteen engines out, and the
answers of all others waited for the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch
from quetzaldeck.decisions.health import UpstreamHealth
from quetzaldeck.decisions.peer_load import VmLoad

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
    """Let a helper refuse its part, and wait for the next attempt's turn."""
    is_member = dispatch.plan is not None and faulty in dispatch.upstreams
    fault = AttemptFault.OVERLOADED if is_member else AttemptFault.HELPER
    end = AttemptEnd(dispatch.attempt_id, fault, may_have_run=False, upstream=faulty)
    assert scheduler.end_attempt(end) is None
    clock.advance(1_000)


def test_engine_that_helps_others_on_all_its_slots_is_not_named(
    clock: ManualClock,
) -> None:
    """Other VMs tell that all engines but three help four prompts each."""
    scheduler = make_entry_scheduler(clock, NAMES)
    full = NAMES[:11]
    share = VmLoad(4, 4_000, 0, n_parts=4)
    scheduler.fleet.observe_peer("other", [(name, share) for name in full])
    dispatch = send(scheduler, clock, LONG)
    assert dispatch.helpers
    assert not set(dispatch.helpers) & set(full)


def test_group_has_no_member_that_helps_others_on_all_its_slots(
    clock: ManualClock,
) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    full = NAMES[:7]
    share = VmLoad(4, 4_000, 0, n_parts=4)
    scheduler.fleet.observe_peer("other", [(name, share) for name in full])
    dispatch = send(scheduler, clock, HUGE)
    assert dispatch.plan is not None
    assert not set(dispatch.plan.upstreams) & set(full)


def test_own_parts_count_until_they_are_read(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock, LONG)
    (helper, *_) = dispatch.helpers
    state = scheduler.upstreams.get(helper)
    assert state is not None
    assert state.own_load(clock.now_ms()).n_parts == 1
    scheduler.note_first_token(dispatch.attempt_id)
    assert state.own_load(clock.now_ms()).n_parts == 0


def test_prompt_refused_by_busy_helpers_takes_no_engine_out(
    clock: ManualClock,
) -> None:
    """In each attempt another helper refuses; all engines go on taking work."""
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


def test_helper_that_is_dead_is_taken_out_after_a_second_prompt() -> None:
    health = UpstreamHealth()
    health.note_fault("a", AttemptFault.HELPER, 0.0)
    assert not health.is_ejected
    health.note_fault("b", AttemptFault.HELPER, 10.0)
    assert health.is_ejected


def test_helper_that_answers_between_two_refusals_is_not_dead() -> None:
    health = UpstreamHealth()
    health.note_fault("a", AttemptFault.HELPER, 0.0)
    health.note_success("c", 5.0)
    health.note_fault("b", AttemptFault.HELPER, 10.0)
    assert not health.is_ejected
