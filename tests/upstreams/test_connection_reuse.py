"""Tests of the reuse of connections to engines."""

from __future__ import annotations

import aiohttp
import uvloop
from aiohttp import web

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.capacity.token_source import TokenSource
from quetzaldeck.upstreams import (
    Attempt,
    CompletionCall,
    OpenAiEngine,
    Owner,
    UpstreamTimeouts,
)
from quetzaldeck.upstreams.watch import NoWatch

N_CALLS = 3
END_MARKER_DELAY_MS = 2.0
"""Pause of the engine before its end marker, as after each token."""


class CountingSource(TokenSource):
    """Counts the connections on which it receives calls."""

    def __init__(self) -> None:
        super().__init__(token_interval_ms=END_MARKER_DELAY_MS)
        self.ports: set[int] = set()

    async def open(self) -> web.Application:
        application = await super().open()

        async def count(request: web.Request, response: web.StreamResponse) -> None:
            assert request.transport is not None
            self.ports.add(request.transport.get_extra_info("peername")[1])

        application.on_response_prepare.append(count)
        return application


async def run_calls() -> int:
    source = CountingSource()
    await source.start()
    async with aiohttp.ClientSession() as client:
        spec = UpstreamSpec("engine-1", source.address)
        engine = OpenAiEngine(spec, client, UpstreamTimeouts())
        for number in range(N_CALLS):
            call = CompletionCall("m", "prompt", 4)
            attempt = Attempt(f"r{number}.1", Owner("vm", "i"), call, 0, 5_000)
            chunks = engine.complete(attempt, NoWatch())
            async for chunk in chunks:
                if chunk.finish_reason is not None:
                    break
            await chunks.aclose()
    await source.stop()
    return len(source.ports)


def test_complete_leaves_the_connection_for_the_next_call() -> None:
    """Guards against opening a new connection to the engine for each call.

    The consumer stops at the last chunk, which leaves the end marker unread, and
    aiohttp closes a connection whose response was not read to the end.
    """
    assert uvloop.run(run_calls()) == 1
