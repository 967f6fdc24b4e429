"""Reuse of idle connections to upstreams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.support.platform.site import BOOK_PATH, run_site

from quetzaldeck.entry import upstream_protocol

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site


@pytest.mark.parametrize(("keep_alive", "is_kept"), [("timeout=1", False), ("", True)])
def test_connection_is_not_reused_near_the_end_of_its_keep_alive_time(
    keep_alive: str, *, is_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a booking of which nobody can determine whether it has run.

    The request is sent just as the replica closes the connection, which was idle for as
    long as the replica keeps connections.
    """
    monkeypatch.setattr(upstream_protocol, "DEFAULT_KEEP_ALIVE_MS", 5_000.0)

    async def behave(arrival: Arrival, connection: Connection) -> None:
        head = f"Keep-Alive: {keep_alive}" if keep_alive else ""
        await connection.answer(arrival, head=head)

    async def test(site: Site) -> None:
        await site.call(BOOK_PATH)
        await asyncio.sleep(0.75)
        await site.call(BOOK_PATH)
        assert (site.desks[0].n_connections == 1) is is_kept

    run_site(test, desks=(behave,))
