"""Responses that have come, and that nobody reads any more."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import pytest
import uvloop

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.upstreams import (
    Attempt,
    CompletionCall,
    Owner,
    ServiceCall,
    UpstreamTimeouts,
)
from quetzaldeck.upstreams.http_service import HttpService
from quetzaldeck.upstreams.openai_engine import OpenAiEngine

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

Result = TypeVar("Result")

TIMEOUT_MS = 60_000.0
MAX_CLOSE_S = 1.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class JudgingWatch:
    """Has a result, but awaits a verdict before it returns it."""

    def __init__(self) -> None:
        self.has_result = asyncio.Event()
        self.results: list[object] = []

    async def wait(
        self, start: Callable[[], Coroutine[object, object, Result]]
    ) -> Result:
        """Await a verdict that never comes."""
        self.results.append(await start())
        self.has_result.set()
        await asyncio.sleep(3_600.0)
        raise AssertionError


async def call_service(
    spec: UpstreamSpec, session: aiohttp.ClientSession, watch: JudgingWatch
) -> None:
    service = HttpService(spec, session, UpstreamTimeouts())
    await service.call(ServiceCall("GET", "/", (), b""), TIMEOUT_MS, watch)


async def complete(
    spec: UpstreamSpec, session: aiohttp.ClientSession, watch: JudgingWatch
) -> None:
    engine = OpenAiEngine(spec, session, UpstreamTimeouts())
    call = CompletionCall("m", "prompt", 8)
    attempt = Attempt("a.1", Owner("vm", "1"), call, 0, TIMEOUT_MS)
    async for _ in engine.complete(attempt, watch):
        pass


@pytest.mark.parametrize("use", [call_service, complete])
def test_response_is_closed_if_its_caller_leaves_before_the_verdict(
    use: Callable[..., Coroutine[object, object, None]],
) -> None:
    """A response that has come during a verdict keeps its connection."""

    async def run() -> None:
        has_ended = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            await reader.read()
            has_ended.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        spec = UpstreamSpec("u", f"http://127.0.0.1:{port}")
        async with server, aiohttp.ClientSession() as session:
            watch = JudgingWatch()
            calling = asyncio.create_task(use(spec, session, watch))
            await watch.has_result.wait()
            calling.cancel()
            await asyncio.wait((calling,))
            async with asyncio.timeout(MAX_CLOSE_S):
                await has_ended.wait()

    uvloop.run(run())
