"""Tests of the memory ledger."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzaldeck.decisions.memory import InFlightAttempt, MemoryLedger


def make_attempt(
    attempt_id: str, n_kv_tokens: int = 10, at_ms: float = 0
) -> InFlightAttempt:
    return InFlightAttempt(attempt_id, attempt_id, n_kv_tokens, n_kv_tokens, at_ms)


def test_reserve_twice_is_an_error() -> None:
    ledger = MemoryLedger()
    ledger.reserve(make_attempt("a"))
    with pytest.raises(ValueError, match="reserved twice"):
        ledger.reserve(make_attempt("a"))


def test_second_release_is_reported() -> None:
    ledger = MemoryLedger()
    ledger.reserve(make_attempt("a"))
    assert ledger.release("a")
    assert not ledger.release("a")
    assert ledger.n_kv_tokens == 0


def test_note_report_sums_only_later_attempts_as_unreported() -> None:
    """A report from 100 ms ago cannot include attempts started since.

    With the report alone, the engine's memory would be allocated twice; with all own
    attempts added to the report, half of it would stay unused.
    """
    ledger = MemoryLedger()
    ledger.reserve(make_attempt("old", 10, at_ms=0))
    ledger.reserve(make_attempt("new", 7, at_ms=200))
    ledger.note_report(100)
    assert ledger.n_kv_tokens == 17
    assert ledger.n_unreported_kv_tokens == 7


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("reserve", "release", "prefill", "report")),
            st.integers(0, 5),
            st.integers(1, 100),
        )
    )
)
@settings(derandomize=True, deadline=None)
def test_sums_match_the_attempts_in_the_ledger(
    steps: list[tuple[str, int, int]],
) -> None:
    ledger = MemoryLedger()
    now_ms = 0.0
    reported_ms = 0.0
    for action, index, n_tokens in steps:
        now_ms += 1
        name = f"a{index}"
        if action == "reserve" and ledger.get(name) is None:
            ledger.reserve(make_attempt(name, n_tokens, now_ms))
        elif action == "release":
            ledger.release(name)
        elif action == "prefill":
            ledger.mark_prefilled(name)
        elif action == "report":
            reported_ms = now_ms
            ledger.note_report(now_ms)
    held = list(ledger)
    unreported = [a for a in held if a.started_ms >= reported_ms]
    assert ledger.n_kv_tokens == sum(a.n_kv_tokens for a in held)
    assert ledger.n_prefill_tokens == sum(a.n_prefill_tokens for a in held)
    assert ledger.n_unreported_kv_tokens == sum(a.n_kv_tokens for a in unreported)
    n_prefill = sum(a.n_prefill_tokens for a in unreported)
    assert ledger.n_unreported_prefill_tokens == n_prefill
