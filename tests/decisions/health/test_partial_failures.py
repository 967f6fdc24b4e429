"""Replicas that fail part of their requests are avoided.

Failure guarded against: callers of a service get errors again and again, because one
replica fails part of its requests. It answers its health check and most requests, and
each VM of a large fleet sends it too few requests to see two failures in a row.
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
from quetzaldeck.decisions.policies import Policies, build_scheduler
from quetzaldeck.decisions.pools import exclude_failing
from quetzaldeck.decisions.upstream_state import UpstreamState

POLICIES = Policies("fair", "first_token", "predicted_wait", "reading_lane")
NAMES = ("desk-a", "desk-b", "desk-c")
FAULTY = "desk-b"
FAILED_SHARE = 0.4
N_VMS = 20
N_REQUESTS = 600
REQUEST_INTERVAL_MS = 200.0
"""Interval between requests, over all VMs: five requests a second."""


def make_states(*outcomes: tuple[int, int]) -> list[UpstreamState]:
    """:returns: replicas with these counts of answered and failed requests"""
    states = []
    for number, (n_answered, n_failed) in enumerate(outcomes):
        spec = UpstreamSpec(f"d{number}", "http://h:1", kind="service", service="desk")
        state = UpstreamState(spec)
        state.outcomes.replace(Outcomes(n_answered, n_failed), 0.0)
        states.append(state)
    return states


def names_of(states: list[UpstreamState]) -> list[str]:
    return [state.spec.name for state in states]


def test_replica_that_fails_part_of_its_requests_is_avoided() -> None:
    states = make_states((20, 0), (6, 4), (20, 0))
    assert names_of(exclude_failing(states, states, 0.0)) == ["d0", "d2"]


def test_failures_of_all_replicas_exclude_none() -> None:
    states = make_states((12, 4), (12, 5), (12, 3))
    assert exclude_failing(states, states, 0.0) == states


def test_single_failure_excludes_no_replica() -> None:
    states = make_states((20, 0), (0, 1), (20, 0))
    assert exclude_failing(states, states, 0.0) == states


def test_at_most_a_third_of_a_pool_is_avoided() -> None:
    states = make_states((20, 0), (5, 5), (2, 8))
    assert names_of(exclude_failing(states, states, 0.0)) == ["d0", "d1"]


def test_failing_replica_is_used_if_it_is_the_only_candidate() -> None:
    states = make_states((20, 0), (6, 4), (20, 0))
    assert names_of(exclude_failing(states[1:2], states, 0.0)) == ["d1"]


def test_avoided_replica_is_tried_again() -> None:
    states = make_states((20, 0), (6, 4), (20, 0))
    assert exclude_failing(states, states, 1.5 * HALF_LIFE_MS) == states


def test_repeated_outcomes_are_not_counted_as_new() -> None:
    count = DecayingOutcomes()
    count.replace(Outcomes(4.0, 2.0), 0.0)
    count.replace(Outcomes(4.0, 2.0), HALF_LIFE_MS)
    assert count.at(HALF_LIFE_MS) == Outcomes(2.0, 1.0)


class Fleet:
    """VMs that send requests to a service, with or without exchanging outcomes."""

    def __init__(self, clock: ManualClock, *, is_sharing: bool) -> None:
        self.clock = clock
        self.is_sharing = is_sharing
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

    def send(self, number: int) -> bool:
        """:returns: whether the request failed"""
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
        if self.is_sharing:
            self.share_outcomes(vm)
        return has_failed

    def share_outcomes(self, sender: Scheduler) -> None:
        now_ms = self.clock.now_ms()
        loads = [(s.spec.name, s.own_load(now_ms)) for s in sender.upstreams]
        for vm in self.vms:
            if vm is not sender:
                vm.fleet.observe_peer(str(id(sender)), loads)

    def run(self) -> int:
        """:returns: how many requests failed"""
        n_failed = 0
        for number in range(N_REQUESTS):
            self.clock.advance(REQUEST_INTERVAL_MS)
            n_failed += self.send(number)
        return n_failed


def test_fleet_that_shares_outcomes_avoids_a_replica_that_fails_partly() -> None:
    """Guards against failures that go on because no VM sees enough of them.

    Runs two minutes of requests. The failures that remain with shared outcomes are
    those of requests that try the avoided replica again.
    """
    isolated = Fleet(ManualClock(0.0), is_sharing=False).run()
    sharing = Fleet(ManualClock(0.0), is_sharing=True).run()
    assert isolated > 0.08 * N_REQUESTS
    assert sharing < 0.5 * isolated


@pytest.mark.parametrize(("elapsed_ms", "n_failed"), [(100.0, 0.0), (600.0, 1.0)])
def test_unanswered_request_counts_as_a_failure_of_its_replica(
    clock: ManualClock, elapsed_ms: float, n_failed: float
) -> None:
    """Guards against ignoring requests that a replica never answers.

    A request that must not be repeated is not retried, so it ends without a fault when
    its caller disconnects.
    """
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
