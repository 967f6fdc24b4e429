"""Reuse of idle connections to upstreams."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest
from tests.support.platform.site import BOOK_PATH, run_site

from quetzaldeck.entry import upstream_protocol
from quetzaldeck.entry.upstream_connector import (
    N_PROBES,
    PROBE_IDLE_S,
    PROBE_INTERVAL_S,
    TCP_USER_TIMEOUT_MS,
    open_socket,
)

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

MS_PER_SECOND = 1_000


def test_connection_outlasts_a_lost_keep_alive_probe() -> None:
    """One probe is lost, or a sound replica is silent for a second, and streams end."""
    address = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 9))
    with open_socket(address) as opened:
        idle_s, interval_s, n_probes, user_timeout_ms = (
            opened.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
                socket.TCP_USER_TIMEOUT,
            )
        )
    assert n_probes >= 2
    last_probe_ms = (idle_s + (n_probes - 1) * interval_s) * MS_PER_SECOND
    assert user_timeout_ms > last_probe_ms


def test_silent_connection_is_closed_when_the_last_probe_is_overdue() -> None:
    """A connection through a device that has forgotten it is used for the next call."""
    end_ms = (PROBE_IDLE_S + N_PROBES * PROBE_INTERVAL_S) * MS_PER_SECOND
    assert end_ms >= TCP_USER_TIMEOUT_MS


@pytest.mark.parametrize("is_virtual", [False, True], ids=["real", "virtual"])
@pytest.mark.parametrize(
    ("keep_alive", "is_kept"),
    [("timeout=1", False), ("", True), (f"timeout={'9' * 5_000}", True)],
    ids=["one", "none", "huge"],
)
def test_connection_is_not_reused_near_the_end_of_its_keep_alive_time(
    keep_alive: str,
    *,
    is_kept: bool,
    is_virtual: bool,
    monkeypatch: pytest.MonkeyPatch,
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

    run_site(test, desks=(behave,), is_virtual=is_virtual)
