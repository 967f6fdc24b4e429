"""Upstreams of the own interface that send bytes without end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import uvloop

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.http import ListenAddress
from quetzaldeck.standin import (
    EngineFaults,
    EngineStandin,
    PlainServiceStandin,
    ServiceFaults,
)
from quetzaldeck.standin.endless import ENDLESS
from quetzaldeck.standin.settings import EngineSettings, ServiceSettings
from quetzaldeck.upstreams import (
    Attempt,
    CompletionCall,
    Owner,
    ServiceCall,
    UpstreamError,
    UpstreamTimeouts,
)
from quetzaldeck.upstreams.http_service import HttpService
from quetzaldeck.upstreams.openai_engine import OpenAiEngine
from quetzaldeck.upstreams.pools import ConnectionPool
from quetzaldeck.upstreams.watch import NoWatch

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import aiohttp

FREE_PORT = ListenAddress("127.0.0.1", 0)
TIMEOUT_MS = 60_000.0
MAX_S = 2.0


async def complete(spec: UpstreamSpec, session: aiohttp.ClientSession) -> None:
    engine = OpenAiEngine(spec, session, UpstreamTimeouts())
    call = CompletionCall("m", "prompt", 8)
    attempt = Attempt("a.1", Owner("vm", "1"), call, 0, TIMEOUT_MS)
    async for _ in engine.complete(attempt, NoWatch()):
        pass


async def read_load(spec: UpstreamSpec, session: aiohttp.ClientSession) -> None:
    await OpenAiEngine(spec, session, UpstreamTimeouts()).read_load()


async def call_service(spec: UpstreamSpec, session: aiohttp.ClientSession) -> None:
    service = HttpService(spec, session, UpstreamTimeouts())
    await service.call(ServiceCall("GET", "/", (), b""), TIMEOUT_MS, NoWatch())


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("use", [complete, read_load, call_service])
def test_answer_without_end_is_left_in_time(
    use: Callable[[UpstreamSpec, aiohttp.ClientSession], Awaitable[None]], kind: str
) -> None:
    """Guards against calls that are read until their deadline, and held whole."""

    async def run() -> None:
        pool = ConnectionPool(1)
        engine = EngineSettings("e", FREE_PORT, faults=EngineFaults(endless=kind))
        plain = ServiceSettings("s", FREE_PORT, faults=ServiceFaults(endless=kind))
        async with (
            EngineStandin(engine) as model,
            PlainServiceStandin(plain) as service,
            pool.session as session,
        ):
            upstream = service if use is call_service else model
            spec = UpstreamSpec("u", upstream.address)
            with pytest.raises(UpstreamError) as raised:
                async with asyncio.timeout(MAX_S):
                    await use(spec, session)
            assert raised.value.fault is AttemptFault.BAD_ANSWER

    uvloop.run(run())
