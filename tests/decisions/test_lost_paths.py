"""What a scheduler does with requests whose upstreams its VM does not reach."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.support.builders import (
    MODEL,
    make_entry_scheduler,
    make_request,
    poll_dispatch,
)

from quetzaldeck.decisions import AttemptEnd, AttemptFault, Rejection
from quetzaldeck.decisions.paths import PathVerdict
from quetzaldeck.decisions.placement.placer import PROBE_PAUSE_MS
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.outcomes import Ran, Reason

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

NAMES = ("e0", "e1", "e2")


@pytest.mark.parametrize("verdict", [PathVerdict.PARTITIONED, PathVerdict.DOWN])
def test_request_that_no_upstream_can_get_is_refused_at_once(
    clock: ManualClock, verdict: PathVerdict
) -> None:
    """Callers wait for their deadlines, though it is known that nobody answers."""
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.observe_path(MODEL, verdict)
    failure = scheduler.submit(make_request(now_ms=clock.now_ms()))
    assert failure is not None
    assert (failure.reason, failure.ran) == (Reason.NO_PATH, Ran.NO)
    # Only where the path is at fault does another VM serve the caller at once.
    assert (failure.retry_after_ms == 0.0) is (verdict is PathVerdict.PARTITIONED)


def test_request_waits_while_the_cause_is_open(clock: ManualClock) -> None:
    """Requests use up their attempts on replicas that this VM does not reach."""
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.observe_path(MODEL, PathVerdict.UNREACHED)
    assert scheduler.submit(make_request(now_ms=clock.now_ms())) is None
    assert scheduler.poll() == []
    scheduler.observe_path(MODEL, PathVerdict.PARTITIONED)
    (decision,) = scheduler.poll()
    assert isinstance(decision, Rejection)
    failure = decision.failure
    assert (failure.reason, failure.ran) == (Reason.NO_PATH, Ran.NO)


def test_request_that_waited_is_sent_when_the_path_is_back(clock: ManualClock) -> None:
    """Requests that waited for a verdict wait on after it."""
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.observe_path(MODEL, PathVerdict.UNREACHED)
    scheduler.submit(make_request(now_ms=clock.now_ms()))
    scheduler.poll()
    scheduler.observe_path(MODEL, PathVerdict.REACHED)
    assert poll_dispatch(scheduler).upstreams[0] in NAMES


def test_only_retries_wait_while_a_path_is_in_doubt(clock: ManualClock) -> None:
    """One crash holds up all requests until a probe is answered."""
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.submit(make_request("first", now_ms=clock.now_ms()))
    dispatch = poll_dispatch(scheduler)
    scheduler.observe_path(MODEL, PathVerdict.DOUBTED)
    end = AttemptEnd(
        dispatch.attempt_id, AttemptFault.BROKEN, upstream=dispatch.upstreams[0]
    )
    assert scheduler.end_attempt(end) is None
    scheduler.submit(make_request("second", now_ms=clock.now_ms()))
    assert poll_dispatch(scheduler).request.request_id == "second"
    clock.advance(200.0)
    assert scheduler.poll() == []
    scheduler.observe_path(MODEL, PathVerdict.REACHED)
    clock.advance(PROBE_PAUSE_MS)
    assert poll_dispatch(scheduler).request.request_id == "first"


@pytest.mark.parametrize(
    ("is_repeatable", "expected"),
    [(True, SilenceVerdict.NO_PATH), (False, SilenceVerdict.NO_RETRY)],
)
def test_silent_attempt_is_offered_only_if_another_vm_may_run_it(
    clock: ManualClock, expected: SilenceVerdict, *, is_repeatable: bool
) -> None:
    """An attempt hangs until its deadline, or a booking runs twice."""
    scheduler = make_entry_scheduler(clock, NAMES)
    request = make_request(now_ms=clock.now_ms())
    scheduler.submit(request._replace(is_repeatable=is_repeatable))
    dispatch = poll_dispatch(scheduler)
    scheduler.observe_path(MODEL, PathVerdict.PARTITIONED)
    assert scheduler.judge_silence(dispatch.attempt_id, 1_000.0) is expected
