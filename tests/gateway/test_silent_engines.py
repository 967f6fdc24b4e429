"""Engines of the own interface that send no heartbeat for the idle timeout."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import msgspec
import pytest
import uvloop
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings
from tests.support.fleet.waiting import wait_for

from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.gateway.settings import UpstreamBounds
from quetzaldeck.standin.answer_text import answer_text
from quetzaldeck.upstreams.sse import DONE, decode_line

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Fault = Callable[[Fleet, str], Awaitable[None]]

IDLE_MS = 800
"""Longer than the time between two heartbeats."""

PAUSE_MS = 4 * IDLE_MS
HANG_MS = 60_000
DEADLINE_MS = 10_000
MAX_LATE_MS = 2_000.0
"""Time for the rest of the answer, and for a test machine that is busy."""

PROMPT = "season " * 500
N_TOKENS = 60
N_PARTS = 5
"""Texts that the caller has received when the engine falls silent."""


class Streamed(NamedTuple):
    """What a caller received until the stream ended."""

    text: str
    is_done: bool
    spent_ms: float


def make_settings(n_engines: int) -> FleetSettings:
    return FleetSettings(
        n_vms=1,
        n_engines=n_engines,
        profile=EngineProfile(prefill_tokens_per_s=400_000.0, step_ms=5.0),
        upstreams=UpstreamBounds(idle_ms=IDLE_MS),
    )


def start_pause(fleet: Fleet, name: str, duration_ms: float) -> None:
    engine = fleet.engines[name]
    engine.start_fault(engine.pause(duration_ms))


async def pause_all(fleet: Fleet, busy: str) -> None:
    for name in fleet.engines:
        start_pause(fleet, name, PAUSE_MS)


async def pause_busy_and_hang_others(fleet: Fleet, busy: str) -> None:
    for name in fleet.engines:
        start_pause(fleet, name, PAUSE_MS if name == busy else HANG_MS)


async def hang_busy(fleet: Fleet, busy: str) -> None:
    start_pause(fleet, busy, HANG_MS)


async def hang_all(fleet: Fleet, busy: str) -> None:
    for name in fleet.engines:
        start_pause(fleet, name, HANG_MS)


async def lose_connections(fleet: Fleet, busy: str) -> None:
    fleet.engines[busy].silence_connections()


async def stream(
    fleet: Fleet, fault: Fault, *, n_parts: int, deadline_ms: int = DEADLINE_MS
) -> Streamed:
    """Read an answer; a fault begins once ``n_parts`` texts have been received."""
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": N_TOKENS, "stream": True}
    headers = {
        "Authorization": f"Bearer {API_KEY}",
        "X-Deadline-Ms": str(deadline_ms),
    }
    url = fleet.gateway_addresses[0] + "/v1/completions"
    parts: list[str] = []
    began_s = time.monotonic()
    is_done = False
    if not n_parts:
        await fault(fleet, "engine-1")
    async with (
        aiohttp.ClientSession() as client,
        client.post(url, json=body, headers=headers) as response,
    ):
        async for line in response.content:
            data = decode_line(line)
            if data is None:
                continue
            if data == DONE:
                is_done = True
                break
            event: dict[str, Any] = msgspec.json.decode(data)
            if "error" in event:
                break
            parts.append(event["choices"][0]["text"])
            if len(parts) == n_parts:
                await fault(fleet, find_busy(fleet))
    spent_ms = (time.monotonic() - began_s) * 1_000
    return Streamed("".join(parts), is_done, spent_ms)


def find_busy(fleet: Fleet) -> str:
    engines = fleet.engines.items()
    return next(name for name, engine in engines if engine.n_kv_tokens_used)


async def wait_until_nothing_runs(fleet: Fleet) -> None:
    dispatch = fleet.vms["entry-1"].gateway.session.state.dispatch
    await wait_for(lambda: dispatch.n_running == 0)


@pytest.mark.parametrize("n_parts", [0, N_PARTS])
@pytest.mark.parametrize("n_engines", [1, 3])
def test_answer_is_whole_though_all_engines_are_silent_for_long(
    n_engines: int, n_parts: int
) -> None:
    """An answer under way is ended for a silence, and so is each that replaces it."""

    async def run() -> None:
        async with asyncio.timeout(30), Fleet(make_settings(n_engines)) as fleet:
            streamed = await stream(fleet, pause_all, n_parts=n_parts)
            assert streamed.text == answer_text(PROMPT, N_TOKENS)
            assert streamed.is_done
            assert streamed.spent_ms < PAUSE_MS + MAX_LATE_MS
            await wait_until_nothing_runs(fleet)

    uvloop.run(run())


def test_answer_is_whole_though_what_replaces_its_engine_hangs() -> None:
    """An answer is ended for a silence, and its replacement yields nothing."""

    async def run() -> None:
        async with asyncio.timeout(30), Fleet(make_settings(2)) as fleet:
            streamed = await stream(fleet, pause_busy_and_hang_others, n_parts=N_PARTS)
            assert streamed.text == answer_text(PROMPT, N_TOKENS)
            assert streamed.is_done
            assert streamed.spent_ms < PAUSE_MS + MAX_LATE_MS

    uvloop.run(run())


@pytest.mark.parametrize(
    ("n_engines", "fault"), [(2, hang_busy), (1, lose_connections)]
)
def test_answer_goes_on_elsewhere_if_its_engine_or_connection_is_lost(
    n_engines: int, fault: Fault
) -> None:
    """An engine that hangs is waited for to the end of the deadline."""

    async def run() -> None:
        async with asyncio.timeout(30), Fleet(make_settings(n_engines)) as fleet:
            streamed = await stream(fleet, fault, n_parts=N_PARTS)
            assert streamed.text == answer_text(PROMPT, N_TOKENS)
            assert streamed.is_done
            assert streamed.spent_ms < IDLE_MS + MAX_LATE_MS
            await wait_until_nothing_runs(fleet)

    uvloop.run(run())


def test_answer_whose_engines_all_hang_ends_with_its_deadline() -> None:
    """Attempts that were replaced stay behind when their request ends."""

    async def run() -> None:
        async with asyncio.timeout(30), Fleet(make_settings(3)) as fleet:
            streamed = await stream(
                fleet, hang_all, n_parts=N_PARTS, deadline_ms=PAUSE_MS
            )
            assert not streamed.is_done
            assert streamed.spent_ms < PAUSE_MS + MAX_LATE_MS
            await wait_until_nothing_runs(fleet)

    uvloop.run(run())
