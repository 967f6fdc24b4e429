"""The balancer of these tests, on a machine that is busy."""

from __future__ import annotations

import uvloop
from aiohttp import web
from tests.support.held_server import HeldServer
from tests.system.balancer import PROBE_TIMEOUT_MS, Balancer


async def answer(request: web.Request) -> web.StreamResponse:
    return web.Response(status=503 if request.path.startswith("/leaving") else 200)


def test_gateway_that_leaves_gets_no_calls_after_a_stall() -> None:
    """Guards against calls to gateways that said in time that they leave."""

    async def test(server: HeldServer) -> None:
        ready, leaving = (
            f"http://{server.address}/{name}" for name in ("ready", "leaving")
        )

        async def read_ready() -> tuple[str, ...]:
            async with Balancer(lambda: (ready, leaving)) as balancer:
                return balancer.ready

        asking = read_ready()
        assert await server.ask_beside_stall(asking, PROBE_TIMEOUT_MS) == (ready,)

    with HeldServer(answer) as server:
        uvloop.run(test(server))
