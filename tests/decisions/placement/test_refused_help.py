"""A quarter of the engines leaves while nobody can learn of it.

They answer what is sent to them, and refuse to read parts of prompts of others.
Each attempt of a long prompt names sixteen helpers, some of them among these; it is
refused as a whole, and its retries are spent before an attempt names none of them.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch, Rejection
from quetzaldeck.decisions.health.help_refusals import (
    HELP_REFUSAL_HOLD_MS,
    HelpRefusals,
)
from quetzaldeck.decisions.placement.first_token import MAX_HELPERS

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Scheduler

NAMES = tuple(f"engine-{n:03}" for n in range(112))
LEAVING = frozenset(NAMES[::4])
N_VMS = 20
N_PROMPTS = 40
PROMPT_MS = 110.0
"""Pause between two long prompts: nine a second over all VMs."""
LONG = 45_000
WAIT_MS = 50.0
MAX_WAITS = 40


class Fleet:
    """VMs that send long prompts in turn, and tell each other of their loads or not."""

    def __init__(self, clock: ManualClock, *, tells: bool = True) -> None:
        self._clock = clock
        self._tells = tells
        self._random = random.Random(7)
        self._vms = [make_entry_scheduler(clock, NAMES) for _ in range(N_VMS)]
        self.n_refused_attempts = 0

    def run(self) -> list[int]:
        """:returns: attempts of each prompt that was answered"""
        n_attempts = []
        for number in range(N_PROMPTS):
            answered = self._send(self._random.choice(self._vms), f"r{number}")
            if answered:
                n_attempts.append(answered)
            self._clock.advance(PROMPT_MS)
        return n_attempts

    def _send(self, vm: Scheduler, name: str) -> int:
        """:returns: attempts until the answer; 0 if the request was refused"""
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
        """:returns: ``None``: answered; else whether there is to be another attempt"""
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
        self._tell(vm)
        return failure is None

    def _tell(self, teller: Scheduler) -> None:
        if not self._tells:
            return
        now_ms = self._clock.now_ms()
        shares = [(s.spec.name, s.own_load(now_ms)) for s in teller.upstreams]
        for vm in self._vms:
            if vm is not teller:
                vm.fleet.observe_peer(str(id(teller)), shares)


def test_long_prompts_are_answered_while_helpers_leave_unseen(
    clock: ManualClock,
) -> None:
    """Long prompts are refused for seconds though three of four engines would read."""
    fleet = Fleet(clock)
    n_attempts = fleet.run()
    assert len(n_attempts) == N_PROMPTS
    # Half as many helpers after each failure: the sixth attempt has none to fail it.
    assert max(n_attempts) <= 6
    assert fleet.n_refused_attempts <= 2 * len(LEAVING)


def test_vms_that_tell_each_other_find_the_leaving_engines_sooner(
    clock: ManualClock,
) -> None:
    """Each VM finds each engine that leaves by a refusal of its own."""
    alone = Fleet(clock, tells=False)
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
def test_refusal_that_its_work_explains_says_nothing(
    *, n_parts: int, is_refusing: bool
) -> None:
    """A busy engine is named no more though it has room a moment later."""
    refusals = HelpRefusals()
    refusals.note(n_parts, max_parts=5, now_ms=0.0)
    assert refusals.is_refusing(HELP_REFUSAL_HOLD_MS - 1) is is_refusing
    assert not refusals.is_refusing(HELP_REFUSAL_HOLD_MS)
