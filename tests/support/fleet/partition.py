"""Network partitions between the agents of an in-process fleet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from quetzaldeck.peers.errors import RefusedMessageError
from quetzaldeck.peers.seal import SEAL_HEADER, decode_seal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from aiohttp.typedefs import Middleware

NEVER_S = 3_600.0


class Partition:
    """Leaves messages between partitioned VMs unanswered, as if packets were lost."""

    def __init__(self) -> None:
        self._cut: set[tuple[str, str]] = set()

    def cut(self, one: Iterable[str], other: Iterable[str]) -> None:
        """Block messages between each VM of ``one`` and of ``other``, both ways."""
        others = tuple(other)
        for vm in one:
            for peer in others:
                self._cut |= {(vm, peer), (peer, vm)}

    def heal(self) -> None:
        """End the partition: deliver all messages again."""
        self._cut.clear()

    def build_middleware(self, vm: str) -> Middleware:
        """:returns: a middleware that drops requests of VMs partitioned from ``vm``"""

        @web.middleware
        async def drop(
            request: web.Request,
            handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
        ) -> web.StreamResponse:
            if (_sender_of(request), vm) in self._cut:
                await asyncio.sleep(NEVER_S)
            return await handler(request)

        return drop


def _sender_of(request: web.Request) -> str:
    try:
        return decode_seal(request.headers.get(SEAL_HEADER, "")).vm
    except RefusedMessageError:
        return ""


__all__ = ("Partition",)
