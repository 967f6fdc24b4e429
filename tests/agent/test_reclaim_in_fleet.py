"""Engine memory of gateways that are gone is released."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from tests.support.fleet import Fleet, FleetSettings, wait_for
from tests.support.virtual_time import run_by_default

from quetzaldeck.gateway.service import GatewayService
from quetzaldeck.reclaim import mark_expiry
from quetzaldeck.upstreams import Owner

if TYPE_CHECKING:
    from quetzaldeck.standin import EngineStandin

SCAN_WAIT_S = 1.0


async def orphan(engine: EngineStandin, attempt_id: str, owner: Owner) -> None:
    """Start a long sequence and drop its connection without notifying the engine."""
    control = {
        "attempt_id": attempt_id,
        "vm": owner.vm,
        "incarnation": owner.incarnation,
        "priority": 0,
        "offset": 0,
        "n_delivered_tokens": 0,
    }
    body = {"prompt": "a b c", "max_tokens": 100_000, "quetzaldeck": control}
    async with aiohttp.ClientSession() as client:
        url = engine.address + "/v1/completions"
        async with client.post(url, data=msgspec.json.encode(body)) as response:
            await response.content.readline()
            engine.silence_connections()


def read_reclaimed(fleet: Fleet, why: str) -> float:
    name = "quetzaldeck_agent_reclaimed_total"
    registries = [vm.agent.session.metrics.registry for vm in fleet.vms.values()]
    return sum(r.get_sample_value(name, {"why": why}) or 0 for r in registries)


async def run_restarted_gateway() -> None:
    async with Fleet(FleetSettings(n_vms=3, n_engines=1)) as fleet:
        await fleet.wait_until_members_agree()
        engine = fleet.engines["engine-1"]
        vm = fleet.vms["entry-1"]
        await orphan(engine, "orphan.1", vm.gateway.session.state.owner)
        await asyncio.sleep(SCAN_WAIT_S)
        assert engine.n_kv_tokens_used
        settings = vm.gateway.session.state.settings
        with suppress(aiohttp.ClientError):
            await vm.gateway.stop()
        new_gateway = GatewayService(settings)
        await new_gateway.start()
        fleet.vms["entry-1"] = vm._replace(gateway=new_gateway)
        await wait_for(lambda: engine.n_kv_tokens_used == 0)
        # The engine frees its memory before the agent has read the engine's answer.
        await wait_for(lambda: read_reclaimed(fleet, "owner_gone") > 0)
        await asyncio.sleep(SCAN_WAIT_S)
        assert read_reclaimed(fleet, "owner_gone") == 1


def test_memory_of_a_replaced_gateway_is_released() -> None:
    """A gateway dies after its connection to an engine was dropped without closing.

    The engine does not notice and generates for minutes without a recipient. As long
    as the gateway runs, the sequence must not be released.
    """
    run_by_default(run_restarted_gateway())


async def run_lost_vm() -> None:
    async with Fleet(FleetSettings(n_vms=3, n_engines=1)) as fleet:
        await fleet.wait_until_members_agree()
        engine = fleet.engines["engine-1"]
        owner = Owner("entry-lost", "gateway.lost")
        wall_ms = fleet.vms["entry-1"].agent.session.clock.wall_ms()
        await orphan(engine, mark_expiry("late.1", wall_ms + 60_000), owner)
        await orphan(engine, mark_expiry("past.1", wall_ms - 60_000), owner)
        await wait_for(lambda: read_reclaimed(fleet, "deadline_passed") == 1)
        await asyncio.sleep(SCAN_WAIT_S)
        assert read_reclaimed(fleet, "deadline_passed") == 1
        assert engine.n_kv_tokens_used


def test_memory_of_a_lost_vm_is_released_after_its_deadline() -> None:
    """A VM is lost, so no agent can confirm that its gateway is gone."""
    run_by_default(run_lost_vm())
