"""Charges for retries that are given back, as they were never sent."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from tests.support.builders import (
    FEW_SLOTS,
    make_entry_scheduler,
    make_request,
    poll_dispatch,
)

from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch, Scheduler
from quetzaldeck.decisions.paths import PathVerdict
from quetzaldeck.decisions.retries import ResendBudget
from quetzaldeck.decisions.silence.verdict import SilenceVerdict

NAMES = ("a", "b", "c", "d", "e", "f")
REQUEST = "r"
MAX_ATTEMPTS = 4
OVERDUE_MS = 10_000.0
"""Longer than a first token may take."""

BACKOFF_MS = 50.0
WINDOW_MS = 10_000.0
LONG_PROMPT = 2 * FEW_SLOTS.kv_tokens
"""Tokens of a prompt that no engine holds alone."""


class Budgets(NamedTuple):
    """A scheduler that may resend one request only, and its budgets."""

    scheduler: Scheduler
    clock: ManualClock
    resends: ResendBudget

    @property
    def are_unused(self) -> bool:
        """:returns: whether neither budget is charged"""
        may_resend = self.resends.can_spend(self.target, self.clock.now_ms())
        tokens = self.scheduler.retries.budget.retried_tokens
        return may_resend and tokens == pytest.approx(0.0, abs=1e-6)

    @property
    def target(self) -> str:
        """:returns: the service that is charged"""
        return make_request().target

    def dispatch(self, n_prompt_tokens: int = 1_000) -> Dispatch:
        """:returns: the first attempt of the request"""
        request = make_request(
            REQUEST,
            n_prompt_tokens=n_prompt_tokens,
            now_ms=self.clock.now_ms(),
            timeout_ms=20_000,
        )
        request = request._replace(is_repeatable=True, max_attempts=MAX_ATTEMPTS)
        assert self.scheduler.submit(request) is None
        return poll_dispatch(self.scheduler)

    def replace(self, dispatch: Dispatch) -> None:
        """Have a silent attempt replaced, which charges both budgets."""
        verdict = self.scheduler.judge_silence(dispatch.attempt_id, 5_000.0)
        assert verdict is SilenceVerdict.REPLACE
        assert not self.are_unused

    def dispatch_next(self) -> Dispatch:
        """:returns: the next attempt, after its backoff"""
        self.clock.advance(BACKOFF_MS)
        return poll_dispatch(self.scheduler)


@pytest.fixture
def budgets(clock: ManualClock) -> Budgets:
    """:returns: unused budgets"""
    resends = ResendBudget(ratio=0.0, window_ms=WINDOW_MS, min_resends=1)
    scheduler = make_entry_scheduler(clock, NAMES, resend_budget=resends)
    return Budgets(scheduler, clock, resends)


def test_silent_attempt_that_goes_on_gives_back_its_replacement(
    budgets: Budgets,
) -> None:
    """Replicas that pause again and again use up the retries of those that fail."""
    first = budgets.dispatch()
    budgets.replace(first)
    budgets.clock.advance(1.0)
    assert budgets.scheduler.resume_attempt(REQUEST, first.attempt_id)
    assert budgets.are_unused


def test_replacement_that_was_dropped_is_given_back_once(budgets: Budgets) -> None:
    """A replacement that waits for its turn is charged though it is never sent."""
    first = budgets.dispatch()
    budgets.replace(first)
    second = budgets.dispatch_next()
    budgets.scheduler.drop_attempt(second.attempt_id)
    assert budgets.are_unused
    other = budgets.resends
    assert other.try_spend(budgets.target, budgets.clock.now_ms())
    assert budgets.scheduler.resume_attempt(REQUEST, first.attempt_id)
    budgets.scheduler.withdraw(REQUEST)
    assert not budgets.are_unused


def test_caller_that_leaves_before_a_retry_gives_it_back(budgets: Budgets) -> None:
    """A retry that waits is charged though its caller has left."""
    budgets.replace(budgets.dispatch())
    budgets.scheduler.withdraw(REQUEST)
    assert budgets.are_unused


def test_retry_that_ends_unsent_gives_back_its_charge(budgets: Budgets) -> None:
    """A retry whose upstream left before it was sent is charged."""
    budgets.replace(budgets.dispatch())
    second = budgets.dispatch_next()
    unsent = AttemptEnd(
        second.attempt_id,
        AttemptFault.REFUSED,
        may_have_run=False,
        was_sent=False,
        upstream=second.upstreams[-1],
    )
    assert budgets.scheduler.end_attempt(unsent) is not None
    assert budgets.are_unused


def test_retry_in_place_of_one_that_was_not_sent_has_one_charge(
    budgets: Budgets,
) -> None:
    """Each attempt that finds its upstream gone is charged once more, or none is."""
    budgets.replace(budgets.dispatch())
    second = budgets.dispatch_next()
    unsent = AttemptEnd(
        second.attempt_id,
        AttemptFault.OVERLOADED,
        may_have_run=False,
        was_sent=False,
        upstream=second.upstreams[-1],
    )
    assert budgets.scheduler.end_attempt(unsent) is None
    assert not budgets.are_unused
    budgets.scheduler.withdraw(REQUEST)
    assert budgets.are_unused


def test_replacement_that_may_have_been_sent_stays_charged(budgets: Budgets) -> None:
    """A replica gets more resends than its service allows."""
    first = budgets.dispatch()
    budgets.replace(first)
    budgets.dispatch_next()
    assert budgets.scheduler.resume_attempt(REQUEST, first.attempt_id)
    assert not budgets.are_unused
    budgets.scheduler.withdraw(REQUEST)
    assert not budgets.are_unused


@pytest.mark.parametrize("goes_on", [True, False])
@pytest.mark.parametrize("is_reserved", [True, False])
def test_prompt_that_reserves_memory_is_given_back(
    budgets: Budgets, *, is_reserved: bool, goes_on: bool
) -> None:
    """A replacement that waits for memory is charged though it is never sent."""
    first = budgets.dispatch(LONG_PROMPT)
    budgets.scheduler.note_reserved(first.attempt_id)
    budgets.replace(first)
    second = budgets.dispatch_next()
    assert second.plan is not None
    if is_reserved:
        budgets.scheduler.note_reserved(second.attempt_id)
    if goes_on:
        assert budgets.scheduler.resume_attempt(REQUEST, first.attempt_id)
    else:
        budgets.scheduler.withdraw(REQUEST)
    assert budgets.are_unused is not is_reserved


def test_prompt_that_reserves_memory_is_not_counted_as_an_attempt(
    budgets: Budgets,
) -> None:
    """A prompt that was never sent uses up one of the attempts of its route."""
    first = budgets.dispatch(LONG_PROMPT)
    budgets.scheduler.note_reserved(first.attempt_id)
    for _ in range(MAX_ATTEMPTS):
        budgets.replace(first)
        budgets.dispatch_next()
        assert budgets.scheduler.resume_attempt(REQUEST, first.attempt_id)


def test_engine_whose_memory_a_prompt_waits_for_has_not_failed(
    budgets: Budgets,
) -> None:
    """An engine counts as failing as it did not answer what it was never sent."""
    first = budgets.dispatch(LONG_PROMPT)
    budgets.clock.advance(OVERDUE_MS)
    budgets.scheduler.withdraw(REQUEST)
    state = budgets.scheduler.upstreams.get(first.upstreams[-1])
    assert state is not None
    assert state.outcomes.at(budgets.clock.now_ms()).n_failed == 0


def test_old_charge_is_given_back_as_far_as_it_still_counts(clock: ManualClock) -> None:
    """A charge that has decayed is given back whole, and the budget grows."""
    scheduler = make_entry_scheduler(clock, NAMES)
    budget = scheduler.retries.budget
    budget.deposit(10_000, clock.now_ms())
    for n_tokens in (1_000, 500):
        assert budget.try_spend(n_tokens, clock.now_ms())
    charged_ms = clock.now_ms()
    clock.advance(60_000)
    budget.give_back(1_000, charged_ms, clock.now_ms())
    assert budget.retried_tokens == pytest.approx(250.0)


def test_retry_of_a_kept_request_is_charged(budgets: Budgets) -> None:
    """Guards against retries beside a silent attempt that no budget counts."""
    scheduler = budgets.scheduler
    budgets.replace(budgets.dispatch())
    second = budgets.dispatch_next()
    unsent = AttemptEnd(
        second.attempt_id,
        AttemptFault.OVERLOADED,
        may_have_run=False,
        was_sent=False,
        upstream=second.upstreams[-1],
    )
    scheduler.observe_path(budgets.target, PathVerdict.PARTITIONED)
    assert scheduler.end_attempt(unsent) is not None
    assert budgets.are_unused
    scheduler.observe_path(budgets.target, PathVerdict.REACHED)
    assert scheduler.retry_kept(REQUEST) is None
    assert not budgets.are_unused
