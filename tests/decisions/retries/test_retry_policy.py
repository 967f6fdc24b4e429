"""Tests that only safe retries are made, within the deadline and the budget."""

from __future__ import annotations

import random

import pytest
from tests.support.builders import make_request

from quetzaldeck.decisions import AttemptEnd, AttemptFault
from quetzaldeck.decisions.retries import (
    AttemptHistory,
    ResendBudget,
    Retry,
    RetryBounds,
    RetryBudget,
    RetryPolicy,
)
from quetzaldeck.outcomes import Failure, Ran, Reason

NOW_MS = 1_000.0


def make_policy(
    bounds: RetryBounds | None = None, resend_budget: ResendBudget | None = None
) -> RetryPolicy:
    return RetryPolicy(
        random_state=random.Random(1), bounds=bounds, resend_budget=resend_budget
    )


def decide(
    end: AttemptEnd,
    *,
    history: AttemptHistory | None = None,
    policy: RetryPolicy | None = None,
    is_repeatable: bool = True,
    timeout_ms: float = 60_000.0,
) -> Retry | Failure:
    request = make_request(timeout_ms=timeout_ms)._replace(is_repeatable=is_repeatable)
    history = (history or AttemptHistory()).after(end, ("e0",))
    return (policy or make_policy()).decide(request, end, history, NOW_MS)


def test_decide_draws_the_first_backoff_from_the_whole_range() -> None:
    delays = []
    for seed in range(200):
        policy = RetryPolicy(random_state=random.Random(seed))
        retry = decide(AttemptEnd("a", AttemptFault.BROKEN), policy=policy)
        assert isinstance(retry, Retry)
        delays.append(retry.due_ms - NOW_MS)
    assert max(delays) <= RetryBounds().base_delay_ms
    assert max(delays) - min(delays) > RetryBounds().base_delay_ms / 2


def test_decide_waits_for_the_retry_after_of_the_upstream() -> None:
    end = AttemptEnd("a", AttemptFault.FAILED, retry_after_ms=3_000)
    retry = decide(end)
    assert isinstance(retry, Retry)
    assert retry.due_ms >= NOW_MS + 3_000


def test_request_goes_elsewhere_at_once_if_its_upstream_rests() -> None:
    """Guards against a request that waits for one upstream while others are free."""
    retry = decide(AttemptEnd("a", AttemptFault.RESTING, may_have_run=False))
    assert isinstance(retry, Retry)
    assert retry.due_ms == NOW_MS


def test_decide_fails_at_once_if_the_retry_would_miss_the_deadline() -> None:
    """The upstream asks for a retry after the caller's deadline.

    The caller should get the failure now instead of at its deadline.
    """
    end = AttemptEnd("a", AttemptFault.FAILED, retry_after_ms=3_000)
    failure = decide(end, timeout_ms=2_000)
    assert isinstance(failure, Failure)
    assert failure.reason is Reason.UPSTREAM_FAILED
    assert failure.retry_after_ms == 3_000


@pytest.mark.parametrize(
    ("may_have_run", "n_output_tokens", "ran"),
    [(False, 0, Ran.NO), (True, 0, Ran.UNKNOWN), (True, 3, Ran.YES)],
)
def test_decide_reports_whether_the_request_ran(
    *, may_have_run: bool, n_output_tokens: int, ran: Ran
) -> None:
    end = AttemptEnd(
        "a",
        AttemptFault.BROKEN,
        n_output_tokens=n_output_tokens,
        may_have_run=may_have_run,
    )
    failure = decide(end, timeout_ms=0.0)
    assert isinstance(failure, Failure)
    assert failure.ran is ran


def test_decide_reports_an_earlier_attempt_that_may_have_run() -> None:
    """The connection to one engine breaks, then a second engine refuses the connection.

    The second attempt did not run, but the first one may have.
    """
    first = AttemptEnd("a", AttemptFault.BROKEN)
    history = AttemptHistory().after(first, ("e0",))
    end = AttemptEnd("b", AttemptFault.CONNECT, may_have_run=False)
    failure = decide(end, history=history, timeout_ms=0.0)
    assert isinstance(failure, Failure)
    assert failure.ran is Ran.UNKNOWN


def test_decide_retries_a_non_repeatable_request_only_if_it_did_not_run() -> None:
    not_run = AttemptEnd("a", AttemptFault.CONNECT, may_have_run=False)
    maybe_run = AttemptEnd("a", AttemptFault.BROKEN)
    assert isinstance(decide(not_run, is_repeatable=False), Retry)
    assert isinstance(decide(maybe_run, is_repeatable=False), Failure)


def test_decide_fails_when_the_budget_is_spent() -> None:
    """A zone fails under load, and all its requests with it.

    Without the budget, each would be retried on engines that already carry the load of
    the lost zone.
    """
    policy = make_policy(RetryBounds(min_retry_tokens=2_500))
    end = AttemptEnd("a", AttemptFault.BROKEN)
    results = [decide(end, policy=policy) for _ in range(10)]
    retries = [result for result in results if isinstance(result, Retry)]
    refused = [result for result in results if isinstance(result, Failure)]
    assert len(retries) == 3
    assert {failure.reason for failure in refused} == {Reason.RETRY_BUDGET_SPENT}
    assert all(failure.retry_after_ms for failure in refused)


def test_decide_charges_nothing_for_a_refused_connection() -> None:
    policy = make_policy(RetryBounds(min_retry_tokens=1))
    end = AttemptEnd("a", AttemptFault.CONNECT, may_have_run=False)
    assert all(isinstance(decide(end, policy=policy), Retry) for _ in range(10))
    assert policy.budget.retried_tokens == 0


def test_budget_allows_one_request_larger_than_its_bound() -> None:
    budget = RetryBudget(ratio=0.2, min_retry_tokens=1_000, half_life_ms=1_000)
    assert budget.try_spend(1_000_000, 0.0)
    assert not budget.try_spend(1, 0.0)


def test_budget_decays_with_time() -> None:
    budget = RetryBudget(ratio=0.2, min_retry_tokens=1_000, half_life_ms=1_000)
    budget.deposit(10_000, 0.0)
    assert budget.allowed_tokens == pytest.approx(3_000)
    assert budget.try_spend(4_000, 0.0)
    assert not budget.try_spend(1, 0.0)
    assert budget.try_spend(1, 2_000.0)
    assert budget.allowed_tokens == pytest.approx(1_500)


def test_retry_that_the_resend_budget_refuses_uses_up_no_work_budget() -> None:
    """Guards against retries that are refused although their work is within its budget.

    A service fails all its requests, so that its resends are spent. The requests of
    another service are retried by the same VM.
    """
    resends = ResendBudget(ratio=0.0, window_ms=10_000.0, min_resends=0)
    policy = make_policy(RetryBounds(min_retry_tokens=2_500), resends)
    end = AttemptEnd("a", AttemptFault.BROKEN)
    assert all(isinstance(decide(end, policy=policy), Failure) for _ in range(5))
    assert policy.budget.retried_tokens == 0


def test_silent_attempt_without_a_retry_is_reported_as_silent() -> None:
    failure = decide(AttemptEnd("a", AttemptFault.SILENT), is_repeatable=False)
    assert isinstance(failure, Failure)
    assert (failure.reason, failure.ran) == (Reason.UPSTREAM_SILENT, Ran.UNKNOWN)
