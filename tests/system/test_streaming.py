"""Streamed answers of faulty engines, compared with the expected text."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import msgspec
import pytest
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings
from tests.support.virtual_time import run_by_default

from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.standin import EngineFaults
from quetzaldeck.standin.answer_text import answer_text
from quetzaldeck.upstreams.sse import DONE, decode_line

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from quetzaldeck.gateway.service import GatewayService

PROMPT = "season " * 500
N_TOKENS = 60
SLOW = FleetSettings(
    n_vms=1,
    n_engines=2,
    profile=EngineProfile(prefill_tokens_per_s=400_000.0, step_ms=5.0),
)


class Streamed(NamedTuple):
    """What a caller received until the stream ended."""

    text: str
    error: dict[str, Any] | None
    is_done: bool


class AnsweringEngine(NamedTuple):
    """A fleet and the name of the engine that is answering the call."""

    fleet: Fleet
    name: str


def run(test: Callable[[Fleet], Coroutine[Any, Any, None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(30), Fleet(SLOW) as fleet:
            await test(fleet)

    run_by_default(bounded())


async def stream(
    fleet: Fleet,
    on_first_text: Callable[[AnsweringEngine], Awaitable[None]] | None = None,
    *,
    deadline_ms: int = 20_000,
) -> Streamed:
    """Read a streamed answer; await ``on_first_text`` once after the first text."""
    body = {"model": MODEL, "prompt": PROMPT, "max_tokens": N_TOKENS, "stream": True}
    headers = {
        "Authorization": f"Bearer {API_KEY}",
        "X-Deadline-Ms": str(deadline_ms),
    }
    url = fleet.gateway_addresses[0] + "/v1/completions"
    parts: list[str] = []
    async with (
        aiohttp.ClientSession() as client,
        client.post(url, json=body, headers=headers) as response,
    ):
        async for line in response.content:
            data = decode_line(line)
            if data is None:
                continue
            if data == DONE:
                return Streamed("".join(parts), None, is_done=True)
            event = msgspec.json.decode(data)
            if "error" in event:
                return Streamed("".join(parts), event["error"], is_done=False)
            parts.append(event["choices"][0]["text"])
            if on_first_text is not None:
                callback, on_first_text = on_first_text, None
                await callback(AnsweringEngine(fleet, find_busy_engine(fleet)))
    return Streamed("".join(parts), None, is_done=False)


def find_busy_engine(fleet: Fleet) -> str:
    return next(
        name for name, engine in fleet.engines.items() if engine.n_kv_tokens_used
    )


def gateway_of(fleet: Fleet) -> GatewayService:
    return next(iter(fleet.vms.values())).gateway


def read_counter(gateway: GatewayService, name: str, **labels: str) -> float:
    registry = gateway.session.metrics.registry
    return registry.get_sample_value(f"quetzaldeck_{name}_total", labels) or 0.0


@pytest.mark.parametrize(
    ("faults", "drop"),
    [
        (EngineFaults(doubles_chunks=True), "doubled"),
        (EngineFaults(delays_chunks=True), "doubled"),
        (EngineFaults(swaps_chunks=True), "early"),
        (EngineFaults(sends_foreign_chunks=True), "foreign"),
    ],
)
def test_stream_is_complete_for_chunks_in_any_order(
    faults: EngineFaults, drop: str
) -> None:
    """An engine sends chunks twice, late, swapped, or those of another request.

    Without the check of chunk offsets and ids the caller would read a word twice, words
    in the wrong order, or a part of another caller's answer.
    """

    async def check(fleet: Fleet) -> None:
        for engine in fleet.engines.values():
            engine.faults = faults
        streamed = await stream(fleet)
        assert streamed.text == answer_text(PROMPT, N_TOKENS)
        assert streamed.is_done
        gateway = gateway_of(fleet)
        assert read_counter(gateway, "dropped_chunks", why=drop) > 0
        assert read_counter(gateway, "attempt_faults", fault="bad_answer") == 0

    run(check)


def test_stream_continues_when_its_engine_crashes() -> None:
    """An engine crashes after the caller has received the first words.

    Its connections break and its memory is lost. Another engine must continue the
    answer after the last character delivered, so that the caller sees one text.
    """

    async def kill(answering: AnsweringEngine) -> None:
        await answering.fleet.engines[answering.name].crash()

    async def check(fleet: Fleet) -> None:
        streamed = await stream(fleet, kill)
        assert streamed.text.encode() == answer_text(PROMPT, N_TOKENS).encode()
        assert streamed.is_done
        gateway = gateway_of(fleet)
        assert read_counter(gateway, "attempt_faults", fault="broken") == 1
        assert read_counter(gateway, "completed", kind="model") == 1

    run(check)


def test_stream_continues_when_its_connection_goes_silent() -> None:
    """The connection to the engine becomes half-open in the middle of an answer.

    No error is ever reported. The gateway must give up after the idle timeout and
    continue the answer on another engine; the first must release its memory.
    """

    async def silence(answering: AnsweringEngine) -> None:
        answering.fleet.engines[answering.name].silence_connections()

    async def check(fleet: Fleet) -> None:
        streamed = await stream(fleet, silence)
        assert streamed.text == answer_text(PROMPT, N_TOKENS)
        assert streamed.is_done
        gateway = gateway_of(fleet)
        assert read_counter(gateway, "attempt_faults", fault="silent") == 1
        while any(engine.n_kv_tokens_used for engine in fleet.engines.values()):
            await asyncio.sleep(0.05)

    run(check)


def test_stream_that_cannot_be_finished_ends_with_an_error() -> None:
    """Every engine fails in the middle of an answer and none recovers.

    A partial answer followed by a normal end of the stream would look like a short
    complete one. The caller must get an error event, and the failure must be counted.
    """

    async def kill_all(answering: AnsweringEngine) -> None:
        for engine in answering.fleet.engines.values():
            await engine.stop_listening()
            engine.break_connections()

    async def check(fleet: Fleet) -> None:
        streamed = await stream(fleet, kill_all, deadline_ms=2_000)
        assert not streamed.is_done
        assert streamed.error is not None
        assert streamed.error["ran"] == "yes"
        assert answer_text(PROMPT, N_TOKENS).startswith(streamed.text)
        gateway = gateway_of(fleet)
        reason = streamed.error["reason"]
        assert read_counter(gateway, "failures", reason=reason, ran="yes") == 1
        assert read_counter(gateway, "completed", kind="model") == 0

    run(check)
