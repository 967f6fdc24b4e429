"""The stand-in store answers as the platform's store does."""

from __future__ import annotations

import asyncio
from typing import Literal

import aiohttp
import uvloop
from tests.support.platform.store import StandInStore


class _LateChange(asyncio.Event):
    """A wait that ends by its timeout just as a change is made."""

    def __init__(self, store: StandInStore) -> None:
        super().__init__()
        self._store = store

    async def wait(self) -> Literal[True]:
        self._store.put("servers/r1", {"service": "plans"})
        raise TimeoutError


def test_watch_that_ends_as_a_change_is_made_reports_it() -> None:
    """A watch names a revision whose change it left out, and VMs never learn of it."""

    async def test() -> None:
        async with StandInStore() as store, aiohttp.ClientSession() as client:
            store._changed = _LateChange(store)
            params = {"prefix": "", "after": "1", "waitMs": "50"}
            url = f"http://{store.address}/kv-watch"
            async with client.get(url, params=params) as response:
                answer = await response.json()
        assert answer["at"] == 2
        assert [event["revision"] for event in answer["events"]] == [2]

    uvloop.run(test())
