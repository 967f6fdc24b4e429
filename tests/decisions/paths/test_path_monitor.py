"""The paths of a VM to several services."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from quetzaldeck.decisions.paths import PathMonitor, PathVerdict

if TYPE_CHECKING:
    from quetzaldeck.decisions.paths.monitor import ProbedUpstream

ENGINES = ("e0", "e1", "e2", "e3")
DESKS = ("d0", "d1")
T0 = 10_000.0


class Fleet:
    """What other VMs report, and which upstreams answer this one."""

    def __init__(self) -> None:
        self.answered_ms: dict[str, float] = {}
        self.reached: set[str] = set()
        self.monitor = PathMonitor(
            lambda name: self.answered_ms.get(name, -math.inf), random_state=Random(0)
        )
        self.monitor.set_upstreams(
            [(name, "plans", "a") for name in ENGINES]
            + [(name, "desk", "b") for name in DESKS]
        )

    def probe(self, now_ms: float) -> list[ProbedUpstream]:
        """:returns: what was probed in one round"""
        probed = self.monitor.choose_probed(now_ms)
        results = {item: item.upstream in self.reached for item in probed}
        self.monitor.note_probes(results, now_ms)
        return probed

    def judge(self, now_ms: float) -> dict[str, PathVerdict]:
        """:returns: verdicts that have changed"""
        return self.monitor.pop_changed_verdicts(now_ms)


def test_loss_of_one_service_leads_to_a_probe_of_the_others() -> None:
    """The first bookings after a partition wait for their timeouts."""
    fleet = Fleet()
    fleet.monitor.note_failed("e0", T0, is_new_connection=True)
    for step in range(3):
        fleet.probe(T0 + step)
    fleet.answered_ms["e1"] = T0 + 600.0
    assert fleet.judge(T0 + 600.0) == {"plans": PathVerdict.PARTITIONED}
    assert "desk" in {item.service for item in fleet.probe(T0 + 601.0)}
    fleet.probe(T0 + 602.0)
    fleet.probe(T0 + 603.0)
    assert fleet.judge(T0 + 603.0) == {"desk": PathVerdict.PARTITIONED}


def test_partition_from_one_service_leaves_the_others_alone() -> None:
    """A VM gives up services that it reaches, as it is cut off from another one."""
    fleet = Fleet()
    fleet.reached = set(DESKS)
    fleet.monitor.note_failed("e0", T0, is_new_connection=True)
    for step in range(20):
        fleet.probe(T0 + 100.0 * step)
        fleet.answered_ms["e1"] = T0 + 100.0 * step
        fleet.judge(T0 + 100.0 * step)
    assert fleet.monitor.find_verdict("plans") is PathVerdict.PARTITIONED
    assert fleet.monitor.find_verdict("desk") is PathVerdict.REACHED
    assert fleet.monitor.may_hand_over("plans", T0 + 2_000.0)
    assert not fleet.monitor.may_hand_over("desk", T0 + 2_000.0)


def test_requests_stay_with_other_vms_for_a_while_after_a_partition() -> None:
    """All requests move back at one moment, to a path that may be lost again."""
    fleet = Fleet()
    fleet.monitor.note_failed("e0", T0, is_new_connection=True)
    for step in range(3):
        fleet.probe(T0 + step)
    fleet.answered_ms["e1"] = T0 + 600.0
    fleet.judge(T0 + 600.0)
    fleet.reached = set(ENGINES)
    back_ms = T0 + 1_000.0
    fleet.probe(back_ms)
    fleet.judge(back_ms)
    half_ms = back_ms + fleet.monitor.bounds.return_ms / 2
    n_away = sum(fleet.monitor.prefers_hand_over("plans", half_ms) for _ in range(400))
    assert 150 < n_away < 250
    end_ms = back_ms + fleet.monitor.bounds.return_ms
    assert not fleet.monitor.prefers_hand_over("plans", end_ms)


def test_failure_is_not_judged_while_no_probe_of_another_service_is_answered() -> None:
    """A VM that misses its probes takes the loss of its path for crashes."""
    fleet = Fleet()
    for name in (*ENGINES, *DESKS):
        fleet.monitor.note_heard(name, T0 - 1.0)
    fleet.monitor.note_failed("d0", T0, is_new_connection=True)
    for step in range(3):
        fleet.probe(T0 + step)

    def judge(now_ms: float) -> bool | None:
        return fleet.monitor.judge_failure("d0", "desk", T0, T0, now_ms)

    assert judge(T0 + 1_000.0) is None
    assert "plans" in {item.service for item in fleet.monitor.choose_probed(T0 + 1e3)}
    assert judge(T0 + 2_000.0) is False
    fleet.reached = {*ENGINES}
    fleet.probe(T0 + 2_000.0)
    assert judge(T0 + 2_000.0) is True
