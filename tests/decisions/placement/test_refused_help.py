"""A quarter of the engines is leaving, and the VMs cannot learn of it from the store.

These engines answer requests but refuse to prefill parts of other prompts. Each attempt
of a long prompt names sixteen helpers, some of them leaving, and is refused as a whole;
its retries are spent before an attempt names no leaving engine.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch, Rejection
from quetzaldeck.decisions.decision import MAX_HELPERS
from quetzaldeck.decisions.health.help_refusals import (
    HELP_REFUSAL_HOLD_MS,
    HelpRefusals,
)

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Scheduler

NAMES = tuple(f"engine-{n:03}" for n in range(112))
LEAVING = frozenset(NAMES[::4])
N_VMS = 20
N_PROMPTS = 40
PROMPT_INTERVAL_MS = 110.0
"""Interval between two long prompts: nine a second over all VMs."""
LONG = 45_000
WAIT_MS = 50.0
MAX_WAITS = 40


class Fleet:
    """VMs that send long prompts and optionally share their loads."""

    def __init__(self, clock: ManualClock, *, shares_loads: bool = True) -> None:
        self._clock = clock
        self._shares_loads = shares_loads
        self._random = random.Random(7)
        self._vms = [make_entry_scheduler(clock, NAMES) for _ in range(N_VMS)]
        self.n_refused_attempts = 0

    def run(self) -> list[int]:
        """:returns: number of attempts of each prompt that was answered"""
        n_attempts = []
        for number in range(N_PROMPTS):
            answered = self._send(self._random.choice(self._vms), f"r{number}")
            if answered:
                n_attempts.append(answered)
            self._clock.advance(PROMPT_INTERVAL_MS)
        return n_attempts

    def _send(self, vm: Scheduler, name: str) -> int:
        """:returns: number of attempts until the answer; 0 if the request failed"""
        now_ms = self._clock.now_ms()
        request = make_request(name, n_prompt_tokens=LONG, now_ms=now_ms)
        assert vm.submit(request) is None
        for _ in range(MAX_WAITS):
            for decision in vm.poll():
                if isinstance(decision, Rejection):
                    return 0
                assert isinstance(decision, Dispatch)
                fault = self._end(vm, decision)
                if fault is None:
                    return decision.n_attempt
                if not fault:
                    return 0
            self._clock.advance(WAIT_MS)
        return 0

    def _end(self, vm: Scheduler, dispatch: Dispatch) -> bool | None:
        """:returns: ``None`` if answered; otherwise whether another attempt follows"""
        faulty = [name for name in dispatch.helpers if name in LEAVING]
        if not faulty:
            vm.end_attempt(AttemptEnd(dispatch.attempt_id))
            return None
        self.n_refused_attempts += 1
        end = AttemptEnd(
            dispatch.attempt_id,
            AttemptFault.HELPER,
            may_have_run=False,
            upstream=faulty[0],
        )
        failure = vm.end_attempt(end)
        self._share_loads(vm)
        return failure is None

    def _share_loads(self, sender: Scheduler) -> None:
        if not self._shares_loads:
            return
        now_ms = self._clock.now_ms()
        loads = [(s.spec.name, s.own_load(now_ms)) for s in sender.upstreams]
        for vm in self._vms:
            if vm is not sender:
                vm.fleet.observe_peer(str(id(sender)), loads)


def test_long_prompts_are_answered_while_leaving_helpers_are_unknown(
    clock: ManualClock,
) -> None:
    """Guards against refusing long prompts while three of four engines would help."""
    fleet = Fleet(clock)
    n_attempts = fleet.run()
    assert len(n_attempts) == N_PROMPTS
    # Each failure halves the helpers, so that the sixth attempt has none left.
    assert max(n_attempts) <= 6
    assert fleet.n_refused_attempts <= 2 * len(LEAVING)


def test_shared_loads_reveal_leaving_engines_sooner(
    clock: ManualClock,
) -> None:
    """Without sharing, each VM detects each leaving engine by its own refusal."""
    alone = Fleet(clock, shares_loads=False)
    alone.run()
    together = Fleet(clock)
    together.run()
    assert together.n_refused_attempts < 0.7 * alone.n_refused_attempts


def test_each_failure_halves_the_helpers(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    request = make_request(n_prompt_tokens=LONG, now_ms=clock.now_ms())
    assert scheduler.submit(request) is None
    dispatch = poll_dispatch(scheduler)
    for n_failed in range(1, 4):
        end = AttemptEnd(
            dispatch.attempt_id,
            AttemptFault.HELPER,
            may_have_run=False,
            upstream=dispatch.helpers[0],
        )
        assert scheduler.end_attempt(end) is None
        clock.advance(1_000)
        dispatch = poll_dispatch(scheduler)
        assert len(dispatch.helpers) <= MAX_HELPERS >> n_failed


@pytest.mark.parametrize(("n_parts", "is_refusing"), [(0, True), (4, False)])
def test_refusal_by_a_busy_engine_is_ignored(
    *, n_parts: int, is_refusing: bool
) -> None:
    """Guards against excluding an engine that is only busy for a moment."""
    refusals = HelpRefusals()
    refusals.note(n_parts, max_parts=5, now_ms=0.0)
    assert refusals.is_refusing(HELP_REFUSAL_HOLD_MS - 1) is is_refusing
    assert not refusals.is_refusing(HELP_REFUSAL_HOLD_MS)
