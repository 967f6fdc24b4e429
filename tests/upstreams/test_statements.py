"""What upstreams of the own interface say of themselves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings
from tests.support.virtual_time import run_by_default

from quetzaldeck.decisions.availability import ClosureCause
from quetzaldeck.standin import EngineFaults

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

REST_MS = 2_500


async def ask(fleet: Fleet, client: aiohttp.ClientSession) -> int:
    """:returns: status of the answer to a prompt"""
    async with client.post(
        f"{fleet.gateway_addresses[0]}/v1/completions",
        json={"model": MODEL, "prompt": "plan", "max_tokens": 2},
        headers={"Authorization": f"Bearer {API_KEY}", "X-Deadline-Ms": "8000"},
    ) as response:
        await response.read()
        return response.status


def run_fleet(check: Callable[[Fleet, aiohttp.ClientSession], Awaitable[None]]) -> None:
    async def run() -> None:
        async with (
            asyncio.timeout(60),
            Fleet(FleetSettings(1, 2)) as fleet,
            aiohttp.ClientSession() as client,
        ):
            await check(fleet, client)

    run_by_default(run())


@pytest.mark.parametrize(
    ("faults", "cause"),
    [
        (EngineFaults(rest_ms=REST_MS), ClosureCause.RESTING),
        (EngineFaults(is_leaving=True), ClosureCause.LEAVING),
    ],
)
def test_engine_that_rests_or_leaves_gets_nothing_new(
    faults: EngineFaults, cause: ClosureCause
) -> None:
    """Guards against requests that wait for an engine to which others go on to be sent.

    The rest has a fraction of a second, and the agent's list does not name the engine.
    """

    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        dispatch = fleet.vms["entry-1"].gateway.session.state.dispatch
        engine = fleet.engines["engine-1"]
        engine.faults = faults
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        while dispatch.find_closure("engine-1") is None:
            assert await ask(fleet, client) == 200
        assert loop.time() - begun_s < REST_MS / 1_000, (
            "the request waited for the rest"
        )
        closure = dispatch.find_closure("engine-1")
        assert closure is not None
        assert closure.cause is cause
        n_before = engine.n_submitted
        for _ in range(6):
            assert await ask(fleet, client) == 200
        assert engine.n_submitted == n_before

    run_fleet(check)


def test_new_process_owes_nothing_for_the_one_before() -> None:
    """Guards against an engine that stays unused after a restart."""

    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        dispatch = fleet.vms["entry-1"].gateway.session.state.dispatch
        engine = fleet.engines["engine-1"]
        engine.faults = EngineFaults(is_leaving=True)
        while dispatch.find_closure("engine-1") is None:
            assert await ask(fleet, client) == 200
        engine.faults = EngineFaults()
        await engine.crash(50.0)
        async with asyncio.timeout(10):
            while dispatch.find_closure("engine-1") is not None:
                await asyncio.sleep(0.1)

    run_fleet(check)
