"""Whether a VM may take a replica that it does not reach for crashed."""

from __future__ import annotations

import asyncio
import math
import time
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import pytest
import uvloop
from prometheus_client import CollectorRegistry

from quetzaldeck.clock import Clock, ManualClock
from quetzaldeck.entry.path_watch import CONFIRM_WAIT_MS, TICK_MS, PathWatch
from quetzaldeck.platform.health_checks import CHECK_TIMEOUT_MS
from quetzaldeck.routing import Replica
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.telemetry import UpstreamMetrics

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from quetzaldeck.gateway.dispatch_task import DispatchTask

T0 = 10_000.0
DESKS = ("d0", "d1", "d2")
ENGINES = ("e0", "e1")
REPLICAS = {
    name: Replica(name, service, f"10.0.0.1:{port}", "a", is_leaving=False, n_slots=6)
    for service, names in (("desk", DESKS), ("plans", ENGINES))
    for port, name in enumerate(names, 1)
}
STALL_MS = 250
"""Twice the time by which a tick of the watch may be late."""


def open_watch(
    clock: Clock, probe: Callable[[Replica], Coroutine[object, object, bool]]
) -> PathWatch:
    """:returns: a watch of paths on which every replica has just sent something"""
    dispatch = SimpleNamespace(
        send=lambda message: None, find_peer_answered_ms=lambda name: -math.inf
    )
    watch = PathWatch(
        clock,
        lambda: REPLICAS,
        lambda replica: not replica.is_leaving,
        probe,
        cast("DispatchTask", dispatch),
        UpstreamMetrics(CollectorRegistry()),
        random_state=Random(0),
    )
    watch.apply_replicas()
    for name in REPLICAS:
        watch.note_heard(name)
    return watch


@pytest.mark.parametrize("answers", [True, False])
def test_crash_is_concluded_only_if_another_service_answers(*, answers: bool) -> None:
    """A VM whose probes of other services are late takes its lost path for crashes."""
    clock = ManualClock(T0)

    async def probe(replica: Replica) -> bool:
        if replica.service == "desk":
            return False
        if not answers:
            await asyncio.sleep(3_600.0)
        return True

    async def test() -> bool:
        watch = open_watch(clock, probe)
        clock.advance(1_000.0)
        watch.note_failed("d0", clock.now_ms(), is_new_connection=True)
        concluding = asyncio.create_task(
            watch.may_conclude(REPLICAS["d0"], clock.now_ms())
        )
        while not concluding.done():
            clock.advance(50.0)
            await asyncio.sleep(0.01)
        return concluding.result()

    assert uvloop.run(test()) is answers


def test_vm_that_is_late_again_and_again_knows_that_its_path_is_lost() -> None:
    """A VM that is short of processor time never finds that it is partitioned."""

    async def probe(replica: Replica) -> bool:
        try:
            async with RunningTimeout(CHECK_TIMEOUT_MS):
                await asyncio.Event().wait()
        except TimeoutError:
            return False
        return True

    async def test() -> None:
        clock = Clock()
        watch = open_watch(clock, probe)
        running = asyncio.create_task(watch.run())
        watch.note_failed("d0", clock.now_ms(), is_new_connection=True)
        path = watch.monitor.find_path("desk")
        assert path is not None
        async with asyncio.timeout(10):
            while path.lost_ms is None:
                await asyncio.sleep(STALL_MS / 2_000)
                time.sleep(STALL_MS / 1_000)  # noqa: ASYNC251 - blocks the event loop
        running.cancel()

    uvloop.run(test())


@pytest.mark.parametrize("is_lost", [False, True])
def test_service_is_confirmed_while_another_one_hangs(*, is_lost: bool) -> None:
    """A VM refuses handed-over requests for a service since another one hangs."""

    async def probe(replica: Replica) -> bool:
        if replica.service == "plans":
            await asyncio.sleep(CHECK_TIMEOUT_MS / 1_000)
            return False
        return True

    async def test() -> None:
        clock = ManualClock(T0)
        watch = open_watch(clock, probe)
        running = asyncio.create_task(watch.run())
        watch.note_failed("e0", clock.now_ms(), is_new_connection=True)
        path = watch.monitor.find_path("plans")
        assert path is not None
        async with asyncio.timeout(10):
            while is_lost and path.lost_ms is None:
                await asyncio.sleep(0.01)
        clock.advance(watch.monitor.bounds.evidence_ms + 1.0)
        await asyncio.sleep(2 * TICK_MS / 1_000)
        assert await watch.confirm("desk", CONFIRM_WAIT_MS)
        running.cancel()

    uvloop.run(test())


def test_service_is_confirmed_though_one_of_its_upstreams_hangs() -> None:
    """All VMs refuse handed-over requests since they probe the same upstream first."""

    async def probe(replica: Replica) -> bool:
        if replica.replica_id == "d0":
            await asyncio.sleep(CHECK_TIMEOUT_MS / 1_000)
            return False
        return True

    async def test() -> None:
        clock = ManualClock(T0)
        watch = open_watch(clock, probe)
        clock.advance(watch.monitor.bounds.evidence_ms + 1.0)
        assert await watch.confirm("desk", CONFIRM_WAIT_MS)

    uvloop.run(test())
