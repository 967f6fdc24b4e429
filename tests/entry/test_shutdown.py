"""Graceful shutdown: which requests complete, and when the rest is aborted."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.support.platform.site import PLAN_PATH, run_site

from quetzaldeck.entry.settings import EntryBounds
from quetzaldeck.entry.state import build_shutdown

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site


@pytest.mark.parametrize("grace_s", [3.0, 8.0, 30.0])
def test_nothing_is_aborted_before_the_last_sixth_of_the_grace_period(
    grace_s: float,
) -> None:
    """Guards against aborting a request that would complete in the grace period.

    The request arrived before the load balancer noticed the shutdown, ran for three
    seconds and was aborted after three quarters of the grace period.
    """
    shutdown = build_shutdown(EntryBounds(grace_s=grace_s))
    cut_off_ms = shutdown.balancer_lag_ms + shutdown.max_drain_ms
    assert cut_off_ms >= grace_s * 1_000 * 5 / 6
    assert cut_off_ms + shutdown.farewell_ms <= grace_s * 1_000 * 0.95


def test_stream_that_ends_within_the_grace_period_is_whole() -> None:
    async def behave(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        await connection.send_chunk(b"id: 1\ndata: a\n\n")
        await asyncio.sleep(0.9)
        await connection.send_chunk(b"id: 2\ndata: b\n\n")
        await connection.end_stream()

    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(PLAN_PATH))
        await site.wait(lambda: bool(site.engines[0].calls))
        assert await site.entry.drain() == 0
        answer = await call
        assert answer.is_whole
        assert answer.body.endswith(b"data: b\n\n")

    run_site(test, engines=(behave,), bounds=EntryBounds(grace_s=1.5))
