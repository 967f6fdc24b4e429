"""Fair shares from the dispatch of requests to the next VM's order, log and metrics."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.decisions import Request
from quetzaldeck.decisions.fair_shares import ShareSum
from quetzaldeck.decisions.fair_shares.dispatched_tokens import FORGET_MS
from quetzaldeck.decisions.policies import Policies, build_scheduler
from quetzaldeck.gateway.dispatch_task import DispatchTask
from quetzaldeck.gateway.messages import ObserveShares, Submit
from quetzaldeck.telemetry import GatewayMetrics

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Decision
    from quetzaldeck.outcomes import Failure

N_SLOTS = 2
TARGET = "service desk/0"


def make_task(clock: ManualClock, *, is_shared: bool) -> DispatchTask:
    """:returns: a task with one replica"""
    scheduler = build_scheduler(
        Policies(admission="bounds"),
        clock=clock,
        random_state=random.Random(1),
        has_fair_shares=is_shared,
    )
    spec = UpstreamSpec(
        "d0",
        "http://127.0.0.1:1",
        kind="service",
        service="desk",
        max_requests=N_SLOTS,
    )
    scheduler.apply_bundle(Bundle(1, 1, upstreams=(spec,)))
    return DispatchTask(scheduler, GatewayMetrics(), clock)


def submit(task: DispatchTask, clock: ManualClock, *customers: str) -> list[str]:
    """Handle calls of customers one after the other, and place what can be placed.

    :returns: ids of the requests
    """
    loop = asyncio.get_running_loop()
    names = []
    for customer in customers:
        now_ms = clock.now_ms()
        name = f"{customer} {now_ms}"
        request = Request(
            name, customer, "", 100, 0, 0, now_ms, now_ms + 9_000, service="desk"
        )
        refusal: asyncio.Future[Failure | None] = loop.create_future()
        decisions: asyncio.Queue[Decision] = asyncio.Queue()
        task._handle(Submit(request, refusal, decisions))
        assert refusal.result() is None
        names.append(name)
        clock.advance(1.0)
    task._deliver_decisions()
    return names


@pytest.mark.parametrize("is_shared", [False, True])
def test_sums_of_another_vm_change_the_order(
    clock: ManualClock, capfd: pytest.CaptureFixture[str], *, is_shared: bool
) -> None:
    """Guards against sums that are received without an effect, or with one if off."""

    async def run() -> None:
        task = make_task(clock, is_shared=is_shared)
        clock.advance(FORGET_MS)
        running = submit(task, clock, "usual", "usual")
        assert task.take_share_changes(2) == [], "nothing waits"
        submit(task, clock, "burst", "usual")
        task._handle(ObserveShares("other", (ShareSum(TARGET, "burst", 50_000),)))
        task._scheduler.withdraw(running[0])
        task._deliver_decisions()
        (waiting,) = task._scheduler._queue
        assert waiting.customer == ("burst" if is_shared else "usual")
        task._passed_over_log.check(clock.now_ms())
        metrics = task._metrics.passed_over.labels("served_elsewhere")
        assert metrics._value.get() == is_shared
        own = [ShareSum(TARGET, "usual", 100)] if is_shared else []
        assert task.take_share_changes(2) == own

    asyncio.run(run())
    assert ("request_passed_over" in capfd.readouterr().err) == is_shared
