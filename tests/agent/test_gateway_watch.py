"""When a VM is stopped, its agent ends after its gateway."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import uvloop
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings

from quetzaldeck.agent.gateway_watch import GatewayWatch
from quetzaldeck.exchange import GatewayReport

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

REPORT = GatewayReport("v", "i", 1)


def test_is_gone_after_final_report_or_silence(clock: ManualClock) -> None:
    """A crashed gateway sends no final report; the agent must not wait for ever."""
    watch = GatewayWatch(clock, quiet_ms=1_000)
    assert watch.is_gone
    watch.note_report(REPORT)
    assert not watch.is_gone
    clock.advance(1_001)
    assert watch.is_gone
    watch.note_report(REPORT)
    assert not watch.is_gone
    watch.note_report(REPORT._replace(is_stopped=True))
    assert watch.is_gone


def test_cancel_wait_marks_the_gateway_gone(clock: ManualClock) -> None:
    watch = GatewayWatch(clock, quiet_ms=1_000)
    watch.note_report(REPORT)
    watch.cancel_wait()
    assert watch.is_gone


def test_agent_runs_until_its_gateway_has_answered_all_requests() -> None:
    """Both programs of a VM get SIGTERM while a long answer is being streamed.

    If the agent ended at once, the gateway could neither claim keys for its remaining
    requests nor learn of leaving upstreams. Responses sent meanwhile must also close
    the load balancer's connection to this VM.
    """

    async def check() -> None:
        async with (
            asyncio.timeout(30),
            Fleet(FleetSettings(n_vms=1)) as fleet,
            aiohttp.ClientSession(fleet.gateway_addresses[0]) as client,
        ):
            vm = fleet.vms["entry-1"]
            body = {"model": MODEL, "prompt": "p", "max_tokens": 1_200, "stream": True}
            headers = {"Authorization": f"Bearer {API_KEY}"}
            long = await client.post("/v1/completions", json=body, headers=headers)
            await long.content.readline()
            stops = [
                asyncio.create_task(program.drain())
                for program in (vm.agent, vm.gateway)
            ]
            await asyncio.sleep(0)
            async with client.get("/v1/models", headers=headers) as response:
                assert response.status == 200
                assert response.headers["Connection"] == "close"
            while vm.gateway.session.state.drain.phase != "draining":
                await asyncio.sleep(0.01)
            async with client.get("/v1/models", headers=headers) as response:
                assert (await response.json())["error"]["reason"] == "shutting_down"
                assert response.headers["Retry-After"] == "1"
            assert not any(stop.done() for stop in stops)
            assert (await long.text()).endswith("data: [DONE]\n\n")
            assert await asyncio.gather(*stops) == [0, 0]

    uvloop.run(check())
