"""Prompts too large for one engine's memory, with real gateways and stand-in engines.

A group of engines reserves memory for such a prompt and prefills it together.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings
from tests.support.virtual_time import run_by_default

from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.standin.answer_text import answer_text

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

KV_TOKENS = 20_000
PROFILE = EngineProfile(
    kv_tokens=KV_TOKENS, prefill_tokens_per_s=200_000.0, step_ms=1.0
)
N_OUTPUT = 20
HEADERS = {"Authorization": f"Bearer {API_KEY}"}
WAIT_S = 10.0


def make_prompt(n_tokens: int, name: str) -> str:
    """:returns: a prompt of three-letter words, one token each"""
    return " ".join((name[:3].ljust(3, "x"), *(["abc"] * (n_tokens - 1))))


async def complete(
    client: aiohttp.ClientSession, address: str, prompt: str, *, deadline_ms: int
) -> tuple[int, Any]:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": N_OUTPUT}
    headers = {**HEADERS, "X-Deadline-Ms": str(deadline_ms)}
    async with client.post(
        f"{address}/v1/completions", json=body, headers=headers
    ) as response:
        return response.status, await response.json(content_type=None)


def run_fleet(
    check: Callable[[Fleet, aiohttp.ClientSession], Awaitable[None]],
    *,
    n_vms: int,
    n_engines: int,
) -> None:
    async def run() -> None:
        settings = FleetSettings(n_vms, n_engines, zones=("ktm-a",), profile=PROFILE)
        async with Fleet(settings) as fleet, aiohttp.ClientSession() as client:
            await check(fleet, client)
            async with asyncio.timeout(WAIT_S):
                while not is_empty(fleet):
                    await asyncio.sleep(0.02)

    run_by_default(run())


def is_empty(fleet: Fleet) -> bool:
    """:returns: whether no engine has allocated memory"""
    return all(engine.n_kv_tokens_used == 0 for engine in fleet.engines.values())


def test_prompt_of_more_than_twice_an_engines_memory_is_answered() -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        prompt = make_prompt(round(2.05 * KV_TOKENS), "one")
        address = fleet.gateway_addresses[0]
        status, body = await complete(client, address, prompt, deadline_ms=20_000)
        assert status == 200, body
        assert body["choices"][0]["text"] == answer_text(prompt, N_OUTPUT)
        assert sum(engine.n_reservations for engine in fleet.engines.values()) == 4

    run_fleet(check, n_vms=1, n_engines=4)


def test_two_large_prompts_from_two_vms_are_both_answered() -> None:
    """Two prompts that each need most of the fleet arrive at two VMs at once.

    If each reserved half of the engines and waited for the other half, they would
    deadlock until their deadlines while every engine is idle.
    """

    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        n_tokens = round(2.05 * KV_TOKENS)
        prompts = [make_prompt(n_tokens, name) for name in ("one", "two")]
        answers = await asyncio.gather(
            *(
                complete(client, address, prompt, deadline_ms=30_000)
                for address, prompt in zip(
                    fleet.gateway_addresses, prompts, strict=True
                )
            )
        )
        for prompt, (status, body) in zip(prompts, answers, strict=True):
            assert status == 200, body
            assert body["choices"][0]["text"] == answer_text(prompt, N_OUTPUT)

    run_fleet(check, n_vms=2, n_engines=4)


def test_short_requests_are_answered_while_a_group_is_reserved() -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        address = fleet.gateway_addresses[0]
        huge = make_prompt(round(2.05 * KV_TOKENS), "one")
        task = asyncio.create_task(complete(client, address, huge, deadline_ms=30_000))
        for index in range(20):
            short = make_prompt(1_000, f"s{index}")
            status, body = await complete(client, address, short, deadline_ms=20_000)
            assert status == 200, body
            assert body["choices"][0]["text"] == answer_text(short, N_OUTPUT)
        assert (await task)[0] == 200

    run_fleet(check, n_vms=1, n_engines=4)


def test_crash_of_a_member_releases_all_memory() -> None:
    """A group member crashes after it prefilled its part of the prompt.

    The request must run again, and the memory of the other members must be released.
    """

    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        prompt = make_prompt(round(2.05 * KV_TOKENS), "one")
        address = fleet.gateway_addresses[0]
        task = asyncio.create_task(
            complete(client, address, prompt, deadline_ms=30_000)
        )
        engines = list(fleet.engines.values())
        async with asyncio.timeout(WAIT_S):
            while not any(engine.n_exports for engine in engines):
                await asyncio.sleep(0.005)
        victim = next(engine for engine in engines if engine.n_exports)
        await victim.crash(50)
        status, body = await task
        assert status == 200, body
        assert body["choices"][0]["text"] == answer_text(prompt, N_OUTPUT)

    run_fleet(check, n_vms=1, n_engines=5)


def test_prompt_of_more_tokens_than_estimated_is_answered() -> None:
    """A prompt of very short words has twice the tokens estimated from its length.

    By the estimate it fits one engine, but it does not, nor does it fit the first
    group.
    """

    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        prompt = "a " * round(1.2 * KV_TOKENS)
        address = fleet.gateway_addresses[0]
        status, body = await complete(client, address, prompt, deadline_ms=30_000)
        assert status == 200, body
        assert body["choices"][0]["text"] == answer_text(prompt, N_OUTPUT)

    run_fleet(check, n_vms=1, n_engines=4)


def test_disconnect_of_the_caller_releases_all_memory() -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        prompt = make_prompt(round(2.05 * KV_TOKENS), "one")
        address = fleet.gateway_addresses[0]
        task = asyncio.create_task(
            complete(client, address, prompt, deadline_ms=30_000)
        )
        async with asyncio.timeout(WAIT_S):
            while is_empty(fleet):
                await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run_fleet(check, n_vms=1, n_engines=4)


def test_prompt_that_no_group_can_hold_is_refused_at_once() -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        prompt = make_prompt(4 * KV_TOKENS, "one")
        address = fleet.gateway_addresses[0]
        status, body = await complete(client, address, prompt, deadline_ms=30_000)
        assert status == 413
        assert body["error"]["reason"] == "prompt_too_large"
        assert body["error"]["ran"] == "no"

    run_fleet(check, n_vms=1, n_engines=4)
