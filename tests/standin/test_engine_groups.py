"""Tests of the engine protocol for engine groups and cache events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
import uvloop

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.placement import CacheCursor
from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.http import ListenAddress
from quetzaldeck.standin import EngineStandin
from quetzaldeck.standin.settings import EngineSettings
from quetzaldeck.upstreams import (
    Attempt,
    Chunk,
    CompletionCall,
    OpenAiEngine,
    Owner,
    PrefillPart,
    Reservation,
    UpstreamError,
    UpstreamTimeouts,
)
from quetzaldeck.upstreams.watch import NoWatch

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OWNER = Owner("entry-1", "i1")
PROFILE = EngineProfile(kv_tokens=1_000, prefill_tokens_per_s=1e6, step_ms=1.0)


def run_engine(
    check: Callable[[OpenAiEngine, EngineStandin], Awaitable[None]],
    clock: ManualClock | None = None,
    profile: EngineProfile = PROFILE,
) -> None:
    async def run() -> None:
        settings = EngineSettings("e", ListenAddress(), ("m:1",), profile)
        standin = EngineStandin(settings, clock=clock)
        await standin.start()
        try:
            async with asyncio.timeout(20), aiohttp.ClientSession() as client:
                spec = UpstreamSpec("e", standin.address)
                await check(OpenAiEngine(spec, client, UpstreamTimeouts()), standin)
        finally:
            await standin.stop()

    uvloop.run(run())


def make_reservation(name: str = "r", n_tokens: int = 500) -> Reservation:
    return Reservation(name, OWNER, n_tokens, timeout_ms=5_000)


def make_part(text: str, reservation_id: str = "r") -> PrefillPart:
    return PrefillPart("a.part0", OWNER, reservation_id, "m", "", 5, 5_000, text)


def make_attempt(prompt: str, cursor: CacheCursor | None = None) -> Attempt:
    call = CompletionCall("m", prompt, 2)
    return Attempt("a.1", OWNER, call, 5, 5_000, cache_cursor=cursor or CacheCursor())


async def read_chunks(engine: OpenAiEngine, attempt: Attempt) -> list[Chunk]:
    return [chunk async for chunk in engine.complete(attempt, NoWatch())]


def test_reservation_and_export_are_listed_with_their_owner() -> None:
    """A VM crashes while it holds an engine group; another VM must find the memory."""

    async def check(engine: OpenAiEngine, standin: EngineStandin) -> None:
        assert await engine.reserve(make_reservation())
        export = await engine.prefill(make_part("word " * 100))
        held = await engine.list_sequences()
        assert {(item.kind, item.owner) for item in held} == {
            ("reservation", OWNER),
            ("export", OWNER),
        }
        assert export.export_id in {item.attempt_id for item in held}
        for item in held:
            await engine.cancel(item.attempt_id)
        assert await engine.list_sequences() == ()
        assert standin.n_kv_tokens_used == 0

    run_engine(check)


def test_reservation_ends_with_its_lease() -> None:
    """The owner crashed and no other VM reclaims the memory."""
    clock = ManualClock(1_000.0)

    async def check(engine: OpenAiEngine, standin: EngineStandin) -> None:
        assert await engine.reserve(make_reservation("granted"))
        assert not await engine.reserve(make_reservation("waiting"))
        clock.advance(2_001)
        assert [item.attempt_id for item in await engine.list_sequences()] == [
            "granted"
        ]
        clock.advance(3_000)
        assert await engine.list_sequences() == ()
        assert standin.n_kv_tokens_used == 0

    run_engine(check, clock)


def test_reserve_is_idempotent() -> None:
    async def check(engine: OpenAiEngine, standin: EngineStandin) -> None:
        assert await engine.reserve(make_reservation())
        assert await engine.reserve(make_reservation())
        assert standin.n_kv_tokens_used == 500

    run_engine(check)


@pytest.mark.parametrize("n_tokens", [751, 10_000])
def test_reserve_refuses_more_than_can_ever_be_granted(n_tokens: int) -> None:
    async def check(engine: OpenAiEngine, standin: EngineStandin) -> None:
        with pytest.raises(UpstreamError, match="413") as caught:
            await engine.reserve(make_reservation(n_tokens=n_tokens))
        assert caught.value.fault is AttemptFault.TOO_LONG

    run_engine(check)


def test_prefill_refuses_more_than_was_reserved() -> None:
    async def check(engine: OpenAiEngine, standin: EngineStandin) -> None:
        assert await engine.reserve(make_reservation(n_tokens=50))
        with pytest.raises(UpstreamError, match="413"):
            await engine.prefill(make_part("word " * 100))
        with pytest.raises(UpstreamError, match="413"):
            await engine.prefill(make_part("word", reservation_id="unknown"))

    run_engine(check)


def test_complete_fails_if_an_import_was_released() -> None:
    async def check(engine: OpenAiEngine, standin: EngineStandin) -> None:
        assert await engine.reserve(make_reservation())
        export = await engine.prefill(make_part("word " * 100))
        await engine.cancel(export.export_id)
        attempt = make_attempt("word")._replace(
            reservation_id="r", imports=(export,), prompt_part="rest"
        )
        with pytest.raises(UpstreamError, match="424") as caught:
            await read_chunks(engine, attempt)
        assert caught.value.fault is AttemptFault.BAD_ANSWER
        assert caught.value.may_have_run

    run_engine(check)


def test_complete_refuses_a_prompt_that_exceeds_the_memory() -> None:
    async def check(engine: OpenAiEngine, standin: EngineStandin) -> None:
        with pytest.raises(UpstreamError, match="413"):
            await read_chunks(engine, make_attempt("word " * 2_000))

    run_engine(check)


def test_first_chunk_contains_the_cache_events_after_the_cursor() -> None:
    async def check(engine: OpenAiEngine, standin: EngineStandin) -> None:
        prompt = "abc " * 300
        first, second = await read_chunks(engine, make_attempt(prompt))
        assert second.cache_events is None
        assert first.cache_events is not None
        assert [event.is_cached for event in first.cache_events.events] == [True]
        cursor = CacheCursor().after(first.cache_events)
        again = await read_chunks(engine, make_attempt(prompt, cursor))
        assert again[0].cache_events is not None
        assert again[0].cache_events.events == ()
        other_incarnation = CacheCursor("gone", cursor.sequence)
        restarted = await read_chunks(engine, make_attempt(prompt, other_incarnation))
        assert restarted[0].cache_events == first.cache_events

    run_engine(check)
