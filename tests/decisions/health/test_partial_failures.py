"""One desk fails a part of its bookings, and looks healthy to each VM.

A member books a rack and is told of a failure, again and again: the desk answers its
health check and most requests, and every VM of a large fleet sends it too few to see
two failures in a row.
"""

from __future__ import annotations

import random

import pytest
from tests.support.builders import make_request

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch, Scheduler
from quetzaldeck.decisions.health.outcomes import (
    HALF_LIFE_MS,
    DecayingOutcomes,
    Outcomes,
)
from quetzaldeck.decisions.health.partial_failures import exclude_failing
from quetzaldeck.decisions.policies import Policies, build_scheduler
from quetzaldeck.decisions.upstream_state import UpstreamState

POLICIES = Policies("fair", "first_token", "predicted_wait", "reading_lane")
NAMES = ("desk-a", "desk-b", "desk-c")
FAULTY = "desk-b"
FAILED_SHARE = 0.4
N_VMS = 20
N_BOOKINGS = 600
BOOKING_MS = 200.0
"""Five bookings a second over all VMs."""


def make_states(*outcomes: tuple[int, int]) -> list[UpstreamState]:
    """:returns: desks that answered and failed so many requests just now"""
    states = []
    for number, (n_answered, n_failed) in enumerate(outcomes):
        spec = UpstreamSpec(f"d{number}", "http://h:1", kind="service", service="desk")
        state = UpstreamState(spec)
        state.outcomes.replace(Outcomes(n_answered, n_failed), 0.0)
        states.append(state)
    return states


def names_of(states: list[UpstreamState]) -> list[str]:
    return [state.spec.name for state in states]


def test_desk_that_fails_a_part_is_avoided() -> None:
    states = make_states((20, 0), (6, 4), (20, 0))
    assert names_of(exclude_failing(states, states, 0.0)) == ["d0", "d2"]


def test_request_that_fails_everywhere_is_no_ones_fault() -> None:
    states = make_states((12, 4), (12, 5), (12, 3))
    assert exclude_failing(states, states, 0.0) == states


def test_one_failure_is_no_suspicion() -> None:
    states = make_states((20, 0), (0, 1), (20, 0))
    assert exclude_failing(states, states, 0.0) == states


def test_at_most_a_third_of_a_pool_is_avoided() -> None:
    states = make_states((20, 0), (5, 5), (2, 8))
    assert names_of(exclude_failing(states, states, 0.0)) == ["d0", "d1"]


def test_failing_desk_is_used_where_no_other_has_room() -> None:
    states = make_states((20, 0), (6, 4), (20, 0))
    assert names_of(exclude_failing(states[1:2], states, 0.0)) == ["d1"]


def test_avoided_desk_is_tried_again() -> None:
    states = make_states((20, 0), (6, 4), (20, 0))
    assert exclude_failing(states, states, 1.5 * HALF_LIFE_MS) == states


def test_outcomes_told_again_are_not_counted_as_new() -> None:
    count = DecayingOutcomes()
    count.replace(Outcomes(4.0, 2.0), 0.0)
    count.replace(Outcomes(4.0, 2.0), HALF_LIFE_MS)
    assert count.at(HALF_LIFE_MS) == Outcomes(2.0, 1.0)


class Fleet:
    """VMs that send bookings in turn, and tell each other what came of them or not."""

    def __init__(self, clock: ManualClock, *, tells: bool) -> None:
        self.clock = clock
        self.tells = tells
        self.random = random.Random(5)
        specs = tuple(
            UpstreamSpec(name, "http://127.0.0.1:1", kind="service", service="desk")
            for name in NAMES
        )
        self.vms: list[Scheduler] = []
        for number in range(N_VMS):
            vm = build_scheduler(
                POLICIES, clock=clock, random_state=random.Random(number)
            )
            vm.apply_bundle(Bundle(1, 1 << 53, upstreams=specs))
            self.vms.append(vm)

    def book(self, number: int) -> bool:
        """:returns: whether the booking failed"""
        vm = self.random.choice(self.vms)
        request = make_request(f"r{number}", now_ms=self.clock.now_ms())._replace(
            model="", service="desk", is_repeatable=False, n_prompt_tokens=1
        )
        assert vm.submit(request) is None
        (dispatch,) = vm.poll()
        assert isinstance(dispatch, Dispatch)
        is_faulty = dispatch.upstreams == (FAULTY,)
        has_failed = is_faulty and self.random.random() < FAILED_SHARE
        fault = AttemptFault.FAILED if has_failed else None
        vm.end_attempt(AttemptEnd(dispatch.attempt_id, fault))
        if self.tells:
            self.tell(vm)
        return has_failed

    def tell(self, teller: Scheduler) -> None:
        now_ms = self.clock.now_ms()
        shares = [(s.spec.name, s.own_load(now_ms)) for s in teller.upstreams]
        for vm in self.vms:
            if vm is not teller:
                vm.fleet.observe_peer(str(id(teller)), shares)

    def run(self) -> int:
        """:returns: how many bookings failed"""
        n_failed = 0
        for number in range(N_BOOKINGS):
            self.clock.advance(BOOKING_MS)
            n_failed += self.book(number)
        return n_failed


def test_fleet_of_many_vms_avoids_a_desk_that_fails_a_part() -> None:
    """Two minutes of bookings; what is left are those that try the desk again."""
    alone = Fleet(ManualClock(0.0), tells=False).run()
    together = Fleet(ManualClock(0.0), tells=True).run()
    assert alone > 0.08 * N_BOOKINGS
    assert together < 0.5 * alone


@pytest.mark.parametrize(("elapsed_ms", "n_failed"), [(100.0, 0.0), (600.0, 1.0)])
def test_booking_that_was_never_answered_counts_against_its_desk(
    clock: ManualClock, elapsed_ms: float, n_failed: float
) -> None:
    """It may not be sent again, so it ends with its caller, not with a fault."""
    vm = build_scheduler(POLICIES, clock=clock, random_state=random.Random(1))
    spec = UpstreamSpec("d0", "http://127.0.0.1:1", kind="service", service="desk")
    vm.apply_bundle(Bundle(1, 1 << 53, upstreams=(spec,)))
    request = make_request(now_ms=clock.now_ms())._replace(
        model="", service="desk", is_repeatable=False, target_ms=125.0
    )
    assert vm.submit(request) is None
    assert vm.poll()
    clock.advance(elapsed_ms)
    vm.withdraw(request.request_id)
    state = vm.upstreams.get("d0")
    assert state is not None
    assert state.outcomes.last.n_failed == n_failed
