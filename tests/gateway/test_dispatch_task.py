"""Tests of the task between the request handlers and the scheduler."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.decisions import Dispatch, Request
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.policies import Policies, build_scheduler
from quetzaldeck.gateway.dispatch_task import IDLE_INTERVAL_MS, DispatchTask
from quetzaldeck.gateway.messages import ObservePeerLoad, Submit
from quetzaldeck.telemetry import GatewayMetrics

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Decision
    from quetzaldeck.outcomes import Failure

SERVICE = "desk"
N_SLOTS = 8
TIMEOUT_MS = 1_000.0
IDLE_MS = 5_000.0
TEST_TIMEOUT_S = 5


class Caller:
    """One call, and the task's replies and decisions on it."""

    def __init__(self, number: int, now_ms: float) -> None:
        self.request = Request(
            f"call{number}",
            "gym",
            "",
            1,
            0,
            5,
            now_ms,
            now_ms + TIMEOUT_MS,
            service=SERVICE,
        )
        loop = asyncio.get_running_loop()
        self.refusal: asyncio.Future[Failure | None] = loop.create_future()
        self.decisions: asyncio.Queue[Decision] = asyncio.Queue()

    def submit(self, task: DispatchTask) -> None:
        """Add the call to the task's mailbox."""
        task.send(Submit(self.request, self.refusal, self.decisions))


def make_task(clock: ManualClock, n_replicas: int = 1) -> DispatchTask:
    """:returns: a task with the replicas ``d0``, ``d1`` and so on"""
    scheduler = build_scheduler(Policies(), clock=clock, random_state=random.Random(1))
    specs = tuple(
        UpstreamSpec(
            f"d{number}",
            "http://127.0.0.1:1",
            kind="service",
            service=SERVICE,
            max_requests=N_SLOTS,
        )
        for number in range(n_replicas)
    )
    scheduler.apply_bundle(Bundle(1, 1, upstreams=specs))
    return DispatchTask(scheduler, GatewayMetrics(), clock)


def make_peer_load(name: str, n_requests: int) -> ObservePeerLoad:
    return ObservePeerLoad("other", ((name, VmLoad(n_requests)),))


def count_peer_requests(task: DispatchTask, name: str, clock: ManualClock) -> int:
    """:returns: number of other VMs' requests on a replica, as known by the task"""
    state = task._scheduler.upstreams.get(name)
    assert state is not None
    return state.peers.total(clock.now_ms()).n_requests


def test_calls_that_arrive_together_are_not_refused_before_idle_upstreams(
    clock: ManualClock,
) -> None:
    """Guards against refusals in a burst of calls although all replicas are idle.

    There was one call in five seconds so far, so this is the rate at which the queue is
    expected to drain. Seven calls are in the mailbox before the first of them is
    placed. If they counted as queued, the last ones would appear to wait for half a
    minute, and five of the seven would be refused.
    """

    async def run() -> None:
        task = make_task(clock)
        running = asyncio.create_task(task.run())
        first = Caller(0, clock.now_ms())
        first.submit(task)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert isinstance(await first.decisions.get(), Dispatch)
        clock.advance(IDLE_MS)
        callers = [Caller(number, clock.now_ms()) for number in range(1, N_SLOTS)]
        for caller in callers:
            caller.submit(task)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            refusals = [await caller.refusal for caller in callers]
            assert refusals == [None] * len(callers)
            for caller in callers:
                assert isinstance(await caller.decisions.get(), Dispatch)
        running.cancel()

    asyncio.run(run())


def test_deferred_loads_are_used_to_place_the_next_call(clock: ManualClock) -> None:
    """Guards against placing a call with outdated loads of other VMs.

    Another VM has just reported that a replica is full. The message is deferred until a
    call arrives, and must be handled before the call is placed.
    """

    async def run() -> None:
        task = make_task(clock, n_replicas=2)
        running = asyncio.create_task(task.run())
        task.send_deferrable(make_peer_load("d0", N_SLOTS))
        await asyncio.sleep(0.01)
        assert count_peer_requests(task, "d0", clock) == 0, "no call needs it yet"
        for number in range(4):
            caller = Caller(number, clock.now_ms())
            caller.submit(task)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                decision = await caller.decisions.get()
            assert isinstance(decision, Dispatch)
            assert decision.upstreams == ("d1",)
        running.cancel()

    asyncio.run(run())


def test_deferred_messages_are_handled_on_an_idle_vm(clock: ManualClock) -> None:
    """Guards against an unlimited number of deferred messages on a VM without calls.

    It receives three hundred messages a second, and none must stay deferred.
    """

    async def run() -> None:
        task = make_task(clock)
        running = asyncio.create_task(task.run())
        for number in range(300):
            task.send_deferrable(make_peer_load("d0", number))
        await asyncio.sleep(1.5 * IDLE_INTERVAL_MS / 1_000)
        assert count_peer_requests(task, "d0", clock) == 299
        assert not task._deferred
        running.cancel()

    asyncio.run(run())


def test_free_capacity_places_a_queued_call_at_once(clock: ManualClock) -> None:
    """Guards against a delay of a queued call after another VM freed the replica.

    The call is queued since requests of the other VM occupy all slots.
    """

    async def run() -> None:
        task = make_task(clock)
        running = asyncio.create_task(task.run())
        task.send_deferrable(make_peer_load("d0", N_SLOTS))
        caller = Caller(1, clock.now_ms())
        caller.submit(task)
        await asyncio.sleep(0.01)
        assert caller.decisions.empty()
        task.send_deferrable(make_peer_load("d0", 0))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert isinstance(await caller.decisions.get(), Dispatch)
        running.cancel()

    asyncio.run(run())
