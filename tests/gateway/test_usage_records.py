"""Tests of fleet-wide customer limits, with real gateways and agents."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
import uvloop
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings

from quetzaldeck.bundle import Bundle, CustomerLimits, CustomerSpec, UpstreamSpec
from quetzaldeck.decisions import Request
from quetzaldeck.decisions.limits import LimitBounds
from quetzaldeck.decisions.policies import Policies, build_scheduler
from quetzaldeck.dissemination.record import Record
from quetzaldeck.gateway.dispatch_task import DispatchTask
from quetzaldeck.gateway.usage_records import UsageRecords
from quetzaldeck.telemetry import GatewayMetrics

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Scheduler

LIMIT = 4
N_OUTPUT = 500
"""Makes an answer take more than a second, so that all calls arrive before it ends."""

WAIT_S = 10.0


async def complete(client: aiohttp.ClientSession, address: str) -> tuple[int, Any]:
    body = {"model": MODEL, "prompt": "abc " * 50, "max_tokens": N_OUTPUT}
    headers = {"Authorization": f"Bearer {API_KEY}"}
    url = f"{address}/v1/completions"
    async with client.post(url, json=body, headers=headers) as response:
        return response.status, await response.json()


async def publish_limit(fleet: Fleet, client: aiohttp.ClientSession) -> None:
    bundle = fleet.build_bundle(2)
    limits = CustomerLimits(requests_in_flight=LIMIT)
    customers = tuple(c._replace(limits=limits) for c in bundle.customers)
    await fleet.publish(bundle._replace(customers=customers))
    async with asyncio.timeout(WAIT_S):
        for address in fleet.gateway_addresses:
            while not await is_up_to_date(client, address):
                await asyncio.sleep(0.02)


async def is_up_to_date(client: aiohttp.ClientSession, address: str) -> bool:
    """:returns: whether a gateway has the limit in force and knows the other VM"""
    async with client.get(f"{address}/metrics") as response:
        lines = (await response.text()).splitlines()
    return {"quetzaldeck_bundle_version 2.0", "quetzaldeck_limit_vms 2.0"} <= set(lines)


def count_statuses(answers: Iterable[tuple[int, Any]]) -> dict[int, int]:
    counts: dict[int, int] = {}
    for status, _ in answers:
        counts[status] = counts.get(status, 0) + 1
    return counts


def test_limit_holds_when_two_vms_receive_calls_at_once() -> None:
    """Guards against exceeding a customer's limit on two VMs together.

    The limit is four requests, and each VM receives eight at once. If each VM allowed
    the whole limit, eight would run.
    """

    async def run() -> None:
        settings = FleetSettings(n_vms=2, n_engines=2)
        async with Fleet(settings) as fleet, aiohttp.ClientSession() as client:
            await publish_limit(fleet, client)
            answers = await asyncio.gather(
                *(
                    complete(client, address)
                    for address in fleet.gateway_addresses
                    for _ in range(8)
                )
            )
            assert count_statuses(answers) == {200: LIMIT, 429: 16 - LIMIT}
            for status, body in answers:
                if status == 429:
                    assert body["error"]["reason"] == "customer_limit"
                    assert body["error"]["ran"] == "no"
                    assert body["error"]["retry_after_ms"] > 0
            again = await complete(client, fleet.gateway_addresses[0])
            assert again[0] == 200

    uvloop.run(run())


def make_dispatch(clock: ManualClock, vm: int) -> tuple[DispatchTask, Scheduler]:
    scheduler = build_scheduler(Policies(), clock=clock, random_state=random.Random(vm))
    limits = CustomerLimits(requests_in_flight=10)
    upstream = UpstreamSpec("e", "http://127.0.0.1:1", models=("m",), kv_tokens=10_000)
    scheduler.apply_bundle(
        Bundle(
            1,
            1,
            customers=(CustomerSpec("gym", (), limits=limits),),
            upstreams=(upstream,),
        )
    )
    scheduler.limits.n_vms = 2
    return DispatchTask(scheduler, GatewayMetrics(), clock), scheduler


def submit(scheduler: Scheduler, clock: ManualClock, n: int) -> int:
    """:returns: how many of ``n`` requests were admitted"""
    now_ms = clock.now_ms()
    return sum(
        scheduler.submit(
            Request(f"{now_ms}-{i}", "gym", "m", 100, 1, 5, now_ms, now_ms + 1e6)
        )
        is None
        for i in range(n)
    )


def test_usage_of_another_vm_reduces_the_limit_of_this_one(
    clock: ManualClock,
) -> None:
    """Guards against ignoring the usage of a limit on another VM.

    One VM has three requests in flight, so the other may have seven, not ten. The usage
    is sent in records: as JSON, with a time to live.
    """
    first, first_scheduler = make_dispatch(clock, 1)
    second, second_scheduler = make_dispatch(clock, 2)
    assert submit(first_scheduler, clock, 3) == 3
    drafts = UsageRecords(first).take_drafts()
    assert [(d.kind, d.key) for d in drafts] == [("usage", "gym")]
    assert submit(second_scheduler, clock, 1) == 1
    clock.advance(LimitBounds().slow_start_ms)
    for draft in drafts:
        value = msgspec.json.decode(msgspec.json.encode(draft.value))
        record = Record(
            "usage",
            draft.key,
            "vm-1",
            "i",
            1,
            draft.ttl_ms,
            value=value,
            is_urgent=False,
        )
        UsageRecords(second).handle(record)
    second.handle_pending()
    assert submit(second_scheduler, clock, 20) == 6


def test_usage_in_an_unknown_format_is_ignored(clock: ManualClock) -> None:
    """Guards against a failure when a VM of a newer version sends another format."""
    dispatch, scheduler = make_dispatch(clock, 1)
    record = Record(
        "usage", "gym", "vm-2", "i", 1, 1_000, is_urgent=False, value={"a": "b"}
    )
    UsageRecords(dispatch).handle(record)
    dispatch.handle_pending()
    assert submit(scheduler, clock, 1) == 1
