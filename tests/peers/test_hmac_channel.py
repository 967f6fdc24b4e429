"""Requests to peers from a VM whose event loop is late."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import pytest
import uvloop
from aiohttp import web
from tests.support.held_server import HeldServer, check_silence_found

from quetzaldeck.peers import (
    Authenticator,
    PeerError,
    PeerIdentity,
    PeerSettings,
)
from quetzaldeck.peers.hmac_channel import HmacPeerChannel
from quetzaldeck.peers.seal import SEAL_HEADER

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KIND = "claim-vote"
TIMEOUT_MS = 300.0


class Peer:
    """The agent of another VM, in a thread of its own."""

    def __init__(self) -> None:
        self._channel: HmacPeerChannel | None = None

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer a request as an agent does."""
        if self._channel is None:
            # It sends nothing, so that the session is never used.
            self._channel = build_channel("b", None)  # type: ignore[arg-type]
            self._channel.register(KIND, vote)
        kind = request.path.rpartition("/")[2]
        header = request.headers.get(SEAL_HEADER, "")
        answer = await self._channel.answer(kind, header, await request.read())
        headers = {SEAL_HEADER: answer.seal}
        return web.Response(status=answer.status, headers=headers, body=answer.body)


async def vote(sender: PeerIdentity, body: bytes) -> bytes:
    return b"granted"


def build_channel(vm: str, session: aiohttp.ClientSession) -> HmacPeerChannel:
    settings = PeerSettings({"k": "secret-of-the-fleet"})
    return HmacPeerChannel(
        Authenticator(PeerIdentity(vm, f"{vm}.1"), settings), session
    )


@asynccontextmanager
async def introduced(server: HeldServer) -> AsyncIterator[HmacPeerChannel]:
    """Open a channel that has exchanged a message with the peer before."""
    async with aiohttp.ClientSession() as session:
        channel = build_channel("a", session)
        await ask(channel, server, timeout_ms=10_000.0)
        yield channel


async def ask(
    channel: HmacPeerChannel, server: HeldServer, timeout_ms: float = TIMEOUT_MS
) -> bytes:
    address = f"http://{server.address}"
    return (await channel.ask("b", address, KIND, b"claim", timeout_ms))[1]


def test_answer_that_arrived_during_a_stall_is_taken() -> None:
    """Guards against votes and members that a VM loses by its own lateness."""

    async def test(server: HeldServer) -> None:
        async with introduced(server) as channel:
            asking = ask(channel, server)
            answer = await server.ask_beside_stall(asking, TIMEOUT_MS)
        assert answer == b"granted"

    with HeldServer(Peer().answer) as server:
        uvloop.run(test(server))


def test_silent_peer_is_found_in_the_timeout_plus_the_stall() -> None:
    """Guards against a claim or probe that waits for a peer that is gone."""

    async def test(server: HeldServer) -> None:
        async with introduced(server) as channel:
            began_s = time.monotonic()
            asking = ask(channel, server)
            with pytest.raises(PeerError):
                await server.ask_beside_stall(asking, TIMEOUT_MS, is_silent=True)
            check_silence_found(began_s, TIMEOUT_MS)

    with HeldServer(Peer().answer) as server:
        uvloop.run(test(server))
