"""Health checks by a VM whose event loop is late."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import uvloop
from aiohttp import web
from tests.support.held_server import HeldServer, check_silence_found

from quetzaldeck.clock import Clock
from quetzaldeck.decisions.poison import Liveness
from quetzaldeck.entry.upstream_client import UpstreamClient
from quetzaldeck.platform.health_checks import CHECK_TIMEOUT_MS, HealthChecks
from quetzaldeck.routing import Replica

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STARTED_MS = 1_700_000_000_000


async def answer(request: web.Request) -> web.StreamResponse:
    return web.Response(headers={"Quetzaldeck-Instance-Id": "r0"})


@asynccontextmanager
async def open_checks() -> AsyncIterator[HealthChecks]:
    clock = Clock()
    async with UpstreamClient(
        clock, echo_header="Call", reuses_connections=False
    ) as client:
        yield HealthChecks(client, clock)


def build_replica(address: str, started_ms: int) -> Replica:
    return Replica(
        "r0", "desk", address, "a", is_leaving=False, n_slots=6, started_ms=started_ms
    )


async def check(address: str, started_ms: int = STARTED_MS) -> Liveness:
    async with open_checks() as checks:
        return await checks.check(build_replica(address, started_ms), "/h")


async def is_reached(address: str, started_ms: int) -> bool:
    async with open_checks() as checks:
        return await checks.is_reached(build_replica(address, started_ms), "/h")


@pytest.mark.parametrize(
    ("started_ms", "liveness"), [(STARTED_MS, Liveness.ALIVE), (0, Liveness.UNKNOWN)]
)
def test_answer_that_arrived_during_a_stall_is_taken(
    started_ms: int, liveness: Liveness
) -> None:
    """Guards against sound replicas that seem to be silent to a busy VM.

    An answer after the timeout may come from a replica that has started again. If its
    incarnation is not published, that would not be noticed.
    """

    async def test(server: HeldServer) -> None:
        asking = check(server.address, started_ms)
        assert await server.ask_beside_stall(asking, CHECK_TIMEOUT_MS) is liveness

    with HeldServer(answer) as server:
        uvloop.run(test(server))


@pytest.mark.parametrize("started_ms", [STARTED_MS, 0])
def test_replica_whose_answer_arrived_during_a_stall_is_reached(
    started_ms: int,
) -> None:
    """Guards against a VM that was late and takes itself for partitioned."""

    async def test(server: HeldServer) -> None:
        asking = is_reached(server.address, started_ms)
        assert await server.ask_beside_stall(asking, CHECK_TIMEOUT_MS)

    with HeldServer(answer) as server:
        uvloop.run(test(server))


def test_silent_replica_is_found_in_the_timeout_plus_the_stall() -> None:
    """Guards against a check that waits for a replica that is gone."""

    async def test(server: HeldServer) -> None:
        began_s = time.monotonic()
        asking = check(server.address)
        liveness = await server.ask_beside_stall(
            asking, CHECK_TIMEOUT_MS, is_silent=True
        )
        assert liveness is Liveness.UNKNOWN
        check_silence_found(began_s, CHECK_TIMEOUT_MS)

    with HeldServer(answer) as server:
        uvloop.run(test(server))
