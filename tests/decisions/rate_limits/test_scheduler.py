"""The scheduler of one VM in front of engines that limit their rate.

Load pattern: an engine in need takes one request a second from all VMs, while callers
send this VM alone several times as many.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Scheduler

NAMES = tuple(f"engine-{n:02}" for n in range(6))
LIMITED = NAMES[:2]
HUGE = 200_000
LONG = 40_000


def submit(
    scheduler: Scheduler, clock: ManualClock, n_tokens: int = 1_000
) -> Dispatch | Failure:
    """:returns: the refusal of a request, or its dispatch"""
    request = make_request(
        f"r{clock.now_ms():.0f}",
        n_prompt_tokens=n_tokens,
        now_ms=clock.now_ms(),
        timeout_ms=3_000.0,
    )
    return scheduler.submit(request) or poll_dispatch(scheduler)


def limit(scheduler: Scheduler, names: tuple[str, ...], rate: float | None) -> None:
    for name in names:
        scheduler.fleet.observe_rate_limit(name, rate)


def refuse_permit(
    scheduler: Scheduler, dispatch: Dispatch, upstream: str, wait_ms: float
) -> Failure | None:
    end = AttemptEnd(
        dispatch.attempt_id,
        AttemptFault.RATE_LIMITED,
        may_have_run=False,
        was_sent=False,
        upstream=upstream,
        retry_after_ms=wait_ms,
    )
    return scheduler.end_attempt(end)


def test_request_without_a_permit_goes_elsewhere_at_once(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    limit(scheduler, NAMES[:5], 1.0)
    sent = []
    for _ in range(20):
        dispatch = submit(scheduler, clock)
        assert isinstance(dispatch, Dispatch)
        while dispatch.upstreams[-1] in NAMES[:5]:
            assert dispatch.max_permit_wait_ms == 0, "another engine takes it at once"
            assert (
                refuse_permit(scheduler, dispatch, dispatch.upstreams[-1], 5_000.0)
                is None
            )
            dispatch = poll_dispatch(scheduler)
        sent.append(dispatch.n_attempt)
        scheduler.end_attempt(AttemptEnd(dispatch.attempt_id))
        clock.advance(10)
    assert max(sent) > 1
    assert sent[-10:] == [1] * 10, "engines known to take none are not tried again"


def test_request_that_none_takes_in_time_is_refused_at_once(clock: ManualClock) -> None:
    """Callers waited until their deadline for engines that were known to take none."""
    scheduler = make_entry_scheduler(clock, LIMITED)
    limit(scheduler, LIMITED, 0.5)
    for name in LIMITED:
        scheduler.fleet.note_permit_refused(name, 4_000.0)
    failure = submit(scheduler, clock)
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.UPSTREAM_RATE_LIMITED
    assert failure.ran is Ran.NO
    assert failure.retry_after_ms is not None
    assert 4_000 <= failure.retry_after_ms <= 6_000


def test_request_waits_for_a_turn_that_comes_in_time(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, LIMITED)
    limit(scheduler, LIMITED, 1.0)
    scheduler.fleet.note_permit_refused(LIMITED[0], 1_200.0)
    scheduler.fleet.note_permit_refused(LIMITED[1], 700.0)
    dispatch = submit(scheduler, clock)
    assert isinstance(dispatch, Dispatch)
    assert dispatch.upstreams == (LIMITED[1],)
    assert 700 <= dispatch.max_permit_wait_ms <= 1_500
    failure = refuse_permit(scheduler, dispatch, LIMITED[1], 2_500.0)
    assert failure is None, "the other engine still takes it in time"
    dispatch = poll_dispatch(scheduler)
    assert dispatch.upstreams == (LIMITED[0],)
    failure = refuse_permit(scheduler, dispatch, LIMITED[0], 2_500.0)
    assert failure is not None
    assert failure.reason is Reason.UPSTREAM_RATE_LIMITED


def test_queued_request_is_refused_once_no_turn_comes_in_time(
    clock: ManualClock,
) -> None:
    """A request waits for a free slot when all engines begin to limit their rate."""
    scheduler = make_entry_scheduler(clock, LIMITED)
    while isinstance(submit(scheduler, clock), Dispatch):
        clock.advance(1)
        if scheduler.n_running == 8:
            break
    waiting = make_request("late", now_ms=clock.now_ms(), timeout_ms=3_000.0)
    assert scheduler.submit(waiting) is None
    assert scheduler.poll() == []
    limit(scheduler, LIMITED, 0.2)
    for name in LIMITED:
        scheduler.fleet.note_permit_refused(name, 5_000.0)
    (rejection,) = scheduler.poll()
    assert rejection.request.request_id == "late"


def test_engine_in_need_reads_no_parts_of_other_prompts(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    limit(scheduler, LIMITED, 1.0)
    dispatch = submit(scheduler, clock, LONG)
    assert isinstance(dispatch, Dispatch)
    assert dispatch.helpers
    assert not set(dispatch.helpers) & set(LIMITED)


def test_group_leaves_out_engines_that_take_none_now(clock: ManualClock) -> None:
    """A prompt above one engine's memory reserves some on engines in need as well."""
    scheduler = make_entry_scheduler(clock, NAMES)
    limit(scheduler, NAMES, 1.0)
    for name in LIMITED:
        scheduler.fleet.note_permit_refused(name, 2_000.0)
    dispatch = submit(scheduler, clock, HUGE)
    assert isinstance(dispatch, Dispatch)
    assert dispatch.plan is not None
    assert not set(dispatch.upstreams) & set(LIMITED)


def test_engine_whose_limit_has_ended_takes_requests_again(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, LIMITED)
    limit(scheduler, LIMITED, 0.5)
    for name in LIMITED:
        scheduler.fleet.note_permit_refused(name, 4_000.0)
    limit(scheduler, LIMITED[:1], None)
    dispatch = submit(scheduler, clock)
    assert isinstance(dispatch, Dispatch)
    assert dispatch.upstreams == (LIMITED[0],)
    assert dispatch.max_permit_wait_ms == 0


def test_wait_for_a_turn_does_not_count_as_silence(clock: ManualClock) -> None:
    """Engines that had not got the request yet were taken for failing ones."""
    scheduler = make_entry_scheduler(clock, LIMITED)
    limit(scheduler, LIMITED, 1.0)
    for name in LIMITED:
        scheduler.fleet.note_permit_refused(name, 1_200.0)
    dispatch = submit(scheduler, clock)
    assert isinstance(dispatch, Dispatch)
    clock.advance(1_200)
    scheduler.note_sent(dispatch.attempt_id)
    clock.advance(100)
    scheduler.withdraw(dispatch.request.request_id)
    state = scheduler.upstreams.get(dispatch.upstreams[-1])
    assert state is not None
    assert not state.outcomes_at(clock.now_ms()).n_failed


def test_request_does_not_try_one_limited_engine_after_the_other(
    clock: ManualClock,
) -> None:
    """Each refused permit costs a round trip; twenty of them failed the request."""
    scheduler = make_entry_scheduler(clock, NAMES)
    limit(scheduler, NAMES[:5], 1.0)
    for name in NAMES[5:]:
        scheduler.fleet.observe_peer("other", [(name, VmLoad(3, 9_000, 20_000))])
    dispatch = submit(scheduler, clock)
    for _ in range(2):
        assert isinstance(dispatch, Dispatch)
        upstream = dispatch.upstreams[-1]
        assert upstream in NAMES[:5]
        assert refuse_permit(scheduler, dispatch, upstream, 500.0) is None
        dispatch = poll_dispatch(scheduler)
    assert isinstance(dispatch, Dispatch)
    assert dispatch.upstreams == NAMES[5:]


def test_request_queues_for_its_turn_after_two_refusals(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    limit(scheduler, NAMES, 1.0)
    dispatch = submit(scheduler, clock)
    for _ in range(2):
        assert isinstance(dispatch, Dispatch)
        assert dispatch.max_permit_wait_ms == 0
        upstream = dispatch.upstreams[-1]
        assert refuse_permit(scheduler, dispatch, upstream, 500.0) is None
        dispatch = poll_dispatch(scheduler)
    assert isinstance(dispatch, Dispatch)
    assert dispatch.max_permit_wait_ms > 0
