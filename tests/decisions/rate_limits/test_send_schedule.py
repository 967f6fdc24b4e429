"""Turns at an upstream that takes few requests a second from all VMs."""

from __future__ import annotations

import random

import pytest

from quetzaldeck.decisions.rate_limits import SendSchedule

WINDOW_MS = 4_000.0


def list_turns(
    rate: float, *, arrivals_per_s: float, max_wait_ms: float, duration_ms: float
) -> list[float]:
    """:returns: times of the turns given to requests that arrive at random times"""
    random_state = random.Random(7)
    schedule = SendSchedule(rate, 0.0)
    turns = []
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += random_state.expovariate(arrivals_per_s) * 1_000
        permit = schedule.reserve(max_wait_ms, now_ms)
        if permit.is_granted:
            turns.append(now_ms + permit.wait_ms)
    return turns


@pytest.mark.parametrize("rate", [0.3, 1.0, 7.5, 60.0])
@pytest.mark.parametrize("max_wait_ms", [0.0, 700.0, 5_000.0])
def test_turns_keep_the_rate_and_use_it(rate: float, max_wait_ms: float) -> None:
    """Overload: many more requests than the upstream takes, for two minutes."""
    turns = list_turns(
        rate, arrivals_per_s=200.0, max_wait_ms=max_wait_ms, duration_ms=120_000.0
    )
    assert turns == sorted(turns)
    for first_ms in turns:
        n_turns = sum(first_ms <= turn <= first_ms + WINDOW_MS for turn in turns)
        assert n_turns <= 1.1 * rate * WINDOW_MS / 1_000 + 1
    assert len(turns) >= 0.95 * rate * 120.0


def test_request_that_cannot_wait_is_told_when_the_next_turn_is_free() -> None:
    schedule = SendSchedule(2.0, 0.0)
    assert schedule.reserve(0.0, 0.0) == (True, 0.0)
    assert schedule.reserve(100.0, 100.0) == (False, 400.0)
    assert schedule.reserve(400.0, 100.0) == (True, 400.0)


def test_turns_come_sooner_after_a_rise_and_later_after_a_fall() -> None:
    schedule = SendSchedule(1.0, 0.0)
    for _ in range(3):
        schedule.reserve(10_000.0, 0.0)
    schedule.set_rate(10.0, 0.0)
    assert schedule.reserve(0.0, 0.0).wait_ms == pytest.approx(300.0)
    schedule.set_rate(0.5, 0.0)
    assert schedule.reserve(0.0, 0.0).wait_ms == pytest.approx(6_000.0)


def test_upstream_that_takes_none_is_tried_now_and_then() -> None:
    """Nobody would notice the end of a limit of 0 without a request."""
    turns = list_turns(0.0, arrivals_per_s=20.0, max_wait_ms=0.0, duration_ms=60_000.0)
    assert 5 <= len(turns) <= 7
