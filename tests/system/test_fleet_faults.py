"""Faulty upstreams behind real gateways: what callers receive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings
from tests.support.virtual_time import run_by_default

from quetzaldeck.directory import VmState
from quetzaldeck.standin import EngineFaults
from quetzaldeck.standin.answer_text import answer_text

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

WAIT_S = 20.0
N_OUTPUT = 5
MARKER = "deload-week"


class Reply(NamedTuple):
    """The response that a caller received."""

    status: int
    body: dict[str, Any]

    @property
    def reason(self) -> str:
        """:returns: reason of the refusal; ``""`` if the request was answered"""
        reason: str = self.body.get("error", {}).get("reason", "")
        return reason


class Caller:
    """Sends prompts to the gateways of a fleet."""

    def __init__(self, fleet: Fleet, client: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._client = client

    async def ask(self, prompt: str, vm: int = 0) -> Reply:
        body = {"model": MODEL, "prompt": prompt, "max_tokens": N_OUTPUT}
        async with self._client.post(
            f"{self._fleet.gateway_addresses[vm]}/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {API_KEY}", "X-Deadline-Ms": "20000"},
        ) as response:
            return Reply(response.status, await response.json(content_type=None))

    async def ask_and_check(self, prompt: str, vm: int = 0) -> None:
        """Send a prompt and check the answer byte for byte."""
        reply = await self.ask(prompt, vm)
        assert reply.status == 200, reply.body
        assert reply.body["choices"][0]["text"] == answer_text(prompt, N_OUTPUT)


def run_fleet(
    check: Callable[[Fleet, Caller], Awaitable[None]], *, n_vms: int, n_engines: int
) -> None:
    async def run() -> None:
        settings = FleetSettings(n_vms, n_engines)
        async with (
            asyncio.timeout(60),
            Fleet(settings) as fleet,
            aiohttp.ClientSession() as client,
        ):
            await check(fleet, Caller(fleet, client))

    run_by_default(run())


def read_metric(fleet: Fleet, vm: str, name: str, **labels: str) -> float:
    registry = fleet.vms[vm].gateway.session.metrics.registry
    return registry.get_sample_value(f"quetzaldeck_{name}", labels) or 0.0


def count_suspects(fleet: Fleet, vm: str, verdict: str) -> float:
    return read_metric(fleet, vm, "crash_suspects", verdict=verdict)


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.02)


def test_silent_connections_are_replaced_as_a_pool() -> None:
    """A device between gateway and engine drops all existing flows; new ones work.

    The connections in the gateway's pool still appear usable. If the pool were not
    replaced, each request on one of them would wait for the idle timeout.
    """

    async def check(fleet: Fleet, caller: Caller) -> None:
        engine = fleet.engines["engine-1"]
        await asyncio.gather(*(caller.ask_and_check(f"warm {i}") for i in range(8)))
        engine.silence_connections()
        await caller.ask_and_check("first")
        await asyncio.gather(*(caller.ask_and_check(f"later {i}") for i in range(8)))
        n_faults = read_metric(fleet, "entry-1", "attempt_faults_total", fault="silent")
        assert n_faults == 1
        replaced = read_metric(
            fleet, "entry-1", "replaced_pools_total", upstream="engine-1"
        )
        assert replaced == 1
        assert read_metric(fleet, "entry-1", "upstream_states", state="silent") == 0

    run_fleet(check, n_vms=1, n_engines=1)


def test_poison_is_refused_by_every_vm() -> None:
    """A prompt that crashes engines is resent by its caller through another VM.

    That VM has seen none of the crashes itself. Without the updates of the first VM it
    would let the prompt crash as many engines again.
    """

    async def check(fleet: Fleet, caller: Caller) -> None:
        for engine in fleet.engines.values():
            engine.faults = EngineFaults(MARKER, crash_after_ms=0, restart_ms=200)
        poison = f"plan with a {MARKER}"
        first = await caller.ask(poison, vm=0)
        assert first.reason == "poison_suspected"
        assert first.body["error"]["ran"] == "unknown"
        await wait_for(lambda: count_suspects(fleet, "entry-2", "refused") == 1)
        second = await caller.ask(poison, vm=1)
        assert second.reason == "poison_suspected"
        assert second.body["error"]["ran"] == "no"
        assert sum(engine.n_crashes for engine in fleet.engines.values()) == 3
        await caller.ask_and_check("an ordinary plan", vm=0)
        await caller.ask_and_check("an ordinary plan", vm=1)

    run_fleet(check, n_vms=2, n_engines=4)


def test_bystanders_of_a_crash_are_answered_and_cleared() -> None:
    async def check(fleet: Fleet, caller: Caller) -> None:
        asks = [caller.ask_and_check(f"{i} " + "word " * 2_000) for i in range(12)]
        tasks = [asyncio.create_task(ask) for ask in asks]
        engine = fleet.engines["engine-1"]
        await wait_for(lambda: engine.n_kv_tokens_used > 0)
        await engine.crash(200)
        await asyncio.gather(*tasks)
        await wait_for(lambda: count_suspects(fleet, "entry-1", "suspect") == 0)

    run_fleet(check, n_vms=1, n_engines=3)


def test_dead_engine_is_probed_and_returns() -> None:
    async def check(fleet: Fleet, caller: Caller) -> None:
        engine = fleet.engines["engine-1"]
        crash = asyncio.create_task(engine.crash(500))
        await asyncio.sleep(0)
        for index in range(6):
            await caller.ask_and_check(f"while down {index}")
        await crash
        n_before = engine.n_submitted

        async def is_back() -> bool:
            await caller.ask_and_check("back?")
            return engine.n_submitted > n_before

        async with asyncio.timeout(WAIT_S):
            while not await is_back():
                await asyncio.sleep(0.05)

    run_fleet(check, n_vms=1, n_engines=2)


def test_leaving_engine_gets_nothing_new_from_any_vm() -> None:
    async def check(fleet: Fleet, caller: Caller) -> None:
        fleet.set_state("engine-1", VmState.LEAVING)
        await wait_for(
            lambda: all(read_metric(fleet, vm, "upstreams_leaving") for vm in fleet.vms)
        )
        n_before = fleet.engines["engine-1"].n_submitted
        for index in range(20):
            await caller.ask_and_check(f"after {index}", vm=index % 2)
        assert fleet.engines["engine-1"].n_submitted == n_before

    run_fleet(check, n_vms=2, n_engines=2)
