"""Suspects of several VMs that wait for the same upstream."""

from __future__ import annotations

import pytest
from tests.support.builders import make_request, make_scheduler, make_spec

from quetzaldeck.bundle.document import Bundle
from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions import Dispatch
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.poison import CrashSighting, PoisonBounds

CRASHED_MS = 1_000.0


@pytest.mark.parametrize("suspects", [(1, 33), (2, 3), (7, 8), (40, 104)])
def test_suspects_of_two_vms_do_not_start_together_on_an_engine_that_comes_up(
    suspects: tuple[int, int],
) -> None:
    """Guards against a crash that cannot part them, as all VMs waited for the engine.

    Each VM has one of two suspects and tells the other of its runs a moment later.
    """
    clock = ManualClock(CRASHED_MS)
    bounds = PoisonBounds()
    schedulers = [make_scheduler(clock, ("gone",)) for _ in suspects]
    crash = [CrashSighting(f, "gone", "1", 0.0, 9.0) for f in suspects]
    for scheduler in schedulers:
        scheduler.fleet.observe_crashes(crash)
    clock.advance(bounds.propagation_ms)
    for fingerprint, scheduler in zip(suspects, schedulers, strict=True):
        scheduler.apply_bundle(Bundle(1, 2, upstreams=(make_spec("e0"),)))
        request = make_request(
            now_ms=clock.now_ms(), fingerprint=fingerprint, timeout_ms=5_000
        )
        scheduler.submit(request)
    started: list[Dispatch] = []
    while clock.now_ms() < CRASHED_MS + 2 * bounds.propagation_ms:
        for scheduler in schedulers:
            started += [d for d in scheduler.poll() if isinstance(d, Dispatch)]
        runs = [r for s in schedulers for r in s.poison.ends.pop_changed_runs()]
        clock.advance(1.0)
        for scheduler in schedulers:
            scheduler.fleet.observe_runs(runs)
    assert len(started) == 1


def test_suspect_does_not_wait_for_one_that_no_vm_has() -> None:
    """Guards against a suspect that starts nowhere, as others come first everywhere."""
    clock = ManualClock(CRASHED_MS)
    bounds = PoisonBounds()
    scheduler = make_scheduler(clock, ("e0",))
    fingerprints = range(1, 9)
    crash = [CrashSighting(f, "gone", "1", 0.0, 9.0) for f in fingerprints]
    scheduler.fleet.observe_crashes(crash)
    clock.advance(bounds.propagation_ms)
    request = make_request(now_ms=clock.now_ms(), fingerprint=1, timeout_ms=5_000)
    scheduler.submit(request)
    started: list[Dispatch] = []
    while clock.now_ms() < CRASHED_MS + 2.5 * bounds.propagation_ms:
        started += [d for d in scheduler.poll() if isinstance(d, Dispatch)]
        clock.advance(1.0)
    assert len(started) == 1


def test_copy_that_can_wait_longest_runs_first() -> None:
    """Guards against a copy whose caller leaves at once, and holds all others."""
    clock = ManualClock(CRASHED_MS)
    scheduler = make_scheduler(clock, ("e0",))
    scheduler.fleet.observe_crashes([CrashSighting(1, "gone", "1", 0.0, 9.0)])
    for name, timeout_ms in (("first", 700), ("last", 2_500), ("second", 900)):
        request = make_request(
            name, now_ms=clock.now_ms(), fingerprint=1, timeout_ms=timeout_ms
        )
        scheduler.submit(request)
    started: list[str] = []
    while not started:
        clock.advance(1.0)
        decisions = scheduler.poll()
        started += [d.request.request_id for d in decisions if isinstance(d, Dispatch)]
    assert started == ["last"]


@pytest.mark.parametrize("how", ["left", "in flight elsewhere"])
def test_suspect_runs_where_nothing_else_may_have_ended_the_upstream(how: str) -> None:
    """Guards against a run on a silent upstream, whose outcome all copies wait for."""
    clock = ManualClock(CRASHED_MS)
    scheduler = make_scheduler(clock, ("e0", "e1"))
    scheduler.fleet.observe_crashes([CrashSighting(1, "gone", "1", 0.0, 9.0)])
    clock.advance(PoisonBounds().propagation_ms)
    now_ms = clock.now_ms()
    if how == "left":
        scheduler.poison.note_left(2, "e0", "", now_ms - 20.0, now_ms)
    else:
        scheduler.fleet.observe_peer("other", [("e0", VmLoad(1, 0, 10))])
    request = make_request(now_ms=now_ms, fingerprint=1, timeout_ms=5_000)
    scheduler.submit(request)
    started: list[Dispatch] = []
    while not started:
        started += [d for d in scheduler.poll() if isinstance(d, Dispatch)]
        clock.advance(1.0)
    assert started[0].upstreams == ("e1",)
