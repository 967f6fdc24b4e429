"""Connections to upstreams from a VM whose event loop is late."""

from __future__ import annotations

import asyncio
import socket
import time

import aiohttp
import pytest
import uvloop
from multidict import CIMultiDict
from tests.support.platform.replica import StandInReplica

from quetzaldeck.clock import Clock
from quetzaldeck.entry.upstream_client import UpstreamClient
from quetzaldeck.entry.upstream_connector import CONNECT_TIMEOUT_MS

STALL_S = CONNECT_TIMEOUT_MS / 1_000 * 1.2
MAX_LATE_S = 1.0
"""How late the end of a timeout may be on a busy machine."""


async def send(address: str) -> int:
    """:returns: the status of the response to a request on a connection of its own"""
    client = UpstreamClient(Clock(), echo_header="Call", reuses_connections=False)
    async with client:
        response = await client.send(address, "GET", "/", CIMultiDict(), None)
        response.close()
        return response.status


@pytest.mark.parametrize("n_iterations", range(12))
def test_connection_is_established_though_the_event_loop_was_late(
    n_iterations: int,
) -> None:
    """Guards against a sound upstream that seems to be unreachable to a busy VM.

    The processor is busy elsewhere for longer than the timeout, from any of the
    iterations of the event loop in which the connection is established.
    """

    async def test() -> None:
        async with StandInReplica("e0") as replica:
            sending = asyncio.create_task(send(replica.address))
            for _ in range(n_iterations):
                await asyncio.sleep(0)
            time.sleep(STALL_S)  # noqa: ASYNC251 - blocks the event loop
            assert await sending == 200

    uvloop.run(test())


def test_unreachable_upstream_is_given_up_in_time() -> None:
    """Guards against a request that waits for an upstream that accepts nothing."""

    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            host, port = listener.getsockname()
            # The kernel ignores connections while the queue of the listener is full.
            with socket.create_connection((host, port)):
                begun_s = time.monotonic()
                with pytest.raises(aiohttp.ConnectionTimeoutError):
                    await send(f"{host}:{port}")
                spent_s = time.monotonic() - begun_s
        timeout_s = CONNECT_TIMEOUT_MS / 1_000
        assert timeout_s * 0.9 < spent_s < timeout_s + MAX_LATE_S

    uvloop.run(test())
