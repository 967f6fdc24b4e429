"""A small stand-in for the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

CONFIGURATION_KEY = "op/config"


class Item(NamedTuple):
    """One item, or the record of its deletion (``value`` is ``None``)."""

    key: str
    value: bytes | None
    revision: int


class StandInStore:
    """Serves range reads and watches; a context manager that owns its socket.

    Every call gets ``status`` if that is not 200; a silent store never responds.
    """

    def __init__(self) -> None:
        self.status = 200
        self.is_silent = False
        self.first_known_revision = 0
        self.n_calls = 0
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def __aenter__(self) -> StandInStore:
        application = web.Application()
        application.add_routes(
            [web.get("/kv-range", self._range), web.get("/kv-watch", self._watch)]
        )
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc: object) -> None:
        assert self._runner is not None
        await self._runner.cleanup()

    def put(self, key: str, value: Any) -> None:
        """Write a value as JSON, as the platform does; bytes are written unchanged."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._note(Item(key, data, self._revision + 1))

    def delete(self, key: str) -> None:
        """Remove an entry."""
        self._note(Item(key, None, self._revision + 1))

    def forget_history(self) -> None:
        """Compact the history: watches from an earlier revision get status 410."""
        self.first_known_revision = self._revision + 1
        self._wake()

    def _note(self, item: Item) -> None:
        self._revision = item.revision
        self._history.append(item)
        if item.value is None:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _refuse(self) -> web.Response | None:
        self.n_calls += 1
        if self.is_silent:
            await asyncio.sleep(3_600)
        return None if self.status == 200 else web.Response(status=self.status)

    async def _range(self, request: web.Request) -> web.Response:
        refusal = await self._refuse()
        if refusal is not None:
            return refusal
        items = [encode(item) for item in self._items.values()]
        return web.json_response(
            {"items": items, "hasMore": False, "at": self._revision}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        refusal = await self._refuse()
        if refusal is not None:
            return refusal
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query["waitMs"]) / 1_000
        while True:
            if after < self.first_known_revision - 1:
                return web.Response(status=410)
            events = [item for item in self._history if item.revision > after]
            left = until - loop.time()
            if events or left <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                # A change may have come at the very end of the wait.
                events = [item for item in self._history if item.revision > after]
                break
            refusal = await self._refuse()
            if refusal is not None:
                return refusal
        body = {"events": [encode(item) for item in events], "at": self._revision}
        return web.json_response(body)


def encode(item: Item) -> dict[str, Any]:
    """:returns: an item in the JSON format of the store"""
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "revision": item.revision, "value": value, "lease": 0}


__all__ = ("CONFIGURATION_KEY", "StandInStore")
