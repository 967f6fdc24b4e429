"""Requests that crash each replica that runs them, sent again and again by a caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
from tests.support.platform.crash_check import CrashRecord
from tests.support.platform.crashing import (
    CULPRIT,
    OTHER_KEY,
    RUN_MS,
    Sender,
    Shape,
    add_replicas,
    publish_customers,
)
from tests.support.platform.fleet import run_fleet
from tests.support.platform.replica import Arrival, Connection, StandInReplica
from tests.support.platform.site import (
    BOOK_PATH,
    DESK,
    LOOK_PATH,
    PLAN_PATH,
    build_entry,
)

if TYPE_CHECKING:
    from tests.support.platform.fleet import EntryFleet

REFUSAL_MS = 200.0
"""A refusal at once: a quarter of the time that the callers have."""


@pytest.mark.parametrize("body", [b"", b"question"], ids=["no_body", "body"])
@pytest.mark.parametrize("path", [PLAN_PATH, LOOK_PATH, BOOK_PATH])
def test_request_that_crashes_replicas_is_refused_by_all_vms(
    path: str, body: bytes
) -> None:
    """A caller's request goes on crashing a service's replicas, one after the other."""

    async def test(fleet: EntryFleet) -> None:
        await publish_customers(fleet)
        culprit = Shape(path, body)
        neighbours = {
            "body": Shape(path, b"another question"),
            "customer": Shape(path, body, OTHER_KEY),
            "path": Shape(path + "/2", body),
        }
        record = CrashRecord()
        await add_replicas(fleet, culprit.service, 3, {CULPRIT: culprit}, record)
        sender = Sender(fleet)
        async with aiohttp.ClientSession() as client, asyncio.TaskGroup() as group:
            for _ in range(35):
                for name, shape in ({CULPRIT: culprit} | neighbours).items():
                    group.create_task(sender.send(client, name, shape))
                    await asyncio.sleep(0.05)
        assert list(record.find_excess()) == []
        settled_ms = record.crashes_ms[CULPRIT][2] + 3_000.0
        assert sender.count_after(CULPRIT, settled_ms).keys() == {503}
        assert sender.max_refusal_ms(CULPRIT, settled_ms) < REFUSAL_MS
        for name in neighbours:
            assert sender.count_after(name, settled_ms).keys() == {200}

    run_fleet(test, n_vms=4)


def test_request_whose_answers_are_lost_is_not_refused() -> None:
    """Replicas that live on lose the answers to one request; others are answered."""

    async def test(fleet: EntryFleet) -> None:
        lost = Shape(LOOK_PATH, b"lost")
        loses = True

        async def handle(arrival: Arrival, connection: Connection) -> None:
            await asyncio.sleep(RUN_MS / 1_000)
            if loses and arrival.body == lost.body:
                connection.reset()
            else:
                await connection.answer(arrival)

        for index in range(3):
            replica = StandInReplica(f"r{index}", handle)
            await fleet.enter(replica)
            entry = build_entry(DESK, replica.address)
            fleet.store.put(f"servers/r{index}", entry)
        await fleet.wait(
            lambda: all(len(vm.state.belief.replicas) >= 5 for vm in fleet.vms.values())
        )
        fleet.store.delete("servers/d0")
        sender = Sender(fleet)
        async with aiohttp.ClientSession() as client:
            for _ in range(12):
                assert await sender.send(client, "lost", lost) == 502
                assert await sender.send(client, "kept", Shape(LOOK_PATH, b"")) == 200
                await asyncio.sleep(0.1)
            loses = False
            for _ in range(4):
                assert await sender.send(client, "lost", lost) == 200

    run_fleet(test, n_vms=4)


def test_vm_that_just_started_refuses_what_the_others_refuse() -> None:
    """A VM that starts after the crashes lets a request end three replicas more."""

    async def test(fleet: EntryFleet) -> None:
        culprit = Shape(LOOK_PATH, b"")
        record = CrashRecord()
        await add_replicas(fleet, DESK, 3, {CULPRIT: culprit}, record)
        sender = Sender(fleet)
        async with aiohttp.ClientSession() as client:
            while len(record.crashes_ms[CULPRIT]) < 3:
                await sender.send(client, CULPRIT, culprit)
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            n_sent = len(record.sendings[CULPRIT])
            for host in sorted(fleet.vms):
                await fleet.stop(host)
                await fleet.start(host)
                await fleet.wait(lambda: all(v.version for v in fleet.vms.values()))
                await asyncio.sleep(1.0)
                for _ in fleet.vms:
                    assert await sender.send(client, CULPRIT, culprit) == 503
                other = Shape(LOOK_PATH, b"another question")
                assert await sender.send(client, "other", other) == 200
        assert len(record.sendings[CULPRIT]) == n_sent

    run_fleet(test, n_vms=3)
