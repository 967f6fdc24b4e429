"""Tests of the fault injection of the stand-ins."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
import uvloop

from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.http import ListenAddress
from quetzaldeck.standin import (
    ConfigurationServiceStandin,
    EngineFaults,
    EngineStandin,
    PlainServiceStandin,
    ServiceFaults,
)
from quetzaldeck.standin.settings import (
    ConfigurationServiceSettings,
    EngineSettings,
    ServiceSettings,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

FREE_PORT = ListenAddress("127.0.0.1", 0)
FAST = EngineProfile(step_ms=1.0, prefill_tokens_per_s=1e6)


def run(test: Callable[..., Coroutine[Any, Any, None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20), aiohttp.ClientSession() as client:
            await test(client)

    uvloop.run(bounded())


@asynccontextmanager
async def start_engine(
    faults: EngineFaults | None = None,
) -> AsyncIterator[EngineStandin]:
    settings = EngineSettings(
        "e", FREE_PORT, ("m:1",), FAST, faults=faults or EngineFaults()
    )
    engine = EngineStandin(settings)
    async with engine:
        yield engine


def build_body(prompt: str = "one two", max_tokens: int = 4) -> dict[str, Any]:
    control = {
        "attempt_id": "a.1",
        "vm": "v",
        "incarnation": "i",
        "priority": 5,
        "offset": 0,
        "n_delivered_tokens": 0,
    }
    return {"prompt": prompt, "max_tokens": max_tokens, "quetzaldeck": control}


async def read_json(client: aiohttp.ClientSession, url: str) -> Any:
    async with client.get(url) as response:
        return await response.json(content_type=None)


def test_crash_aborts_streams_and_discards_all_state() -> None:
    async def check(client: aiohttp.ClientSession) -> None:
        async with start_engine() as engine:
            before = await read_json(client, engine.address + "/v1/load")
            url = engine.address + "/v1/completions"
            async with client.post(
                url, json=build_body(max_tokens=100_000)
            ) as response:
                await response.content.readline()
                await engine.crash()
                with pytest.raises((aiohttp.ClientError, ConnectionError)):
                    await response.read()
            after = await read_json(client, engine.address + "/v1/load")
            assert after["incarnation"] != before["incarnation"]
            assert await read_json(client, engine.address + "/v1/sequences") == []

    run(check)


def test_prompt_with_the_crash_marker_crashes_the_engine() -> None:
    async def check(client: aiohttp.ClientSession) -> None:
        faults = EngineFaults("boom", crash_after_ms=0, restart_ms=0)
        async with start_engine(faults) as engine:
            url = engine.address + "/v1/completions"
            body = build_body("one boom", max_tokens=100_000)
            with pytest.raises((aiohttp.ClientError, ConnectionError)):
                async with client.post(url, json=body) as response:
                    await response.read()
            assert engine.n_crashes == 1

    run(check)


def test_silenced_connection_stays_silent_and_a_new_one_works() -> None:
    """A half-open connection: its reader waits forever, new connections work.

    The engine does not notice that the client disconnected, so the sequence keeps its
    memory until it is cancelled.
    """

    async def check(client: aiohttp.ClientSession) -> None:
        async with start_engine() as engine:
            url = engine.address + "/v1/completions"
            body = build_body(max_tokens=100_000)
            async with client.post(url, json=body) as response:
                await response.content.readline()
                engine.silence_connections()
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await response.content.read()
            async with aiohttp.ClientSession() as other:
                held = await read_json(other, engine.address + "/v1/sequences")
                assert [item["attempt_id"] for item in held] == ["a.1"]
                cancel = {"attempt_id": "a.1"}
                await other.post(engine.address + "/v1/cancel", json=cancel)
                assert await read_json(other, engine.address + "/v1/sequences") == []

    run(check)


def test_pause_delays_responses_until_it_ends() -> None:
    async def check(client: aiohttp.ClientSession) -> None:
        async with start_engine() as engine:
            pause = asyncio.create_task(engine.pause(300))
            await asyncio.sleep(0)
            answer = asyncio.create_task(read_json(client, engine.address + "/v1/load"))
            await asyncio.wait({pause, answer}, return_when="FIRST_COMPLETED")
            assert pause.done()
            assert (await answer)["n_running"] == 0

    run(check)


def test_cache_events_are_numbered_and_can_have_gaps() -> None:
    async def check(client: aiohttp.ClientSession) -> None:
        async with start_engine() as engine:
            body = build_body("word " * 5_000)
            async with client.post(
                engine.address + "/v1/completions", json=body
            ) as response:
                await response.read()
            url = engine.address + "/v1/cache_events"
            whole = await read_json(client, url)
            assert whole["incarnation"] == engine.incarnation
            numbers = [event["sequence"] for event in whole["events"]]
            assert numbers == list(range(1, len(numbers) + 1))
            assert len(numbers) > 2
            engine.faults = EngineFaults(cache_event_gap=2)
            rest = await read_json(client, url + "?after=1")
            assert [e["sequence"] for e in rest["events"]] == numbers[2::2]

    run(check)


def test_post_faults_reports_every_error_in_the_request() -> None:
    async def check(client: aiohttp.ClientSession) -> None:
        async with start_engine() as engine:
            url = engine.address + "/standin/faults"
            fault_request = {"faults": {"doubles_chunk": True, "restart_ms": "1s"}}
            async with client.post(url, json=fault_request) as response:
                assert response.status == 400
                findings = (await response.json())["findings"]
            assert any("did you mean 'doubles_chunks'?" in text for text in findings)
            assert any("write 1000" in text for text in findings)
            fault_request = {"faults": {"crash_marker": "boom"}}
            async with client.post(url, json=fault_request) as response:
                assert response.status == 200
            assert engine.faults.crash_marker == "boom"

    run(check)


@pytest.mark.parametrize(
    ("faults", "n_runs"),
    [(ServiceFaults(n_crashes_before=1), 0), (ServiceFaults(n_crashes_after=1), 1)],
)
def test_plain_service_aborts_a_call_before_or_after_it_ran(
    faults: ServiceFaults, n_runs: int
) -> None:
    async def check(client: aiohttp.ClientSession) -> None:
        service = PlainServiceStandin(ServiceSettings("s", FREE_PORT, faults=faults))
        async with service:
            with pytest.raises(aiohttp.ClientError):
                await client.post(
                    service.address + "/x", headers={"Idempotency-Key": "k"}
                )
            assert service.executions.get("k", 0) == n_runs

    run(check)


def test_configuration_service_serves_old_revisions_and_catches_up() -> None:
    async def check(client: aiohttp.ClientSession) -> None:
        service = ConfigurationServiceStandin(ConfigurationServiceSettings(FREE_PORT))
        async with service:
            url = service.address + "/v1/keys/bundle"
            await service.publish(b"one")
            await service.publish(b"two")
            await service.set_faults({"n_revisions_behind": 1})
            async with client.get(url) as response:
                assert await response.read() == b"one"
            watch = asyncio.create_task(client.get(url + "?after=1&timeout_ms=9000"))
            await asyncio.sleep(0)
            await service.set_faults({})
            async with await watch as response:
                assert await response.read() == b"two"
            service.hangs_watch = True
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await client.get(url + "?after=1&timeout_ms=1")

    run(check)
