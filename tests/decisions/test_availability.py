"""Decisions on upstreams that ask for rest, or say that they leave.

Load pattern: an upstream turns requests away while it runs nothing, so that it looks
idle; then several, then all of a service.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

import pytest
from tests.support.builders import (
    FEW_SLOTS,
    make_entry_scheduler,
    make_request,
    make_scheduler,
    poll_dispatch,
)

from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch, Rejection
from quetzaldeck.decisions.availability import (
    ClosureCause,
    UpstreamStatements,
    find_closure,
)
from quetzaldeck.decisions.availability.statements import (
    MAX_UPSTREAMS,
    RETURN_SPREAD_MS,
    TRIAL_MS,
)
from quetzaldeck.decisions.explanations import Outcome, WaitCause
from quetzaldeck.decisions.health.turn_aways import FIRST_HOLD_MS
from quetzaldeck.decisions.placement.exclusion import Exclusion
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Scheduler

NAMES = ("e0", "e1", "e2")
REST_MS = 3_000.0


class Rest(NamedTuple):
    """An upstream asks for rest at a time."""

    at_ms: float
    rest_ms: float
    incarnation: str = ""


def make_statements() -> UpstreamStatements:
    return UpstreamStatements(random_state=random.Random(1))


@pytest.mark.parametrize(
    ("rests", "current", "until_ms"),
    [
        ([Rest(0.0, REST_MS)], "", REST_MS),
        ([Rest(0.0, REST_MS), Rest(100.0, 500.0)], "", REST_MS),
        ([Rest(0.0, 500.0), Rest(100.0, REST_MS)], "", REST_MS + 100.0),
        ([Rest(0.0, REST_MS, "7")], "7", REST_MS),
        ([Rest(0.0, REST_MS, "7")], "", REST_MS),
        ([Rest(0.0, REST_MS, "7")], "8", None),
        ([Rest(0.0, REST_MS, "8"), Rest(1.0, 9_000.0, "7")], "8", REST_MS),
        ([Rest(0.0, 9_000.0, "7"), Rest(1.0, REST_MS, "8")], "8", REST_MS + 1.0),
    ],
)
def test_rest_holds_for_its_incarnation(
    rests: list[Rest], current: str, until_ms: float | None
) -> None:
    """Guards against rests cut short, and against one that a new process inherits."""
    statements = make_statements()
    for at_ms, rest_ms, incarnation in rests:
        statements.note_rest("e0", incarnation, rest_ms, at_ms)
    found = statements.find("e0", current)
    if until_ms is None:
        assert found is None
        return
    assert found is not None
    assert until_ms <= found.rest_until_ms <= until_ms + RETURN_SPREAD_MS
    assert statements.find("e1") is None


def test_statements_end_and_are_bounded() -> None:
    """Guards against memory that grows with every replica that ever was."""
    statements = make_statements()
    for index in range(MAX_UPSTREAMS + 10):
        statements.note_leaving(f"r{index}", "")
    assert len(statements) == MAX_UPSTREAMS
    statements.note_leaving("anonymous", "", until_ms=60_000.0)
    statements.note_rest("resting", "", REST_MS, 0.0)
    statements.expire(REST_MS)
    assert statements.find("resting") is not None
    statements.expire(61_000.0)
    assert statements.find("resting") is None
    assert statements.find("anonymous") is None
    assert statements.find(f"r{MAX_UPSTREAMS}") is not None


def rest(scheduler: Scheduler, clock: ManualClock, *names: str) -> None:
    for name in names:
        statements = scheduler.upstreams.statements
        statements.note_rest(name, "", REST_MS, clock.now_ms())


def submit(
    scheduler: Scheduler, clock: ManualClock, *, timeout_ms: float = 60_000.0
) -> Dispatch | Failure | None:
    """:returns: the dispatch of a request, or its refusal; ``None`` if it waits"""
    request = make_request(
        f"r{random.random()}", now_ms=clock.now_ms(), timeout_ms=timeout_ms
    )
    failure = scheduler.submit(request)
    if failure is not None:
        return failure
    return next((d for d in scheduler.poll() if isinstance(d, Dispatch)), None)


def turn_away(dispatch: Dispatch) -> AttemptEnd:
    return AttemptEnd(
        dispatch.attempt_id,
        AttemptFault.RESTING,
        may_have_run=False,
        upstream=dispatch.upstreams[-1],
    )


@pytest.fixture(params=["entry", "own"])
def scheduler(request: pytest.FixtureRequest, clock: ManualClock) -> Scheduler:
    """:returns: schedulers with the policies of both interfaces"""
    make = make_entry_scheduler if request.param == "entry" else make_scheduler
    return make(clock, NAMES)


def test_refused_request_goes_elsewhere_at_once_and_so_do_others(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against an idle-looking upstream that attracts all requests."""
    dispatch = submit(scheduler, clock)
    assert isinstance(dispatch, Dispatch)
    resting = dispatch.upstreams[-1]
    rest(scheduler, clock, resting)
    assert scheduler.end_attempt(turn_away(dispatch)) is None
    assert poll_dispatch(scheduler).upstreams[-1] != resting
    for _ in range(6):
        clock.advance(REST_MS / 10)
        placed = submit(scheduler, clock)
        assert isinstance(placed, Dispatch)
        assert placed.upstreams[-1] != resting


@pytest.mark.parametrize("is_listed", [False, True])
def test_list_does_not_revoke_what_an_upstream_says(
    scheduler: Scheduler, clock: ManualClock, *, is_listed: bool
) -> None:
    """Guards against a list that still says ready, and undoes the upstream's word."""
    scheduler.upstreams.statements.note_leaving("e0", "")
    scheduler.fleet.observe((), ("e0",) if is_listed else ())
    scheduler.fleet.observe((), ())
    for _ in range(4):
        placed = submit(scheduler, clock)
        assert isinstance(placed, Dispatch)
        assert placed.upstreams[-1] != "e0"


def test_request_waits_or_is_refused_where_all_rest(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against callers who wait in vain, or return before the rests end."""
    rest(scheduler, clock, *NAMES)
    assert submit(scheduler, clock) is None
    failure = submit(scheduler, clock, timeout_ms=REST_MS / 2)
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.UPSTREAM_RESTING
    assert failure.ran is Ran.NO
    assert failure.retry_after_ms is not None
    longest_ms = REST_MS + RETURN_SPREAD_MS + TRIAL_MS
    assert REST_MS <= failure.retry_after_ms <= longest_ms


def test_requests_that_waited_do_not_arrive_all_at_once(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against a queue that is sent to an upstream as soon as it has rested."""
    rest(scheduler, clock, *NAMES)
    for _ in range(5):
        assert submit(scheduler, clock) is None
    clock.advance(REST_MS + RETURN_SPREAD_MS)
    trials = [d for d in scheduler.poll() if isinstance(d, Dispatch)]
    assert sorted(d.upstreams[-1] for d in trials) == list(NAMES)
    scheduler.note_first_token(trials[0].attempt_id)
    accepted = [d for d in scheduler.poll() if isinstance(d, Dispatch)]
    assert {d.upstreams[-1] for d in accepted} == {trials[0].upstreams[-1]}


def test_upstream_that_accepts_nothing_in_its_trial_is_used_again(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against one long request that keeps all others waiting."""
    rest(scheduler, clock, *NAMES)
    clock.advance(REST_MS + RETURN_SPREAD_MS)
    for _ in NAMES:
        assert isinstance(submit(scheduler, clock), Dispatch)
    assert submit(scheduler, clock) is None
    clock.advance(TRIAL_MS)
    assert any(isinstance(d, Dispatch) for d in scheduler.poll())


def test_waiting_requests_are_refused_if_the_last_upstream_leaves(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against requests that wait for upstreams which have said they leave."""
    rest(scheduler, clock, *NAMES)
    assert submit(scheduler, clock) is None
    for name in NAMES:
        scheduler.upstreams.statements.note_leaving(name, "")
    (decision,) = scheduler.poll()
    assert isinstance(decision, Rejection)
    assert decision.failure.reason is Reason.NO_UPSTREAM
    failure = submit(scheduler, clock)
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.NO_UPSTREAM


def test_diversion_uses_up_no_attempt(scheduler: Scheduler, clock: ManualClock) -> None:
    """Guards against a last check that spends the attempts of a request."""
    dispatch = submit(scheduler, clock)
    assert isinstance(dispatch, Dispatch)
    rest(scheduler, clock, dispatch.upstreams[-1])
    end = turn_away(dispatch)._replace(was_sent=False)
    assert scheduler.end_attempt(end) is None
    again = poll_dispatch(scheduler)
    assert again.upstreams != dispatch.upstreams
    history = scheduler._tracked[again.request.request_id].history
    assert (history.n_not_run, history.n_diverted) == (0, 1)


def test_resting_engines_read_no_part_of_a_prompt(clock: ManualClock) -> None:
    """Guards against helpers and members of groups that have asked for rest."""
    names = tuple(f"e{index}" for index in range(8))
    scheduler = make_entry_scheduler(clock, names)
    rest(scheduler, clock, *names[:3])
    for n_tokens in (60_000, 300_000):
        request = make_request(
            f"r{n_tokens}", n_prompt_tokens=n_tokens, now_ms=clock.now_ms()
        )
        assert scheduler.submit(request) is None
        dispatch = poll_dispatch(scheduler)
        assert len({*dispatch.upstreams, *dispatch.helpers}) > 1
        assert not {*dispatch.upstreams, *dispatch.helpers} & {*names[:3]}


def test_explanation_names_the_rest_and_its_end(clock: ManualClock) -> None:
    """Guards against an operator who cannot see why upstreams get nothing."""
    scheduler = make_entry_scheduler(clock, NAMES)
    rest(scheduler, clock, *NAMES)
    request = make_request(now_ms=clock.now_ms())
    waits = scheduler.explain(request)
    assert (waits.outcome, waits.wait_cause) == (Outcome.WAITS, WaitCause.REST)
    for candidate in waits.candidates:
        assert candidate.excluded_by is Exclusion.RESTING
        assert candidate.closed_ms is not None
        assert REST_MS <= candidate.closed_ms <= REST_MS + RETURN_SPREAD_MS
    scheduler.upstreams.statements.note_leaving("e0", "")
    excluded = {c.name: c.excluded_by for c in scheduler.explain(request).candidates}
    assert excluded["e0"] is Exclusion.LEAVING


@pytest.mark.parametrize("is_full", [False, True])
def test_idle_upstream_that_refuses_is_avoided_for_a_moment(
    clock: ManualClock, *, is_full: bool
) -> None:
    """Guards against an upstream that refuses without a time and attracts all work."""
    scheduler = make_entry_scheduler(clock, NAMES)
    for _ in range(FEW_SLOTS.n_slots * 2 if is_full else 0):
        assert isinstance(submit(scheduler, clock), Dispatch)
    dispatch = submit(scheduler, clock)
    assert isinstance(dispatch, Dispatch)
    refusing = dispatch.upstreams[-1]
    end = turn_away(dispatch)._replace(fault=AttemptFault.OVERLOADED)
    assert scheduler.end_attempt(end) is None
    state = scheduler.upstreams.get(refusing)
    assert state is not None
    assert state.is_refusing(clock.now_ms()) is not is_full
    clock.advance(FIRST_HOLD_MS)
    assert not state.is_refusing(clock.now_ms())
    for other in scheduler.upstreams:
        other.note_turned_away(clock.now_ms())
    assert submit(scheduler, clock) is not None, "if all refuse, none is avoided"


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_listed_leaving_closes_an_upstream(*, is_evacuated: bool) -> None:
    """Guards against new work for a replica whose entry says that it leaves."""
    closure = find_closure(None, 0.0, is_listed_leaving=True, is_evacuated=is_evacuated)
    assert closure is not None
    assert closure.cause is ClosureCause.LEAVING
