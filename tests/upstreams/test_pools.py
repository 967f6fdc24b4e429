"""Tests of connection pools: replaced only once, closed when no request uses them."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

import aiohttp
import pytest
import uvloop
from tests.support.held_server import MAX_LATE_S
from tests.support.platform.replica import StandInReplica

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.upstreams import UpstreamError, UpstreamTimeouts
from quetzaldeck.upstreams.connections import Connections
from quetzaldeck.upstreams.http import build_timeout
from quetzaldeck.upstreams.pools import ConnectionPools

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any


def run(check: Coroutine[Any, Any, None]) -> None:
    uvloop.run(check)


def test_replace_replaces_a_pool_once() -> None:
    """Guards against replacing the new pool when several reads on the old one time out.

    Three reads on the old pool time out, and each tries to replace that pool.
    """

    async def check() -> None:
        async with ConnectionPools() as pools:
            old = pools.get("e")
            assert [pools.replace("e", old) for _ in range(3)] == [True, False, False]
            assert pools.get("e").generation == 2
            assert pools.get("other").generation == 1

    run(check())


@pytest.mark.parametrize("n_iterations", range(12))
def test_connection_is_established_though_the_event_loop_was_late(
    n_iterations: int,
) -> None:
    """Guards against a sound upstream that seems to be unreachable to a busy VM.

    The processor is busy elsewhere for longer than the timeout, from any of the
    iterations of the event loop in which the connection is established.
    """
    timeouts = UpstreamTimeouts(connect_ms=200.0)

    async def check() -> None:
        async with StandInReplica("e0") as replica, ConnectionPools() as pools:
            url = f"http://{replica.address}/"
            timeout = build_timeout(timeouts, total_ms=None)
            session = pools.get("e").session
            asking = asyncio.create_task(read_status(session, url, timeout))
            for _ in range(n_iterations):
                await asyncio.sleep(0)
            time.sleep(0.3)  # noqa: ASYNC251 - blocks the event loop
            assert await asking == 200

    run(check())


def test_unreachable_upstream_is_given_up_in_time() -> None:
    """Guards against a request that waits for an upstream that accepts nothing."""
    timeouts = UpstreamTimeouts(connect_ms=200.0)

    async def check() -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            host, port = listener.getsockname()
            # The kernel ignores connections while the queue of the listener is full.
            with socket.create_connection((host, port)):
                async with ConnectionPools() as pools:
                    session = pools.get("e").session
                    timeout = build_timeout(timeouts, total_ms=None)
                    began_s = time.monotonic()
                    with pytest.raises(aiohttp.ConnectionTimeoutError):
                        await read_status(session, f"http://{host}:{port}/", timeout)
                    spent_s = time.monotonic() - began_s
        assert 0.18 < spent_s < 0.2 + MAX_LATE_S

    run(check())


async def read_status(
    session: aiohttp.ClientSession, url: str, timeout: aiohttp.ClientTimeout
) -> int:
    async with session.get(url, timeout=timeout) as response:
        return response.status


def test_replaced_pool_stays_open_while_it_is_used() -> None:
    async def check() -> None:
        async with ConnectionPools() as pools, pools.use("e") as pool_of_other_user:
            async with pools.use("e") as pool:
                pools.replace("e", pool)
            assert not pool_of_other_user.session.closed
        assert pool_of_other_user.session.closed

    run(check())


@pytest.mark.parametrize(
    ("fault", "n_replaced"), [(AttemptFault.SILENT, 1), (AttemptFault.BROKEN, 0)]
)
def test_connections_replace_the_pool_only_after_a_timeout(
    fault: AttemptFault, n_replaced: int
) -> None:
    replaced: list[str] = []

    async def check() -> None:
        connections = Connections(UpstreamTimeouts(), replaced.append)
        connections.apply_specs((UpstreamSpec("e", "http://127.0.0.1:1"),))
        async with connections:
            with pytest.raises(UpstreamError):
                async with connections.use_engine("e"):
                    raise UpstreamError(fault, "e")

    run(check())
    assert replaced == ["e"] * n_replaced
